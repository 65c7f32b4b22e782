//! `drain`: graceful shutdown of processes.

use derive_more::Display;
use serde::Serialize;

use super::status;
use crate::{
    args,
    error,
    output,
    peers, //
};

/// States of the processes that are draining.
#[derive(Display, Serialize)]
#[display("processes draining: {}", processes.len())]
struct Drained {
    processes: Vec<peers::State>,
}

/// Starts the graceful shutdown of processes, one after the other.
pub(super) async fn drain(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let mut processes = Vec::new();
    for address in status::process_addresses(args, &settings)? {
        let process = peers::Process::connect(address, &settings.settings.fleet).await?;
        processes.push(process.drain().await?);
    }
    Ok(output::Output::new(&Drained { processes }))
}
