//! `check`, `sign` and `verify`: bundles in files.

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

/// Numbers of items in a valid bundle.
#[derive(Display, Serialize)]
#[display("{file}: {services} services, {pipelines} pipelines, {teams} teams; no faults")]
struct Summary {
    file: String,
    title: String,
    services: usize,
    pipelines: usize,
    teams: usize,
}

/// Digest and signers of a signed bundle.
#[derive(Display, Serialize)]
#[display("{file}: digest {digest}, signed by {}", signers.join(", "))]
struct Signed {
    file: String,
    digest: signing::Digest,
    signers: Vec<String>,
}

/// Validates a bundle, signed or unsigned, and reports all of its faults.
pub(super) fn check(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first_positional();
    let text = settings::read_file(file)?;
    let bundle = match signing::Envelope::parse(&text) {
        Ok(envelope) => parse_bundle(file, &envelope.bundle)?,
        Err(_) => parse_bundle(file, &text)?,
    };
    Ok(output::Output::new(&Summary {
        file: file.into(),
        services: bundle.services.len(),
        pipelines: bundle.pipelines.len(),
        teams: bundle.teams.len(),
        title: bundle.title,
    }))
}

/// Signs a bundle, or adds a signature to a signed one.
pub(super) fn sign(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first_positional();
    let key = key::load(&args.required("key")?)?;
    let out = args.required("out")?;
    let text = settings::read_file(file)?;
    let mut envelope = match signing::Envelope::parse(&text) {
        Ok(envelope) => envelope,
        Err(_) => signing::Envelope::new(compact_json(file, &text)?),
    };
    // Also validates a bundle that is already signed: the fleet would reject an invalid one.
    parse_bundle(file, &envelope.bundle)?;
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

/// Verifies the signatures and content of a signed bundle.
pub(super) fn verify(args: &args::Args) -> Result<output::Output, error::Error> {
    let file = args.first_positional();
    let (_, verified) = load_signed(file, &args.settings()?)?;
    let names = verified.signers().iter();
    Ok(output::Output::new(&Signed {
        file: file.into(),
        digest: verified.digest(),
        signers: names.map(id::KeyName::to_string).collect(),
    }))
}

/// Reads a signed bundle, and verifies and validates it by the same rules as the fleet.
pub(super) fn load_signed(
    file: &str,
    settings: &settings::Validated,
) -> Result<(String, signing::Verified), error::Error> {
    let text = settings::read_file(file)?.trim().to_owned();
    let verified = settings.trust.verify(&text, None);
    let verified = verified.map_err(|cause| error::Error::Rejected {
        file: file.into(),
        cause,
    })?;
    parse_bundle(file, verified.bundle())?;
    Ok((text, verified))
}

fn parse_bundle(file: &str, text: &str) -> Result<bundle::Bundle, error::Error> {
    bundle::check::parse(text).map_err(|faults| error::Error::Document {
        file: file.into(),
        faults,
    })
}

/// Removes the white space from the text of a bundle, as the size of a stored object is limited.
fn compact_json(file: &str, text: &str) -> Result<String, error::Error> {
    // Rejects duplicate keys, which `serde_json::Value` would drop silently.
    laburnumcart::document::parse::<bundle::Bundle>(text).map_err(|faults| {
        error::Error::Document {
            file: file.into(),
            faults,
        }
    })?;
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    Ok(value.to_string())
}
