//! `teams`: the teams of a bundle and their tokens.

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

/// Number of random bytes in a token.
const TOKEN_BYTES: usize = 32;

/// A new token, which is printed once and not stored.
#[derive(Display, Serialize)]
#[display("token for the team: {token}\ndigest for the bundle: {digest}")]
struct IssuedToken {
    token: String,
    digest: signing::Digest,
}

/// Digest of a token, as the bundle holds it.
#[derive(Display, Serialize)]
#[display("{digest}")]
struct TokenDigest {
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

/// Issues a token, digests a token, or lists the teams of a bundle.
pub(super) fn teams(args: &args::Args) -> Result<output::Output, error::Error> {
    match (args.first_positional(), args.positional().get(1)) {
        ("issue", None) => issue_token(),
        ("digest", None) => digest_token(),
        ("list", Some(file)) => list_teams(file),
        _ => Err(error::Error::Usage(format!(
            "usage: laburnumctl teams {}",
            args.command.usage
        ))),
    }
}

fn issue_token() -> Result<output::Output, error::Error> {
    let mut bytes = [0; TOKEN_BYTES];
    getrandom::fill(&mut bytes).map_err(error::Error::Random)?;
    let token = BASE64_URL_SAFE_NO_PAD.encode(bytes);
    let digest = signing::Digest::of(token.as_bytes());
    Ok(output::Output::new(&IssuedToken { token, digest }))
}

/// Digests a token from the standard input; an argument would be visible in the process list.
fn digest_token() -> Result<output::Output, error::Error> {
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
    Ok(output::Output::new(&TokenDigest { digest }))
}

fn list_teams(file: &str) -> Result<output::Output, error::Error> {
    let text = settings::read_file(file)?;
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
