//! Teams and their tokens.

use std::{
    fmt,
    io, //
};

use base64::{
    Engine,
    prelude::BASE64_URL_SAFE_NO_PAD, //
};
use derive_more::Display;
use serde::Serialize;

use laburnumcart::{
    bundle,
    signing, //
};

use crate::{
    args,
    error,
    output,
    settings, //
};

/// Random bytes in a token.
const TOKEN_BYTES: usize = 32;

/// A new token; it is shown once and kept nowhere.
#[derive(Display, Serialize)]
#[display("token for the team: {token}\ndigest for the bundle: {digest}")]
struct Issued {
    token: String,
    digest: signing::Digest,
}

/// Digest of a token.
#[derive(Display, Serialize)]
#[display("{digest}")]
struct Digested {
    digest: signing::Digest,
}

/// Teams of a bundle.
#[derive(Serialize)]
struct Teams {
    teams: Vec<Team>,
}

#[derive(Display, Serialize)]
#[display("{name} weight={weight} tokens={tokens} pipelines={}", pipelines.join(","))]
struct Team {
    name: String,
    weight: u32,
    tokens: usize,
    pipelines: Vec<String>,
}

impl fmt::Display for Teams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.teams.iter().try_for_each(|team| writeln!(f, "{team}"))
    }
}

/// Issues or digests a token, or lists teams.
pub(super) fn teams(args: &args::Args) -> Result<output::Output, error::Error> {
    match (args.first(), args.free().get(1)) {
        ("issue", None) => issue(),
        ("digest", None) => digest(),
        ("list", Some(file)) => list(file),
        _ => Err(error::Error::Usage(format!(
            "usage: laburnumctl teams {}",
            args.command.usage
        ))),
    }
}

fn issue() -> Result<output::Output, error::Error> {
    let mut bytes = [0; TOKEN_BYTES];
    getrandom::fill(&mut bytes).map_err(error::Error::Random)?;
    let token = BASE64_URL_SAFE_NO_PAD.encode(bytes);
    let digest = signing::Digest::of(token.as_bytes());
    Ok(output::Output::new(&Issued { token, digest }))
}

/// Digests the token on the standard input, as an argument would show in the list of processes.
fn digest() -> Result<output::Output, error::Error> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .map_err(|cause| error::Error::File {
            file: "standard input".into(),
            cause,
        })?;
    let token = line.trim();
    if token.is_empty() {
        return Err(error::Error::Usage("no token on the standard input".into()));
    }
    let digest = signing::Digest::of(token.as_bytes());
    Ok(output::Output::new(&Digested { digest }))
}

fn list(file: &str) -> Result<output::Output, error::Error> {
    let text = settings::read(file)?;
    let text = signing::Envelope::parse(&text).map_or(text, |envelope| envelope.bundle);
    let bundle = bundle::check::parse(&text).map_err(|faults| error::Error::Document {
        file: file.into(),
        faults,
    })?;
    let teams = bundle.teams.into_iter().map(|(name, team)| Team {
        name: name.to_string(),
        weight: team.weight,
        tokens: team.tokens.len(),
        pipelines: team.pipelines.keys().map(ToString::to_string).collect(),
    });
    Ok(output::Output::new(&Teams {
        teams: teams.collect(),
    }))
}
