//! Log lines for changes of state, as `key=value` pairs.
//!
//! Lines go to the logger that the program has installed, through the crate `log`:
//!
//! ```
//! let generation = laburnumcart::id::Generation(7);
//! laburnumcart::event!(Info, "bundle-accepted", generation = generation);
//! ```
//!
//! writes `event=bundle-accepted generation=7`. What happens once for each request belongs into a
//! counter, not here.

use std::fmt;

pub use log;

/// Writes a value so that it stays one word: in quotes, with escapes, where it is not plain.
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

/// Writes a line of `key=value` pairs: `event!(Warn, "peer-lost", peer = addr, after = period)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::event::log::log!(
            $crate::event::log::Level::$level,
            concat!("event=", $name $(, " ", stringify!($key), "={}")*)
            $(, $crate::event::Quoted(&$value))*
        )
    };
}
