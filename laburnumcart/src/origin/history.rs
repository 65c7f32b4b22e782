//! Software versions of each service's targets that were listed lately.
//!
//! If a service has had one version for as long as a stream can last, a stream of it began there,
//! also when no record of the stream is found. A process knows that from its own listings, from
//! other processes, or from a note in the store that names all versions at which streams began.

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

/// Version of a target's software, if its entry states one.
pub type Version = Option<id::SoftwareVersion>;

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
    /// Versions that the note of each service names.
    #[serde(default)]
    pub noted: Vec<Noted>,
    /// Milliseconds since the last listing, up to which the rest holds.
    ///
    /// `None` if versions may be missing, or if the process does not tell.
    #[serde(default)]
    pub listed_ms: Option<u64>,
}

/// Versions of a service that its note in the store names.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Noted {
    /// Service of the targets.
    pub service: id::ServiceName,
    /// Versions, `None` for targets whose entries state none.
    pub versions: Vec<Version>,
}

/// Change that the note of a service needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Correction {
    /// Service of the note.
    pub service: id::ServiceName,
    /// Versions that it lacks.
    pub missing: Vec<Version>,
    /// Versions that it names although their streams have all ended.
    pub gone: Vec<Version>,
}

/// Start of the time in which all versions are known.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Start {
    Always,
    At(freshness::BootTime),
}

/// Time without a listing, in which versions may have come and gone.
#[derive(Clone, Copy, Debug)]
struct Gap {
    /// Last listing before it.
    from: freshness::BootTime,
    /// First listing after it.
    to: freshness::BootTime,
}

/// Versions of all services.
#[derive(Debug, Default)]
pub struct History {
    start: Option<Start>,
    last_read: Option<freshness::BootTime>,
    /// From the first to the last of the gaps that nothing has filled.
    gap: Option<Gap>,
    services: collections::HashMap<id::ServiceName, Vec<(Version, freshness::BootTime)>>,
    /// Versions that the note of each service names, as last read, written or told.
    noted: collections::HashMap<id::ServiceName, collections::HashSet<Version>>,
}

impl History {
    /// Records the versions of all listed targets, as read at `at`.
    pub fn record_listing<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a id::ServiceName, &'a Version)>,
        at: freshness::BootTime,
    ) {
        match self.last_read {
            Some(last) if at.since(last) > GAP_MAX => self.open_gap(last, at),
            _ => (),
        }
        self.start = self.start.or(Some(Start::At(at)));
        self.last_read = self.last_read.max(Some(at));
        for (service, version) in listed {
            self.record(service, version, at);
        }
        self.expire(at);
        if let Some(gap) = self
            .gap
            .filter(|gap| at.since(gap.to) >= records::RETENTION)
        {
            // All streams that began in it have ended.
            self.start = Some(Start::At(gap.to));
            self.gap = None;
        }
    }

    /// Adds what another process has seen.
    ///
    /// Its versions count in any case; that there were no others, only if it still lists them.
    pub fn merge(&mut self, summary: &Summary, now: freshness::BootTime) {
        for seen in &summary.seen {
            let at = now.before(time::Duration::from_millis(seen.age_ms));
            self.record(&seen.service, &seen.version, at);
        }
        let listed = summary.listed_ms.map(time::Duration::from_millis);
        let Some(listed) = listed.filter(|age| *age <= FRESH_MAX) else {
            return;
        };
        let start = match summary.coverage {
            Coverage::None => return,
            Coverage::Millis(millis) => Start::At(now.before(time::Duration::from_millis(millis))),
            Coverage::Complete => Start::Always,
        };
        self.start = Some(self.start.map_or(start, |own| own.min(start)));
        self.last_read = self.last_read.or(Some(now.before(listed)));
        if self.gap.is_some_and(|gap| start <= Start::At(gap.from)) {
            self.gap = None;
        }
        for noted in &summary.noted {
            self.add_noted(&noted.service, &noted.versions, now);
        }
    }

    /// Records that all notes were read, as asked for at `sent`, so that no version was missed in a
    /// time without a listing that ended before.
    pub fn record_notes_read(&mut self, sent: freshness::BootTime) {
        self.gap = self.gap.filter(|gap| gap.to > sent);
    }

    /// Returns whether versions may have come and gone in a time without a listing.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Records versions that the note of a service names.
    ///
    /// One that is new here counts as listed now: another process has seen it. So does each one
    /// after a gap, in which it may have come back.
    pub fn add_noted(
        &mut self,
        service: &id::ServiceName,
        versions: &[Version],
        now: freshness::BootTime,
    ) {
        for version in versions {
            let noted = self.noted.entry(service.clone()).or_default();
            if noted.insert(version.clone()) || self.gap.is_some() {
                self.record(service, version, now);
            }
        }
    }

    /// Records that the note of a service names a version no more.
    pub fn remove_noted(&mut self, service: &id::ServiceName, version: &Version) {
        if let Some(noted) = self.noted.get_mut(service) {
            noted.remove(version);
        }
    }

    /// Returns the corrections that the notes need.
    ///
    /// Only a process that would have seen a version knows that it has gone.
    pub fn corrections(&self, now: freshness::BootTime) -> Vec<Correction> {
        let none = collections::HashSet::new();
        let is_recent =
            |(_, at): &&(Version, freshness::BootTime)| now.since(*at) < records::RETENTION;
        let covers = self.covers(now) && self.is_fresh(now);
        let correction = |(service, seen): (&id::ServiceName, &Vec<_>)| {
            let noted = self.noted.get(service).unwrap_or(&none);
            let recent = seen.iter().filter(is_recent).map(|(version, _)| version);
            let recent: collections::HashSet<_> = recent.cloned().collect();
            let gone = noted.difference(&recent).filter(|_| covers);
            let correction = Correction {
                service: service.clone(),
                missing: recent.difference(noted).cloned().collect(),
                gone: gone.cloned().collect(),
            };
            let is_needed = !correction.missing.is_empty() || !correction.gone.is_empty();
            is_needed.then_some(correction)
        };
        self.services.iter().filter_map(correction).collect()
    }

    /// Returns the versions of a service at which no new stream should begin yet, as its note
    /// lacks them.
    pub fn not_noted(&self, service: &id::ServiceName) -> Vec<id::SoftwareVersion> {
        let noted = self.noted.get(service);
        let seen = self.services.get(service).into_iter().flatten();
        let missing = seen.filter(|(version, _)| noted.is_none_or(|n| !n.contains(version)));
        missing.filter_map(|(version, _)| version.clone()).collect()
    }

    /// Returns what another process needs to know.
    pub fn summary(&self, now: freshness::BootTime) -> Summary {
        let millis = |at: freshness::BootTime| {
            let millis = now.since(at).as_millis();
            u64::try_from(millis).unwrap_or(u64::MAX)
        };
        let listed = self.last_read.filter(|_| self.is_up_to_date(now));
        // An older process relies on any other coverage.
        let coverage = match self.start.filter(|_| listed.is_some()) {
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
        let lent = self.noted.iter().filter(|_| listed.is_some());
        let noted = lent.map(|(service, versions)| Noted {
            service: service.clone(),
            versions: versions.iter().cloned().collect(),
        });
        Summary {
            coverage,
            seen: seen.collect(),
            noted: noted.collect(),
            listed_ms: listed.map(millis),
        }
    }

    /// Returns whether other processes are to be asked what they have seen.
    pub fn needs_peers(&self, now: freshness::BootTime) -> bool {
        let is_missing = |correction: &Correction| !correction.missing.is_empty();
        let lacks_note = || self.corrections(now).iter().any(is_missing);
        self.start.is_some() && !self.covers(now) || lacks_note()
    }

    /// Returns whether the last listing is so recent that no other process knows much more.
    pub fn is_fresh(&self, now: freshness::BootTime) -> bool {
        self.last_read.is_some_and(|at| now.since(at) <= FRESH_MAX)
    }

    /// Returns what is known of the versions of a service.
    pub fn known(&self, service: &id::ServiceName, now: freshness::BootTime) -> Known {
        let is_recent = |at: freshness::BootTime| now.since(at) < records::RETENTION;
        // Streams begin at a version once it is noted, so that the note names all of them.
        let is_stated = self.gap.is_none() && self.noted.contains_key(service);
        let is_complete = is_stated || self.covers(now);
        let seen = self.services.get(service).into_iter().flatten();
        let mut recent = seen.filter(|(_, at)| is_recent(*at));
        match (recent.next(), recent.next()) {
            (None, _) => Known::Unknown,
            (Some((Some(version), _)), None) if is_complete => Known::Sole(version.clone()),
            (Some((Some(_), _)), None) => Known::Unknown,
            (Some(_), _) => Known::Several,
        }
    }

    /// Returns what other processes may take for knowledge up to now.
    pub fn told(&self, service: &id::ServiceName, now: freshness::BootTime) -> Known {
        match self.known(service, now) {
            Known::Sole(_) if !self.is_fresh(now) => Known::Unknown,
            known => known,
        }
    }

    /// Returns whether a version of a service was listed lately.
    pub fn has_seen(&self, service: &id::ServiceName, version: &Version) -> bool {
        let mut seen = self.services.get(service).into_iter().flatten();
        seen.any(|(known, _)| known == version)
    }

    /// Returns whether all versions are known of streams that can still be taken up.
    fn covers(&self, now: freshness::BootTime) -> bool {
        match self.start {
            _ if self.gap.is_some() => false,
            None => false,
            Some(Start::Always) => true,
            Some(Start::At(at)) => now.since(at) >= records::RETENTION,
        }
    }

    /// Returns whether no version can have been missed up to the last listing, a recent one.
    fn is_up_to_date(&self, now: freshness::BootTime) -> bool {
        self.gap.is_none() && self.is_fresh(now)
    }

    /// Records a time without listings.
    ///
    /// All processes use the list that they have meanwhile, so that its versions count as listed.
    fn open_gap(&mut self, from: freshness::BootTime, to: freshness::BootTime) {
        for (_, at) in self.services.values_mut().flatten() {
            if *at >= from {
                *at = to.max(*at);
            }
        }
        let from = self.gap.map_or(from, |gap| gap.from);
        self.gap = Some(Gap { from, to });
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
