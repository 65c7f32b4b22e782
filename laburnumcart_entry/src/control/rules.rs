//! A bundle in force, with what is derived from it.

use std::collections;

use sha2::Digest;
use subtle::ConstantTimeEq;

use laburnumcart::{
    bundle,
    id, //
};

/// A bundle with what is derived from it.
#[derive(Debug)]
pub struct Rules {
    /// Generation under which it is in force.
    pub generation: id::Generation,
    /// The bundle.
    pub bundle: bundle::Bundle,
    tokens: collections::HashMap<[u8; 8], Vec<Token>>,
}

#[derive(Debug)]
struct Token {
    digest: [u8; 32],
    authenticate: id::TeamName,
}

fn decode(text: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}

fn prefix(digest: &[u8; 32]) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    prefix
}

impl Rules {
    /// Derives the table of tokens; a malformed digest matches nothing.
    pub fn new(generation: id::Generation, bundle: bundle::Bundle) -> Self {
        let mut tokens: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for (team, rules) in &bundle.teams {
            for digest in rules.tokens.iter().filter_map(|text| decode(text)) {
                let token = Token {
                    digest,
                    authenticate: team.clone(),
                };
                tokens.entry(prefix(&digest)).or_default().push(token);
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
    /// What is looked up is a digest, of which a caller cannot choose the first bytes; the rest is
    /// compared in constant time, so that the time of a refusal tells nothing about a valid token.
    pub fn team(&self, token: &[u8]) -> Option<&id::TeamName> {
        let digest: [u8; 32] = sha2::Sha256::digest(token).into();
        let found = self.tokens.get(&prefix(&digest))?;
        let equal = |t: &&Token| bool::from(t.digest.ct_eq(&digest));
        found.iter().find(equal).map(|t| &t.authenticate)
    }
}
