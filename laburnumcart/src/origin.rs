//! Origins of event streams, and which targets may go on with a stream that another one began.
//!
//! The first event that a caller receives fixes the origin of its stream. What two versions of a
//! target's software generate does not fit together, so that a stream is resumed only at the
//! version that began it, within one answer and over a caller's tries.

pub mod evidence;
pub mod history;
pub mod homes;
pub mod journal;
pub mod records;
pub mod usage;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id;

/// Where the first event of a stream came from.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the target.
    pub service: id::ServiceName,
    /// Version of the target's software, if it is known.
    pub version: Option<id::SoftwareVersion>,
    /// Run of the target; `None` if only the version is known.
    pub target: Option<id::TargetLife>,
}

impl Origin {
    /// Returns whether a target may go on with the stream.
    ///
    /// A version that is not known equals none, so that only the target itself can go on.
    pub fn allows(&self, candidate: &Self) -> bool {
        if self.service != candidate.service {
            return false;
        }
        match (&self.version, &candidate.version) {
            (Some(version), Some(other)) => version == other,
            _ => self.target.is_some() && self.target == candidate.target,
        }
    }

    /// Returns the version as text for the log.
    pub fn version_label(&self) -> &str {
        id::version_label(self.version.as_ref())
    }
}
