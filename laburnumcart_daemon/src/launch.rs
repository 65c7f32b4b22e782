//! From the command line to a running daemon.

use std::{
    env,
    process, //
};

use crate::{
    args,
    logs,
    settings, //
};

/// Parses the command line, loads the settings, starts the logs and calls `run`.
///
/// The exit code is 0 when all went well, 2 for a wrong command line or wrong settings, and
/// otherwise what `run` returns. Nothing has been opened or changed when it is 2.
pub fn launch<T: settings::Settings>(
    program: &args::Program,
    run: impl FnOnce(T) -> process::ExitCode,
) -> process::ExitCode {
    with_args(program, env::args().skip(1), run)
}

/// Does what [`launch`] does, with the arguments given.
pub fn with_args<T: settings::Settings>(
    program: &args::Program,
    args: impl IntoIterator<Item = String>,
    run: impl FnOnce(T) -> process::ExitCode,
) -> process::ExitCode {
    match args::parse(program, args) {
        Ok(args::Command::Print(text)) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Ok(args::Command::Check(args)) => check::<T>(&args),
        Ok(args::Command::Run(args)) => start(&args, run),
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            eprintln!("Try '{} --help'.", program.name);
            settings::EXIT_INVALID.into()
        }
    }
}

fn check<T: settings::Settings>(args: &args::Args) -> process::ExitCode {
    match settings::load::<T>(&args.settings) {
        Ok(_) => {
            println!("settings are valid");
            process::ExitCode::SUCCESS
        }
        Err(error) => refuse(&error),
    }
}

fn start<T: settings::Settings>(
    args: &args::Args,
    run: impl FnOnce(T) -> process::ExitCode,
) -> process::ExitCode {
    let settings: T = match settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    let level = args.level.unwrap_or(settings.telemetry().level);
    logs::start(level, settings.output());
    run(settings)
}

fn refuse(error: &settings::LoadError) -> process::ExitCode {
    eprintln!("{error}");
    settings::EXIT_INVALID.into()
}
