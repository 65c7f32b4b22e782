//! What the programs of this crate do with their arguments and their errors.

use std::{
    env,
    error,
    process, //
};

use getopts::Options;

/// Outcome of a program; the error is shown to its user.
pub type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

/// Exit code of a program that was told something wrong.
const EXIT_INVALID: u8 = 2;

/// Parses the arguments and runs the program, or prints its usage if that is asked for.
///
/// `brief` is the first line of the usage, after the program's name.
pub fn run<T>(
    name: &str,
    brief: &str,
    options: &Options,
    parse: impl FnOnce(&Options, &[String]) -> Result<T>,
    run: impl FnOnce(T) -> Result<()>,
) -> process::ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    if arguments.iter().any(|a| a == "-h" || a == "--help") {
        print!("{}", options.usage(&format!("Usage: {name} {brief}")));
        return process::ExitCode::SUCCESS;
    }
    match parse(options, &arguments).and_then(run) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            process::ExitCode::from(EXIT_INVALID)
        }
    }
}
