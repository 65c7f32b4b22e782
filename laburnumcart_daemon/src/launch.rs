//! Entry point of a daemon: command line, settings and logs.

use std::{
    env,
    path,
    process, //
};

use crate::{
    args,
    logs,
    settings, //
};

/// Parses the command line, loads the settings, starts the logs and calls `run`.
///
/// Returns exit code 0 after printing the help or the version or checking valid settings, 2 for an
/// invalid command line or invalid settings, and otherwise the code that `run` returns. With 2,
/// nothing has been opened or changed.
pub fn launch<T: settings::Settings>(
    program: &args::Program,
    run: impl FnOnce(T) -> process::ExitCode,
) -> process::ExitCode {
    with_args(program, env::args().skip(1), run)
}

/// Like [`launch`], with the given arguments.
pub fn with_args<T: settings::Settings>(
    program: &args::Program,
    args: impl IntoIterator<Item = String>,
    run: impl FnOnce(T) -> process::ExitCode,
) -> process::ExitCode {
    with_file(program, args, |settings, _| run(settings))
}

/// Like [`with_args`]; `run` also gets the path of the settings file, which may change.
pub fn with_file<T: settings::Settings>(
    program: &args::Program,
    args: impl IntoIterator<Item = String>,
    run: impl FnOnce(T, path::PathBuf) -> process::ExitCode,
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
        Err(error) => report_invalid(&error),
    }
}

fn start<T: settings::Settings>(
    args: &args::Args,
    run: impl FnOnce(T, path::PathBuf) -> process::ExitCode,
) -> process::ExitCode {
    let settings: T = match settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return report_invalid(&error),
    };
    let level = args.level.unwrap_or(settings.telemetry().level);
    logs::start(level, settings.output());
    run(settings, args.settings.clone())
}

fn report_invalid(error: &settings::LoadError) -> process::ExitCode {
    eprintln!("{error}");
    settings::EXIT_INVALID.into()
}
