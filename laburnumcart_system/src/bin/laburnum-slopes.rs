//! Prints the slopes of the cost of control.

use std::{
    env,
    process, //
};

use laburnumcart_system::slopes;

#[tokio::main(worker_threads = 4)]
async fn main() -> process::ExitCode {
    match slopes::parse(env::args().skip(1)) {
        Ok(slopes::Command::Help(text)) => print!("{text}"),
        Ok(slopes::Command::Run(options)) => slopes::run(&options).await,
        Err(error) => {
            eprintln!("laburnum-slopes: {error}");
            return process::ExitCode::from(2);
        }
    }
    process::ExitCode::SUCCESS
}
