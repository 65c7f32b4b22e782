//! Measures the cost of the control plane and prints its fitted slopes.

use std::{
    env,
    process, //
};

use laburnumcart_system::control_cost;

#[tokio::main(worker_threads = 4)]
async fn main() -> process::ExitCode {
    match control_cost::parse_args(env::args().skip(1)) {
        Ok(control_cost::Command::Help(text)) => print!("{text}"),
        Ok(control_cost::Command::Run(options)) => control_cost::measure_sections(&options).await,
        Err(error) => {
            eprintln!("laburnum-slopes: {error}");
            return process::ExitCode::from(2);
        }
    }
    process::ExitCode::SUCCESS
}
