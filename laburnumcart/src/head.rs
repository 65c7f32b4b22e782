//! The head: which bundle is accepted, under which generation.
//!
//! There is one head object. Operators move it by conditional updates only, so that of two who race
//! one wins and the other is told. Rolling back is a new generation with an older digest.

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    signing, //
};

pub use publish::{
    Change,
    Publish,
    PublishError,
    Step,
    WriteOutcome, //
};

mod publish;

/// Key of the head object.
pub const KEY: &str = "bundle/head";

/// Number of earlier generations that the head lists.
///
/// An operator whose answer was lost finds its own nonce here even when others have moved the head
/// since, and an operator who rolls back finds the digest.
pub const EARLIER_MAX: usize = 32;

/// Returns the key of the object that holds an envelope.
pub fn object_key(digest: signing::Digest) -> String {
    format!("bundle/objects/{digest}")
}

/// One accepted generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its number.
    pub generation: id::Generation,
    /// Envelope that it puts in force.
    pub digest: signing::Digest,
    /// Try of the operator who accepted it.
    pub nonce: id::Nonce,
}

/// Value of the head object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Generation that is to be in force.
    #[serde(flatten)]
    pub accepted: Accepted,
    /// Generations before it, the latest first; at most [`EARLIER_MAX`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Accepted>,
}

/// A text that is not a head.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("the head of the bundles is malformed")]
pub struct Malformed;

impl Head {
    /// Reads the stored form.
    pub fn parse(text: &str) -> Result<Self, Malformed> {
        let head: Self = serde_json::from_str(text).map_err(|_| Malformed)?;
        if head.accepted.generation == id::Generation(0) || head.earlier.len() > EARLIER_MAX {
            return Err(Malformed);
        }
        Ok(head)
    }

    /// Returns the stored form.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a head has only texts and numbers")
    }

    /// Returns the head after `base`.
    pub fn after(base: Option<&Self>, digest: signing::Digest, nonce: id::Nonce) -> Self {
        let last = base.map(|head| head.accepted);
        let generation = last.map_or(id::Generation(1), |last| last.generation.next());
        let older = base.into_iter().flat_map(|head| &head.earlier);
        Self {
            accepted: Accepted {
                generation,
                digest,
                nonce,
            },
            earlier: last
                .iter()
                .chain(older)
                .take(EARLIER_MAX)
                .copied()
                .collect(),
        }
    }

    /// Iterates over the generations it lists, the latest first.
    pub fn history(&self) -> impl Iterator<Item = &Accepted> {
        [&self.accepted].into_iter().chain(&self.earlier)
    }
}

/// What a process knows of the head; only goes up.
#[derive(Clone, Debug, Default)]
pub struct View {
    highest: Option<Accepted>,
}

impl View {
    /// Returns the highest generation seen, 0 for none.
    pub fn generation(&self) -> id::Generation {
        self.highest.map(|a| a.generation).unwrap_or_default()
    }

    /// Returns whether a head is newer than all that were taken in.
    ///
    /// A read can be stale and a message can be replayed. Either would put an older bundle in force
    /// again if heads were taken in as they come; generations never repeat, so that comparing them
    /// is enough.
    pub fn is_newer(&self, accepted: &Accepted) -> bool {
        accepted.generation > self.generation()
    }

    /// Takes a head in if it is newer, and returns whether it was.
    pub fn advance(&mut self, accepted: Accepted) -> bool {
        let newer = self.is_newer(&accepted);
        if newer {
            self.highest = Some(accepted);
        }
        newer
    }
}
