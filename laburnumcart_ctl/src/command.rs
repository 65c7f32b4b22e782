//! Dispatch of the command line to its commands.

use crate::{
    args,
    error,
    output, //
};

mod bundle_file;
mod drain;
mod explain;
mod gateways;
mod key;
mod logs;
mod rollout;
mod route;
mod schema;
mod status;
mod teams;
mod times;

/// Runs the command named by the first argument and returns its output.
pub async fn run(args: &[String]) -> Result<output::Output, error::Error> {
    let args = match args::parse(args)? {
        args::Action::Print(text) => return Ok(output::Output::from_text(text)),
        args::Action::Run(args) => args,
    };
    match args.command.name {
        "keygen" => key::keygen(&args),
        "check" => bundle_file::check(&args),
        "sign" => bundle_file::sign(&args),
        "verify" => bundle_file::verify(&args),
        "accept" => rollout::accept(&args).await,
        "rollback" => rollout::rollback(&args).await,
        "status" => status::status(&args).await,
        "gateways" => gateways::gateways(&args).await,
        "route" => route::route(&args).await,
        "drain" => drain::drain(&args).await,
        "teams" => teams::teams(&args),
        "explain" => explain::explain(&args),
        "times" => times::times(&args),
        "schema" => schema::schema(&args),
        name => unreachable!("command {name} has no implementation"),
    }
}
