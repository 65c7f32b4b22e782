//! Agent program.

use std::process;

use laburnumcart_agent::run;
use laburnumcart_daemon::{
    args,
    launch, //
};

const PROGRAM: args::Program = args::Program {
    name: "laburnum-agent",
    version: env!("CARGO_PKG_VERSION"),
    about: "Executes requests at the target beside it and keeps their results.",
};

fn main() -> process::ExitCode {
    launch::launch(&PROGRAM, run::run)
}
