//! Changes of the head.

use derive_more::Display;
use serde::Serialize;

use laburnumcart::{
    head,
    id,
    signing, //
};

use super::file;
use crate::{
    args,
    error,
    output,
    publish,
    settings, //
};

/// What is accepted now.
#[derive(Display, Serialize)]
#[display("generation {generation} accepted, digest {digest}")]
struct Accepted {
    generation: id::Generation,
    digest: signing::Digest,
}

/// Puts a signed bundle in force.
pub(super) async fn accept(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let (text, _) = file::load(args.first(), &settings)?;
    change(args, &settings, head::Change::Accept(text)).await
}

/// Puts the bundle of an earlier generation in force.
pub(super) async fn rollback(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let generation = args::parse_value("GENERATION", args.first())?;
    change(args, &settings, head::Change::Restore(generation)).await
}

async fn change(
    args: &args::Args,
    settings: &settings::Checked,
    change: head::Change,
) -> Result<output::Output, error::Error> {
    let mut change = head::Publish::new(change, id::Nonce::random());
    if let Some(base) = args.optional("on")? {
        change = change.with_base(base);
    }
    let head = publish::publish(&settings.store(), change, args.limit()?).await?;
    Ok(output::Output::new(&Accepted {
        generation: head.accepted.generation,
        digest: head.accepted.digest,
    }))
}
