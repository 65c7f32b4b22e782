//! Orders to processes.

use derive_more::Display;
use serde::Serialize;

use super::status;
use crate::{
    args,
    error,
    output,
    peers, //
};

/// Processes that are leaving.
#[derive(Display, Serialize)]
#[display("told to finish what they have and exit: {}", processes.len())]
struct Drained {
    processes: Vec<peers::State>,
}

/// Lets processes finish what they have and exit, one after the other.
pub(super) async fn drain(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let mut processes = Vec::new();
    for address in status::addresses(args, &settings)? {
        let process = peers::Process::connect(address, &settings.settings.fleet).await?;
        processes.push(process.drain().await?);
    }
    Ok(output::Output::new(&Drained { processes }))
}
