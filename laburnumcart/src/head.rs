//! Head object: the accepted bundle and its generation.
//!
//! There is one head object. Operators change it only by conditional updates, so that of two
//! concurrent changes one succeeds and the other gets an error. A rollback is a new generation with
//! the digest of an older one.

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

/// Largest number of earlier generations that the head lists.
///
/// An operator whose response was lost finds its own nonce in the list even after further changes,
/// and a rollback finds the digest of the earlier bundle.
pub const EARLIER_MAX: usize = 32;

/// Returns the key of the object that holds an envelope.
pub fn object_key(digest: signing::Digest) -> String {
    format!("bundle/objects/{digest}")
}

/// One accepted generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Generation number.
    pub generation: id::Generation,
    /// Digest of the accepted envelope.
    pub digest: signing::Digest,
    /// Random number of the operator's change that accepted it.
    pub nonce: id::Nonce,
}

/// Value of the head object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted generation.
    #[serde(flatten)]
    pub accepted: Accepted,
    /// Earlier generations, latest first; at most [`EARLIER_MAX`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<Accepted>,
}

/// Error of parsing a head.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("the head of the bundles is malformed")]
pub struct Malformed;

impl Head {
    /// Parses the stored form.
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

    /// Returns the head that follows `base`.
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

    /// Iterates over the accepted and the earlier generations, latest first.
    pub fn history(&self) -> impl Iterator<Item = &Accepted> {
        [&self.accepted].into_iter().chain(&self.earlier)
    }
}

/// Highest generation that a process has seen; only increases.
#[derive(Clone, Debug, Default)]
pub struct View {
    highest: Option<Accepted>,
}

impl View {
    /// Returns the highest generation seen, or 0.
    pub fn generation(&self) -> id::Generation {
        self.highest.map(|a| a.generation).unwrap_or_default()
    }

    /// Reports whether a generation is higher than all that were seen.
    ///
    /// A stale read or a replayed message must not put an older bundle in force again. Generations
    /// never repeat, so that comparing them is enough.
    pub fn is_newer(&self, accepted: &Accepted) -> bool {
        accepted.generation > self.generation()
    }

    /// Records a generation if it is higher, and returns whether it was.
    pub fn advance(&mut self, accepted: Accepted) -> bool {
        let newer = self.is_newer(&accepted);
        if newer {
            self.highest = Some(accepted);
        }
        newer
    }
}
