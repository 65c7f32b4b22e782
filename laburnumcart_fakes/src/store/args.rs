//! Command line of the stand-in for the object service.

use std::{
    net,
    str, //
};

use derive_more::{
    Display,
    Error, //
};

use laburnumcart::unit;

use super::Builder;

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print the text and exit.
    Help(String),
    /// Serve.
    Serve(Builder),
}

/// A command line that is not understood.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum UsageError {
    /// Unknown option, missing value or stray argument.
    #[display("{_0}")]
    Syntax(#[error(not(source))] String),
    /// A value that is not of the wanted kind.
    #[display("--{option}: invalid value {value:?}")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// Text that was found.
        value: String,
    },
}

/// Parses the arguments after the program's name.
pub fn parse(args: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let mut options = getopts::Options::new();
    options
        .optopt(
            "",
            "listen",
            "address to serve, 127.0.0.1:7400 unless set",
            "ADDR",
        )
        .optopt("", "writes", "rate of writes, 400/s unless set", "RATE")
        .optopt("", "reads", "rate of reads, 2000/s unless set", "RATE")
        .optopt(
            "",
            "list-lag",
            "lag of the list of instances, none unless set",
            "PERIOD",
        )
        .optflag("h", "help", "print this text");
    let matches = options.parse(args);
    let matches = matches.map_err(|error| UsageError::Syntax(error.to_string()))?;
    if matches.opt_present("help") {
        let usage = options.usage("Usage: laburnum-fake-store [options]");
        return Ok(Command::Help(usage));
    }
    if let Some(stray) = matches.free.first() {
        return Err(UsageError::Syntax(format!("stray argument {stray:?}")));
    }
    let listen = value(&matches, "listen")?;
    let builder = Builder::default()
        .listen(listen.unwrap_or(net::SocketAddr::from(([127, 0, 0, 1], 7400))))
        .writes(value(&matches, "writes")?.unwrap_or(unit::Rate(400.0)))
        .reads(value(&matches, "reads")?.unwrap_or(unit::Rate(2000.0)))
        .list_lag(value(&matches, "list-lag")?.unwrap_or_default());
    Ok(Command::Serve(builder))
}

fn value<T: str::FromStr>(
    matches: &getopts::Matches,
    option: &'static str,
) -> Result<Option<T>, UsageError> {
    let Some(value) = matches.opt_str(option) else {
        return Ok(None);
    };
    let parsed = value.parse();
    parsed
        .map(Some)
        .map_err(|_| UsageError::Value { option, value })
}
