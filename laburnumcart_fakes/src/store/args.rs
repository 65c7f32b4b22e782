//! Command line of the fake object service.

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

/// Action that the command line selects.
#[derive(Debug)]
pub enum Command {
    /// Prints the text and exits.
    Help(String),
    /// Serves objects.
    Serve(Builder),
}

/// Error in the command line.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum UsageError {
    /// Unknown option, missing value or stray argument.
    #[display("{_0}")]
    Syntax(#[error(not(source))] String),
    /// A value that does not parse.
    #[display("--{option}: invalid value {value:?}")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// Text of the value.
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
    let listen = parse_value(&matches, "listen")?;
    let builder = Builder::default()
        .listen(listen.unwrap_or(net::SocketAddr::from(([127, 0, 0, 1], 7400))))
        .writes(parse_value(&matches, "writes")?.unwrap_or(unit::Rate(400.0)))
        .reads(parse_value(&matches, "reads")?.unwrap_or(unit::Rate(2000.0)))
        .list_lag(parse_value(&matches, "list-lag")?.unwrap_or_default());
    Ok(Command::Serve(builder))
}

fn parse_value<T: str::FromStr>(
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
