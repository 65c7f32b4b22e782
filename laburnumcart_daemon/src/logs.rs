//! Logs in `key=value` lines: one for each change of state, and in the gateway for each decision.
//!
//! Lines are written by [`event!`](macro@crate::event):
//!
//! ```
//! let generation = laburnumcart::id::Generation(7);
//! laburnumcart_daemon::event!(Info, "bundle-accepted", generation = generation);
//! ```
//!
//! writes `time=2026-03-01T08:30:00.120Z level=info event=bundle-accepted generation=7`. Events of
//! each request are counted in metrics instead of logged, except in the gateway, where operators
//! look up a request by its id.

pub mod bounded;
mod level;

use std::{
    fmt,
    io, //
};

pub use laburnumcart::event::Quoted;

pub use self::level::Level;

/// Prefix of crates that are logged at every level; others are logged from warnings up.
const OWN_PREFIX: &str = "laburnum";

/// Output of a process's log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Output {
    /// Standard error, written synchronously.
    #[default]
    Stderr,
    /// Standard output through a bounded queue that never blocks; for per-request lines.
    BoundedStdout,
}

/// Installs the process's logger; a second call has no effect.
pub fn start(level: Level, output: Output) {
    let logger = match output {
        Output::Stderr => logger(level, io::stderr()),
        Output::BoundedStdout => match bounded::Writer::start(io::stdout()) {
            Ok(out) => logger(level, out),
            Err(_) => logger(level, io::stderr()),
        },
    };
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level.into());
    }
}

/// Creates a logger that writes to `out`.
pub fn logger(level: Level, out: impl io::Write + Send + 'static) -> Box<dyn log::Log> {
    Box::new(Logger {
        inner: simplelog::WriteLogger::new(level.into(), config(), out),
    })
}

fn config() -> simplelog::Config {
    let off = log::LevelFilter::Off;
    simplelog::ConfigBuilder::new()
        .set_time_format_custom(time::macros::format_description!(
            "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
        ))
        .set_max_level(off)
        .set_target_level(off)
        .set_thread_level(off)
        .set_location_level(off)
        .build()
}

/// Logger that writes the level as a key in front of each line.
struct Logger<W: io::Write + Send + 'static> {
    inner: Box<simplelog::WriteLogger<W>>,
}

impl<W: io::Write + Send + 'static> log::Log for Logger<W> {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        let wanted =
            metadata.level() <= log::Level::Warn || metadata.target().starts_with(OWN_PREFIX);
        wanted && self.inner.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let level = record.level().as_str().to_ascii_lowercase();
        let foreign = !record.target().starts_with(OWN_PREFIX);
        let args = record.args();
        let write = |args: fmt::Arguments<'_>| {
            let mut line = log::Record::builder();
            line.metadata(record.metadata().clone());
            self.inner.log(&line.args(args).build());
        };
        if foreign {
            let text = args.to_string();
            let source = record.target();
            write(format_args!(
                "level={level} event=library source={source} text={text:?}"
            ));
        } else {
            write(format_args!("level={level} {args}"));
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
