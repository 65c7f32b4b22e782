//! Decision on a stream that a caller takes up, from what this process and others know of it.

use crate::{
    id,
    origin::{
        history::Known,
        records::Begun,
        usage::Possible, //
    },
};

/// What is known of a stream that a caller takes up.
#[derive(Clone, Debug)]
pub struct Evidence<'a> {
    /// Record of its origin, at this process or another one.
    pub begun: Option<&'a Begun>,
    /// What this process knows of the versions of each service that may have begun the stream.
    pub own: &'a [Known],
    /// Whether this process has read the list of targets lately.
    pub fresh: bool,
    /// The same of each other process that has answered.
    pub peers: &'a [Vec<Known>],
    /// Whether this process has others to ask.
    pub has_peers: bool,
    /// Versions that are possible by the notes of all instances.
    pub possible: &'a Possible,
}

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Where its record says.
    Recorded(Begun),
    /// At the only version that can have begun it.
    Sole(id::SoftwareVersion),
    /// At the only version that a process without a record of it can have used.
    Used(id::SoftwareVersion),
    /// Nowhere, as it may have begun at any of several versions.
    Unknown,
}

impl Evidence<'_> {
    /// Decides where the stream may go on.
    ///
    /// Without a record, its version is known only if no process that may have begun it has seen
    /// another one. A process that is cut off from the store and from all others cannot know.
    pub fn decide(&self) -> Decision {
        if let Some(begun) = self.begun {
            return Decision::Recorded(begun.clone());
        }
        match sole(self.own) {
            Some(version) if self.is_enough(version) => Decision::Sole(version.clone()),
            _ => match self.possible.sole() {
                Some(version) => Decision::Used(version.clone()),
                None => Decision::Unknown,
            },
        }
    }

    /// Returns whether no process can have begun the stream at another version than this one.
    fn is_enough(&self, version: &id::SoftwareVersion) -> bool {
        let mut peers = self.peers.iter();
        if !peers.clone().all(|known| agrees(known, version)) {
            return false;
        }
        match (self.has_peers, self.fresh) {
            (false, _) => true,
            // Those who have answered would know a record of the stream, or another version.
            (true, true) => !self.peers.is_empty(),
            (true, false) => peers.any(|known| sole(known) == Some(version)),
        }
    }
}

/// Returns the version that all services have as their only one.
fn sole(known: &[Known]) -> Option<&id::SoftwareVersion> {
    let Known::Sole(version) = known.first()? else {
        return None;
    };
    let is_same = |known: &Known| *known == Known::Sole(version.clone());
    known.iter().all(is_same).then_some(version)
}

/// Returns whether another process has seen no other version.
fn agrees(known: &[Known], version: &id::SoftwareVersion) -> bool {
    known.iter().all(|known| match known {
        Known::Sole(other) => other == version,
        Known::Several => false,
        // The process may just have started.
        Known::Unknown => true,
    })
}
