//! Runs a fake of the platform's object service.

use std::{
    env,
    error,
    process, //
};

use tokio::signal::unix;

use laburnumcart::event;
use laburnumcart_fakes::store::args;

fn main() -> process::ExitCode {
    let command = match args::parse(env::args().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("laburnum-fake-store: {error}");
            return process::ExitCode::from(2);
        }
    };
    match run(command) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnum-fake-store: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(command: args::Command) -> Result<(), Box<dyn error::Error>> {
    let builder = match command {
        args::Command::Help(text) => {
            print!("{text}");
            return Ok(());
        }
        args::Command::Serve(builder) => builder,
    };
    let config = simplelog::Config::default();
    simplelog::SimpleLogger::init(log::LevelFilter::Info, config)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let server = builder.start()?;
        println!("listening {}", server.addr());
        event!(Info, "listening", addr = server.addr());
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        Ok(())
    })
}
