//! Operator command line.

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

/// Runs one command and prints what came of it.
pub async fn run(args: impl IntoIterator<Item = String>) -> process::ExitCode {
    let args: Vec<String> = args.into_iter().collect();
    let json = args.iter().any(|arg| arg == "--json");
    let (printed, code) = match command::run(&args).await {
        Ok(output) => {
            let printed = io::stdout().write_all(output.render(json).as_bytes());
            (printed, output.code())
        }
        Err(error) => {
            let text = error.render(json);
            let printed = io::stderr().write_all(text.as_bytes());
            return process::ExitCode::from(printed.map_or(1, |()| error.code()));
        }
    };
    // A closed pipe is the reader's choice; a full disk is not.
    match printed {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => process::ExitCode::FAILURE,
        _ => process::ExitCode::from(code),
    }
}
