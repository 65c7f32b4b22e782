//! Operators' command line, `laburnumctl`.

use std::{
    io::{
        self,
        Write, //
    },
    process,
};

pub mod args;
pub mod command;
pub mod error;
pub mod output;
pub mod paths;
pub mod peers;
pub mod publish;
pub mod settings;

/// Runs one command, prints its output or error, and returns the exit code.
pub async fn run(args: impl IntoIterator<Item = String>) -> process::ExitCode {
    let args: Vec<String> = args.into_iter().collect();
    let json = args.iter().any(|arg| arg == "--json");
    let (printed, code) = match command::run(&args).await {
        Ok(output) => {
            let printed = io::stdout().write_all(output.render(json).as_bytes());
            (printed, output.exit_code())
        }
        Err(error) => {
            let text = error.render(json);
            let printed = io::stderr().write_all(text.as_bytes());
            return process::ExitCode::from(printed.map_or(1, |()| error.exit_code()));
        }
    };
    // A reader that closes the pipe is no error; other write errors, such as a full disk, are.
    match printed {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => process::ExitCode::FAILURE,
        _ => process::ExitCode::from(code),
    }
}
