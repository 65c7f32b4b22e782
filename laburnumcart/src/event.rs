//! Structured log events, written as `key=value` pairs.
//!
//! Events go through the crate `log` to the logger that the program has installed:
//!
//! ```
//! let generation = laburnumcart::id::Generation(7);
//! laburnumcart::event!(Info, "bundle-accepted", generation = generation);
//! ```
//!
//! writes `event=bundle-accepted generation=7`. Events are for changes of state; what happens once
//! per request is counted by a metric instead.

use std::fmt;

pub use log;

/// Displays a value as one word: quoted and escaped unless it is plain.
#[derive(Debug)]
pub struct Quoted<T>(pub T);

impl<T: fmt::Display> fmt::Display for Quoted<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        if !text.is_empty() && text.chars().all(plain) {
            f.write_str(&text)
        } else {
            write!(f, "{text:?}")
        }
    }
}

/// Logs an event with `key=value` pairs: `event!(Warn, "peer-lost", peer = addr, after = period)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::event::log::log!(
            // Lines of other targets are taken for those of a library, whatever the crate is named.
            target: concat!("laburnumcart::", module_path!()),
            $crate::event::log::Level::$level,
            concat!("event=", $name $(, " ", stringify!($key), "={}")*)
            $(, $crate::event::Quoted(&$value))*
        )
    };
}
