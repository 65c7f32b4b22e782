//! `accept` and `rollback`: changes of the bundle in force.

use derive_more::Display;
use serde::Serialize;

use laburnumcart::{
    head,
    id,
    signing, //
};

use super::bundle_file;
use crate::{
    args,
    error,
    output,
    publish,
    settings, //
};

/// The accepted generation.
#[derive(Display, Serialize)]
#[display("generation {generation} accepted, digest {digest}")]
struct Accepted {
    generation: id::Generation,
    digest: signing::Digest,
}

/// Puts a signed bundle in force.
pub(super) async fn accept(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let (text, _) = bundle_file::load_signed(args.first_positional(), &settings)?;
    publish_change(args, &settings, head::Change::Accept(text)).await
}

/// Puts the bundle of an earlier generation in force, under a new generation.
pub(super) async fn rollback(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let generation = args::parse_value("GENERATION", args.first_positional())?;
    publish_change(args, &settings, head::Change::Restore(generation)).await
}

async fn publish_change(
    args: &args::Args,
    settings: &settings::Validated,
    change: head::Change,
) -> Result<output::Output, error::Error> {
    let mut change = head::Publish::new(change, id::Nonce::random());
    if let Some(base) = args.optional("on")? {
        change = change.with_base(base);
    }
    let head = publish::publish(&settings.store(), change, args.time_limit()?).await?;
    Ok(output::Output::new(&Accepted {
        generation: head.accepted.generation,
        digest: head.accepted.digest,
    }))
}
