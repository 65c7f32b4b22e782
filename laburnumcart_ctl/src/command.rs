//! The commands.

use crate::{
    args,
    error,
    output, //
};

mod explain;
mod file;
mod fleet;
mod gateways;
mod key;
mod lines;
mod rollout;
mod schema;
mod status;
mod teams;
mod times;

/// Runs the command that the arguments name.
pub async fn run(args: &[String]) -> Result<output::Output, error::Error> {
    let args = match args::parse(args)? {
        args::Request::Print(text) => return Ok(output::Output::text(text)),
        args::Request::Run(args) => args,
    };
    match args.command.name {
        "keygen" => key::keygen(&args),
        "check" => file::check(&args),
        "sign" => file::sign(&args),
        "verify" => file::verify(&args),
        "accept" => rollout::accept(&args).await,
        "rollback" => rollout::rollback(&args).await,
        "status" => status::status(&args).await,
        "gateways" => gateways::gateways(&args).await,
        "drain" => fleet::drain(&args).await,
        "teams" => teams::teams(&args),
        "explain" => explain::explain(&args),
        "times" => times::times(&args),
        "schema" => schema::schema(&args),
        name => unreachable!("{name} is in the table of commands and not here"),
    }
}
