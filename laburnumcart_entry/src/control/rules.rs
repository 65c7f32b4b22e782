//! Bundle in force, with an index of the teams' bearer tokens.

use std::collections;

use sha2::Digest;
use subtle::ConstantTimeEq;

use laburnumcart::{
    bundle,
    id, //
};

/// Bundle in force with its token index.
#[derive(Debug)]
pub struct Rules {
    /// Generation of the bundle.
    pub generation: id::Generation,
    /// Contents of the bundle.
    pub bundle: bundle::Bundle,
    tokens: collections::HashMap<[u8; 8], Vec<Token>>,
}

#[derive(Debug)]
struct Token {
    digest: [u8; 32],
    authenticate: id::TeamName,
}

fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}

fn digest_prefix(digest: &[u8; 32]) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    prefix
}

impl Rules {
    /// Builds the token index; a malformed digest matches no token.
    pub fn new(generation: id::Generation, bundle: bundle::Bundle) -> Self {
        let mut tokens: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for (team, rules) in &bundle.teams {
            for digest in rules.tokens.iter().filter_map(|text| parse_digest(text)) {
                let token = Token {
                    digest,
                    authenticate: team.clone(),
                };
                tokens
                    .entry(digest_prefix(&digest))
                    .or_default()
                    .push(token);
            }
        }
        Self {
            generation,
            bundle,
            tokens,
        }
    }

    /// Returns the team of a bearer token.
    ///
    /// The lookup uses the first bytes of a digest, which a caller cannot choose. The whole digest
    /// is compared in constant time, so that the duration of a refusal leaks nothing about valid
    /// tokens.
    pub fn team(&self, token: &[u8]) -> Option<&id::TeamName> {
        let digest: [u8; 32] = sha2::Sha256::digest(token).into();
        let found = self.tokens.get(&digest_prefix(&digest))?;
        let equal = |t: &&Token| bool::from(t.digest.ct_eq(&digest));
        found.iter().find(equal).map(|t| &t.authenticate)
    }
}
