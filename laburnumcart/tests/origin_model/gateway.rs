//! Gateways and targets of the model, and how others know them.

use std::time;

use laburnumcart::{
    freshness::BootTime,
    id,
    origin::{
        Origin,
        history::History,
        records::Records, //
    },
    rendezvous, //
};

use crate::notes::Writer;

/// Time without faults after which a gateway and its peers know what they should.
pub(crate) const SETTLED: u64 = 3000;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) version: usize,
    /// When it was started.
    pub(crate) since: u64,
    /// Whether it accepts no new work.
    pub(crate) leaving: Option<u64>,
}

pub(crate) struct Gateway {
    pub(crate) name: id::InstanceName,
    pub(crate) data_centre: id::DataCentre,
    pub(crate) history: History,
    pub(crate) records: Records,
    pub(crate) listed: Vec<Target>,
    pub(crate) read_at: u64,
    /// Whether it has read the notes of earlier processes.
    pub(crate) has_notes: bool,
    pub(crate) note_due: Option<u64>,
    /// End of the time in which it does not run.
    pub(crate) down_until: u64,
    /// End of the time in which it reaches neither the store nor any peer.
    pub(crate) cut_until: u64,
    /// End of the time in which the store refuses it.
    pub(crate) refused_until: u64,
    /// When the last of these ended, or it was started.
    pub(crate) calm_since: u64,
    /// What its process writes to the store.
    pub(crate) writer: Writer,
}

pub(crate) fn boot(millis: u64) -> BootTime {
    BootTime(time::Duration::from_millis(millis))
}

pub(crate) fn version(number: usize) -> id::SoftwareVersion {
    format!("v{number}").parse().unwrap()
}

/// Returns the number of a version.
pub(crate) fn number(version: &id::SoftwareVersion) -> usize {
    let label = id::version_label(Some(version));
    label.trim_start_matches('v').parse().unwrap()
}

pub(crate) fn service() -> id::ServiceName {
    "desk".parse().unwrap()
}

/// A gateway as others know it.
pub(crate) struct Member {
    pub(crate) index: usize,
    pub(crate) name: id::InstanceName,
    pub(crate) data_centre: id::DataCentre,
}

pub(crate) fn candidate(member: &Member) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate {
        name: &member.name,
        cores: 1.0,
    }
}

impl Target {
    pub(crate) fn is_used(&self) -> bool {
        self.leaving.is_none()
    }

    pub(crate) fn origin(&self) -> Origin {
        Origin {
            service: service(),
            version: Some(version(self.version)),
            target: Some(id::TargetLife {
                name: self.name.parse().unwrap(),
                life: id::Life(1),
            }),
        }
    }
}

impl Gateway {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            name: format!("gateway-{number}").parse().unwrap(),
            data_centre: format!("dc-{}", number % 3).parse().unwrap(),
            history: History::default(),
            records: Records::default(),
            listed: Vec::new(),
            read_at: 0,
            has_notes: false,
            note_due: None,
            down_until: 0,
            cut_until: 0,
            refused_until: 0,
            calm_since: 0,
            writer: Writer::default(),
        }
    }

    pub(crate) fn restart(&mut self) {
        self.history = History::default();
        self.records = Records::default();
        self.listed = Vec::new();
        self.read_at = 0;
        self.has_notes = false;
        self.note_due = None;
        self.writer = Writer::default();
    }

    pub(crate) fn runs(&self, now: u64) -> bool {
        self.down_until <= now
    }

    pub(crate) fn reaches_peers(&self, now: u64) -> bool {
        self.runs(now) && self.cut_until <= now
    }

    pub(crate) fn is_calm(&self, now: u64) -> bool {
        let ends = [self.down_until, self.cut_until, self.refused_until];
        let last = ends.into_iter().max().unwrap_or(0).max(self.calm_since);
        last + SETTLED <= now
    }
}
