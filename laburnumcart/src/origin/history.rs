//! Software versions of each service's targets that were listed lately.
//!
//! If a service has had one version for as long as a stream can last, a stream of it began there,
//! also when no record of the stream is found.

use std::{
    collections,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    freshness,
    id,
    origin::records, //
};

/// Age of the last listing above which another process may have used a version not known here.
const FRESH_MAX: time::Duration = time::Duration::from_millis(2500);

/// Pause between two listings after which other processes are asked what they have seen meanwhile.
const GAP_MAX: time::Duration = time::Duration::from_millis(3500);

/// From when on a process knows all versions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Coverage {
    /// Nothing is known.
    #[default]
    None,
    /// For this many milliseconds.
    Millis(u64),
    /// For as long as any stream can have lasted.
    Complete,
}

/// What is known of the versions of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Known {
    /// All streams that can be taken up began at this version.
    Sole(id::SoftwareVersion),
    /// There were several versions, or one that is not stated.
    Several,
    /// There may have been versions that this process does not know.
    Unknown,
}

/// A version of a service, and how long ago one of its targets was listed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Service of the targets.
    pub service: id::ServiceName,
    /// Version, if their entries state one.
    pub version: Option<id::SoftwareVersion>,
    /// Milliseconds since one of them was last listed.
    pub age_ms: u64,
}

/// What one process tells another that has just started.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// From when on all versions are among those seen.
    pub coverage: Coverage,
    /// All versions seen.
    pub seen: Vec<Seen>,
}

/// Start of the time in which all versions are known.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Start {
    Always,
    At(freshness::BootTime),
}

type Version = Option<id::SoftwareVersion>;

/// Versions of all services.
#[derive(Debug, Default)]
pub struct History {
    start: Option<Start>,
    last_read: Option<freshness::BootTime>,
    /// Whether other processes are to be asked what they have seen.
    has_gap: bool,
    services: collections::HashMap<id::ServiceName, Vec<(Version, freshness::BootTime)>>,
}

impl History {
    /// Records the versions of all listed targets, as read at `at`.
    pub fn record_listing<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a id::ServiceName, &'a Version)>,
        at: freshness::BootTime,
    ) {
        let is_late = |last: freshness::BootTime| at.since(last) > GAP_MAX;
        self.has_gap |= self.last_read.is_some_and(is_late);
        self.start = self.start.or(Some(Start::At(at)));
        self.last_read = self.last_read.max(Some(at));
        for (service, version) in listed {
            self.record(service, version, at);
        }
        self.expire(at);
    }

    /// Adds what another process has seen.
    pub fn merge(&mut self, summary: &Summary, now: freshness::BootTime) {
        let start = match summary.coverage {
            Coverage::None => return,
            Coverage::Millis(millis) => Start::At(now.before(time::Duration::from_millis(millis))),
            Coverage::Complete => Start::Always,
        };
        self.start = Some(self.start.map_or(start, |own| own.min(start)));
        self.has_gap = false;
        for seen in &summary.seen {
            let at = now.before(time::Duration::from_millis(seen.age_ms));
            self.record(&seen.service, &seen.version, at);
        }
    }

    /// Returns what another process needs to know.
    pub fn summary(&self, now: freshness::BootTime) -> Summary {
        let millis = |at: freshness::BootTime| {
            let millis = now.since(at).as_millis();
            u64::try_from(millis).unwrap_or(u64::MAX)
        };
        let coverage = match self.start {
            None => Coverage::None,
            Some(Start::Always) => Coverage::Complete,
            Some(Start::At(at)) => Coverage::Millis(millis(at)),
        };
        let seen = self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(|(version, at)| Seen {
                service: service.clone(),
                version: version.clone(),
                age_ms: millis(*at),
            })
        });
        Summary {
            coverage,
            seen: seen.collect(),
        }
    }

    /// Returns whether other processes are to be asked what they have seen.
    pub fn needs_peers(&self, now: freshness::BootTime) -> bool {
        self.has_gap || self.start.is_some() && !self.covers(now)
    }

    /// Returns whether the last listing is so recent that no other process knows much more.
    pub fn is_fresh(&self, now: freshness::BootTime) -> bool {
        self.last_read.is_some_and(|at| now.since(at) <= FRESH_MAX)
    }

    /// Returns what is known of the versions of a service.
    pub fn known(&self, service: &id::ServiceName, now: freshness::BootTime) -> Known {
        let is_recent = |at: freshness::BootTime| now.since(at) < records::RETENTION;
        let seen = self.services.get(service).into_iter().flatten();
        let mut recent = seen.filter(|(_, at)| is_recent(*at));
        match (recent.next(), recent.next()) {
            (None, _) => Known::Unknown,
            (Some((Some(version), _)), None) if self.covers(now) => Known::Sole(version.clone()),
            (Some((Some(_), _)), None) => Known::Unknown,
            (Some(_), _) => Known::Several,
        }
    }

    /// Returns the versions of each service that has had several lately.
    pub fn several(
        &self,
        now: freshness::BootTime,
    ) -> collections::HashMap<id::ServiceName, Vec<id::SoftwareVersion>> {
        let mut all = collections::HashMap::new();
        for (service, versions) in &self.services {
            let is_recent =
                |(_, at): &&(Version, freshness::BootTime)| now.since(*at) < records::RETENTION;
            let recent: Vec<_> = versions.iter().filter(is_recent).collect();
            if recent.len() > 1 {
                let versions = recent
                    .into_iter()
                    .filter_map(|(version, _)| version.clone());
                all.insert(service.clone(), versions.collect());
            }
        }
        all
    }

    /// Returns whether a version of a service was listed lately.
    pub fn has_seen(&self, service: &id::ServiceName, version: &Version) -> bool {
        let mut seen = self.services.get(service).into_iter().flatten();
        seen.any(|(known, _)| known == version)
    }

    /// Returns whether all versions are known of streams that can still be taken up.
    fn covers(&self, now: freshness::BootTime) -> bool {
        match self.start {
            None => false,
            Some(Start::Always) => true,
            Some(Start::At(at)) => now.since(at) >= records::RETENTION,
        }
    }

    fn record(&mut self, service: &id::ServiceName, version: &Version, at: freshness::BootTime) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Vec::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        match versions.iter_mut().find(|(known, _)| known == version) {
            Some((_, last)) => *last = at.max(*last),
            None => versions.push((version.clone(), at)),
        }
    }

    fn expire(&mut self, now: freshness::BootTime) {
        for versions in self.services.values_mut() {
            versions.retain(|(_, at)| now.since(*at) < records::RETENTION);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
