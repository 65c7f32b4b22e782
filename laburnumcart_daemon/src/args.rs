//! Command-line arguments of a daemon.

use std::path;

use derive_more::{
    Display,
    Error, //
};

use crate::logs;

/// Name, version and description of a program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// Version, from `CARGO_PKG_VERSION`.
    pub version: &'static str,
    /// One-line description.
    pub about: &'static str,
}

/// Action that the command line selects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the text and exit with 0.
    Print(String),
    /// Check the settings and exit with 0 or 2.
    Check(Args),
    /// Run until stopped.
    Run(Args),
}

/// Values of the command-line options.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Args {
    /// Path of the settings file.
    pub settings: path::PathBuf,
    /// Log level that overrides the one in the settings.
    pub level: Option<logs::Level>,
}

/// An invalid command line.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// An option is unknown, repeated or without its value.
    #[display("{_0}")]
    Option(#[error(not(source))] getopts::Fail),
    /// The settings file is missing.
    #[display("--settings FILE is required")]
    NoSettings,
    /// The log level is unknown.
    #[display("--level must be off, error, warn, info, debug or trace")]
    Level,
    /// There is an unexpected positional argument.
    #[display("unexpected argument: {_0:?}")]
    Unexpected(#[error(not(source))] String),
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt(
        "s",
        "settings",
        "read the settings from FILE (JSON)",
        "FILE",
    );
    options.optflag(
        "c",
        "check",
        "check the settings, print every fault, exit with 0 or 2",
    );
    options.optopt(
        "l",
        "level",
        "log level: off, error, warn, info, debug or trace",
        "LEVEL",
    );
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// Returns the text of `--help`.
pub fn usage(program: &Program) -> String {
    let brief = format!(
        "{}\n\nUsage: {} --settings FILE [--check] [--level LEVEL]",
        program.about, program.name
    );
    options().usage(&brief)
}

/// Parses the arguments that follow the program's name.
pub fn parse(
    program: &Program,
    args: impl IntoIterator<Item = String>,
) -> Result<Command, UsageError> {
    let args: Vec<String> = args.into_iter().collect();
    let matches = options().parse(&args).map_err(UsageError::Option)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(usage(program)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!(
            "{} {}\n",
            program.name, program.version
        )));
    }
    if let Some(argument) = matches.free.first() {
        return Err(UsageError::Unexpected(argument.clone()));
    }
    let settings = matches.opt_str("settings").ok_or(UsageError::NoSettings)?;
    let level = matches.opt_str("level").map(|l| l.parse()).transpose();
    let args = Args {
        settings: settings.into(),
        level: level.map_err(|_| UsageError::Level)?,
    };
    if matches.opt_present("check") {
        Ok(Command::Check(args))
    } else {
        Ok(Command::Run(args))
    }
}
