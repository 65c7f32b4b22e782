//! Starts an agent.

use std::process;

use laburnumcart_agent::run;
use laburnumcart_daemon::{
    args,
    launch, //
};

const PROGRAM: args::Program = args::Program {
    name: "laburnum-agent",
    version: env!("CARGO_PKG_VERSION"),
    about: "The one process of the system beside each target.",
};

fn main() -> process::ExitCode {
    launch::launch(&PROGRAM, run::run)
}
