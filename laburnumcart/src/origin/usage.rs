//! Software versions at which each process may have begun streams, as it notes them in the store.
//!
//! A stream of which no process has a record was begun by one that has ended since. Its note tells
//! at which versions, whatever others have noted after its end.

use std::collections;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id,
    origin::history::Version, //
};

/// Versions of each service.
pub type Used = collections::BTreeMap<id::ServiceName, collections::BTreeSet<Version>>;

/// Note of one instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Process that has written it.
    pub incarnation: id::Incarnation,
    /// Process that the entry of this instance named before.
    #[serde(default)]
    pub replaces: Option<id::Incarnation>,
    /// Versions that earlier processes of the instance may have used; `None` if any.
    #[serde(default)]
    pub earlier: Option<Used>,
    /// Versions that this process may have used.
    pub current: Used,
}

impl Usage {
    /// Creates the note of a process that has just started, from what its instance left behind.
    ///
    /// An entry without a matching note is that of a process that wrote none.
    pub fn after(
        incarnation: id::Incarnation,
        entry: Option<id::Incarnation>,
        note: Option<&Self>,
    ) -> Self {
        let earlier = match note {
            None if entry.is_none() => Some(Used::new()),
            Some(note) if note.covers(entry) => note.all(),
            _ => None,
        };
        Self {
            incarnation,
            replaces: entry,
            earlier,
            current: Used::new(),
        }
    }

    /// Adds a version; returns whether it was missing.
    pub fn add(&mut self, service: &id::ServiceName, version: Version) -> bool {
        let versions = self.current.entry(service.clone()).or_default();
        versions.insert(version)
    }

    /// Returns whether the note holds what was used up to the process that the entry names.
    fn covers(&self, entry: Option<id::Incarnation>) -> bool {
        entry.is_none_or(|entry| entry == self.incarnation || Some(entry) == self.replaces)
    }

    /// Returns all versions, of this process and of earlier ones; `None` if any.
    fn all(&self) -> Option<Used> {
        let mut used = self.earlier.clone()?;
        for (service, versions) in &self.current {
            let known = used.entry(service.clone()).or_default();
            known.extend(versions.iter().cloned());
        }
        Some(used)
    }
}

/// What is known of one instance when a stream without a record is taken up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Instance<'a> {
    /// Process that its entry names.
    pub entry: Option<id::Incarnation>,
    /// Its note, if there is one that can be read.
    pub note: Option<&'a Usage>,
    /// Process that has answered that it has no record of the stream.
    pub answered: Option<id::Incarnation>,
}

impl Instance<'_> {
    /// Returns the versions at which processes of the instance that have no record may have begun a
    /// stream; `None` if any.
    fn possible(&self) -> Option<Used> {
        let note = match self.note {
            None if self.entry.is_none() => return Some(Used::new()),
            None => return None,
            Some(note) => note,
        };
        if !note.covers(self.entry) {
            return None;
        }
        // Without a record of the stream, the process that answered has not begun it.
        match self.answered == Some(note.incarnation) {
            true => note.earlier.clone(),
            false => note.all(),
        }
    }
}

/// Versions at which a stream without a record may have begun.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Possible {
    /// Nothing excludes any.
    #[default]
    Any,
    /// One of these; none if no process has used the services.
    Versions(collections::BTreeSet<Version>),
}

impl Possible {
    /// Joins what the processes of all instances may have used of the services.
    pub fn of<'a>(
        instances: impl IntoIterator<Item = Instance<'a>>,
        services: &[id::ServiceName],
    ) -> Self {
        let mut versions = collections::BTreeSet::new();
        for instance in instances {
            let Some(mut used) = instance.possible() else {
                return Self::Any;
            };
            for service in services {
                versions.extend(used.remove(service).unwrap_or_default());
            }
        }
        Self::Versions(versions)
    }

    /// Returns the version if only one is possible.
    pub fn sole(&self) -> Option<&id::SoftwareVersion> {
        let Self::Versions(versions) = self else {
            return None;
        };
        match versions.len() {
            1 => versions.first()?.as_ref(),
            _ => None,
        }
    }

    /// Returns the versions as text for the log.
    pub fn label(&self) -> String {
        match self {
            Self::Any => String::from("any"),
            Self::Versions(versions) if versions.is_empty() => String::from("none"),
            Self::Versions(versions) => {
                let labels = versions.iter().map(|v| id::version_label(v.as_ref()));
                labels.collect::<Vec<_>>().join(",")
            }
        }
    }
}
