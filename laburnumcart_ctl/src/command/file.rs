//! Bundles in files.

use std::fs;

use derive_more::Display;
use serde::Serialize;

use laburnumcart::{
    bundle,
    id,
    signing, //
};

use super::key;
use crate::{
    args,
    error,
    output,
    settings, //
};

/// What a bundle holds.
#[derive(Display, Serialize)]
#[display("{file}: {services} services, {pipelines} pipelines, {teams} teams; no faults")]
struct Summary {
    file: String,
    title: String,
    services: usize,
    pipelines: usize,
    teams: usize,
}

/// What a signed bundle is.
#[derive(Display, Serialize)]
#[display("{file}: digest {digest}, signed by {}", signers.join(", "))]
struct Signed {
    file: String,
    digest: signing::Digest,
    signers: Vec<String>,
}

/// Reports the faults of a bundle, signed or not.
pub(super) fn check(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first();
    let text = settings::read(file)?;
    let bundle = match signing::Envelope::parse(&text) {
        Ok(envelope) => parse(file, &envelope.bundle)?,
        Err(_) => parse(file, &text)?,
    };
    Ok(output::Output::new(&Summary {
        file: file.into(),
        services: bundle.services.len(),
        pipelines: bundle.pipelines.len(),
        teams: bundle.teams.len(),
        title: bundle.title,
    }))
}

/// Signs a bundle.
pub(super) fn sign(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first();
    let key = key::load(&args.required("key")?)?;
    let out = args.required("out")?;
    let text = settings::read(file)?;
    let mut envelope = match signing::Envelope::parse(&text) {
        Ok(envelope) => envelope,
        Err(_) => signing::Envelope::new(compact(file, &text)?),
    };
    // Also what another has signed before: nobody signs what the fleet would refuse.
    parse(file, &envelope.bundle)?;
    envelope.sign(key.name, &key.secret);
    let text = envelope.to_text();
    fs::write(&out, &text).map_err(|cause| error::Error::File {
        file: out.clone(),
        cause,
    })?;
    let names = envelope.signatures.iter();
    Ok(output::Output::new(&Signed {
        file: out,
        digest: signing::Digest::of(text.as_bytes()),
        signers: names.map(|signed| signed.key.to_string()).collect(),
    }))
}

/// Verifies a signed bundle.
pub(super) fn verify(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first();
    let (_, verified) = load(file, &args.settings()?)?;
    let names = verified.signers().iter();
    Ok(output::Output::new(&Signed {
        file: file.into(),
        digest: verified.digest(),
        signers: names.map(id::KeyName::to_string).collect(),
    }))
}

/// Reads a signed bundle, and verifies and validates it as the fleet will.
pub(super) fn load(
    file: &str,
    settings: &settings::Checked,
) -> Result<(String, signing::Verified), error::Error> {
    let text = settings::read(file)?.trim().to_owned();
    let verified = settings.trust.verify(&text, None);
    let verified = verified.map_err(|cause| error::Error::Rejected {
        file: file.into(),
        cause,
    })?;
    parse(file, verified.bundle())?;
    Ok((text, verified))
}

fn parse(file: &str, text: &str) -> Result<bundle::Bundle, error::Error> {
    bundle::check::parse(text).map_err(|faults| error::Error::Document {
        file: file.into(),
        faults,
    })
}

/// Drops the white space of a bundle's text, for which an object has no room to spare.
fn compact(file: &str, text: &str) -> Result<String, error::Error> {
    // Repeated keys are found first, as reading drops them.
    laburnumcart::document::parse::<bundle::Bundle>(text).map_err(|faults| {
        error::Error::Document {
            file: file.into(),
            faults,
        }
    })?;
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    Ok(value.to_string())
}
