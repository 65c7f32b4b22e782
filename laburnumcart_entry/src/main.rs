//! `laburnum-entry`: accepts callers' requests and runs their pipelines.

use std::process;

use laburnumcart_daemon::{
    args,
    launch, //
};
use laburnumcart_entry::run;

const PROGRAM: args::Program = args::Program {
    name: "laburnum-entry",
    version: env!("CARGO_PKG_VERSION"),
    about: "Accepts callers' requests and runs their pipelines on the targets' agents.",
};

fn main() -> process::ExitCode {
    launch::launch(&PROGRAM, run::run)
}
