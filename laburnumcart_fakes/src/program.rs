//! Argument parsing and error reporting that the programs of this crate share.

use std::{
    env,
    error,
    process, //
};

use getopts::Options;

/// Result of a program, whose error is printed.
pub type Result<T> = std::result::Result<T, Box<dyn error::Error>>;

/// Exit code of a program that failed.
const EXIT_FAILURE: u8 = 2;

/// Parses the arguments and runs the program, or prints the usage for `--help`.
///
/// `synopsis` follows the program's name in the first line of the usage.
pub fn run<T>(
    name: &str,
    synopsis: &str,
    options: &Options,
    parse: impl FnOnce(&Options, &[String]) -> Result<T>,
    run: impl FnOnce(T) -> Result<()>,
) -> process::ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    if arguments.iter().any(|a| a == "-h" || a == "--help") {
        print!("{}", options.usage(&format!("Usage: {name} {synopsis}")));
        return process::ExitCode::SUCCESS;
    }
    match parse(options, &arguments).and_then(run) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            process::ExitCode::from(EXIT_FAILURE)
        }
    }
}
