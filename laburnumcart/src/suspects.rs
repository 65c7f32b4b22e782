//! Suspects: content that may crash the targets that execute it.
//!
//! All content that was running on a target when it crashed is suspected. A suspect then runs only
//! at targets without another suspect, so that a second crash identifies the cause. Content
//! suspected of two crashes is quarantined for a time; content that completes is cleared. Content
//! is identified by its fingerprint, so that resends under a new id are recognised.

use std::{
    collections,
    hash,
    time, //
};

use tokio::time::Instant;

use crate::{
    facts,
    id,
    unit,
    verdict, //
};

/// Number of crashes for which content is quarantined, if it is the only such content that is
/// suspected of one of them.
const CRASHES: usize = 2;

/// Time for which a clearance is kept after the record of its crash has expired, so that the
/// suspicion does not return.
const CLEARANCE_MARGIN: time::Duration = time::Duration::from_secs(60);

/// Crashes of which each content is suspected, with the expiry of their records.
///
/// A crash is identified by a random number, which has the type of an incarnation.
type CrashesByContent = collections::HashMap<id::Fingerprint, Vec<(id::Incarnation, Instant)>>;

/// Status of content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Can run at any target.
    Clean,
    /// Can run only at targets without another suspect.
    Suspect,
    /// Is refused until this time.
    Quarantined(Instant),
}

/// Immutable snapshot of the suspects.
///
/// They follow from the crashes and clearances in a [`facts::Table`], which holds what processes
/// tell each other by gossip.
///
/// ```
/// use laburnumcart::{facts, id, suspects, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let (poison, innocent) = (id::Fingerprint(1), id::Fingerprint(2));
/// let quarantine = unit::Period::from_secs(600);
/// let mut table = facts::Table::default();
/// table.add_crash(&suspects::crash_fact([poison, innocent], quarantine), now);
///
/// // Both are retried at different targets. One completes, the other crashes its target.
/// let known = suspects::Suspects::new(&table, now);
/// assert!(!known.can_run(poison, [innocent], now));
/// for cleared in known.clearances(innocent, now) {
///     table.add_cleared(&cleared, now);
/// }
/// table.add_crash(&suspects::crash_fact([poison], quarantine), now);
///
/// let known = suspects::Suspects::new(&table, now);
/// assert_eq!(known.status(innocent, now), suspects::Status::Clean);
/// assert!(known.refusal(poison, now).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: CrashesByContent,
    quarantined: collections::HashMap<id::Fingerprint, Instant>,
}

impl Suspects {
    /// Derives the suspects from the facts, independent of the order in which those arrived.
    pub fn new(table: &facts::Table, now: Instant) -> Self {
        let mut crashes = CrashesByContent::new();
        for (crash, suspects, expiry) in table.crashes(now) {
            let uncleared = suspects
                .iter()
                .filter(|f| !table.is_cleared(**f, crash, now));
            for content in uncleared.collect::<collections::HashSet<_>>() {
                crashes.entry(*content).or_default().push((crash, expiry));
            }
        }
        let quarantined = quarantined(&crashes);
        Self {
            crashes,
            quarantined,
        }
    }

    /// Returns the number of suspects, including quarantined content.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Reports whether no content is suspected.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the status of content.
    pub fn status(&self, content: id::Fingerprint, now: Instant) -> Status {
        if let Some(until) = self.quarantined.get(&content)
            && *until > now
        {
            return Status::Quarantined(*until);
        }
        let crashes = self.crashes.get(&content);
        if crashes.is_some_and(|all| all.iter().any(|(_, expiry)| *expiry > now)) {
            Status::Suspect
        } else {
            Status::Clean
        }
    }

    /// Returns the refusal of a request whose content is quarantined, or `None` if it is not.
    ///
    /// The refusal states that the request was not executed, and when to retry it.
    pub fn refusal(&self, content: id::Fingerprint, now: Instant) -> Option<verdict::Refusal> {
        let Status::Quarantined(until) = self.status(content, now) else {
            return None;
        };
        let period = unit::Period(until.saturating_duration_since(now));
        Some(verdict::Refusal::not_run(verdict::Reason::Quarantined).retry_after(period))
    }

    /// Reports whether content can run at a target together with the content running there.
    ///
    /// If two suspects ran at one target, a crash by one would incriminate both, and an innocent
    /// request could be quarantined. With one suspect per target, a second crash tells them apart.
    pub fn can_run(
        &self,
        content: id::Fingerprint,
        running: impl IntoIterator<Item = id::Fingerprint>,
        now: Instant,
    ) -> bool {
        match self.status(content, now) {
            Status::Clean => true,
            Status::Quarantined(_) => false,
            Status::Suspect => {
                let is_clean = |other| self.status(other, now) == Status::Clean;
                running.into_iter().all(is_clean)
            }
        }
    }

    /// Returns the facts that clear content that has completed; none if it is not suspected.
    pub fn clearances(&self, content: id::Fingerprint, now: Instant) -> Vec<facts::Cleared> {
        let crashes = self.crashes.get(&content).into_iter().flatten();
        let cleared = crashes.map(|(crash, expiry)| facts::Cleared {
            fingerprint: content,
            crash: *crash,
            ttl: unit::Period(expiry.saturating_duration_since(now) + CLEARANCE_MARGIN),
        });
        cleared.collect()
    }
}

/// Creates the fact of a crash, with all content that was running.
///
/// The fact is valid for twice the quarantine. Content that crashes a second target within one
/// quarantine of the first crash is then refused for at least one and at most two quarantines.
pub fn crash_fact(
    running: impl IntoIterator<Item = id::Fingerprint>,
    quarantine: unit::Period,
) -> facts::Crash {
    facts::Crash {
        id: id::Incarnation::random(),
        suspects: running.into_iter().collect(),
        ttl: unit::Period(quarantine.0 * 2),
    }
}

/// Returns the quarantined content, and until when it is quarantined.
fn quarantined(crashes: &CrashesByContent) -> collections::HashMap<id::Fingerprint, Instant> {
    let candidates = crashes.iter().filter(|(_, all)| all.len() >= CRASHES);
    let candidates = candidates.map(|(content, all)| {
        let crashes = all.iter().map(|(crash, _)| *crash);
        (*content, crashes.collect())
    });
    let identified = identify(&candidates.collect(), CRASHES);
    let quarantined = identified
        .into_iter()
        .map(|content| (content, quarantine_end(&crashes[&content])));
    quarantined.collect()
}

/// Returns the candidates that are identified as the cause of their crashes.
///
/// If the fact of a crash arrives late, two suspects may run together again. As long as either can
/// have caused all of its `limit` crashes, neither is identified, except after a further crash.
pub(crate) fn identify<C: Copy + Eq + hash::Hash>(
    candidates: &collections::HashMap<id::Fingerprint, Vec<C>>,
    limit: usize,
) -> collections::HashSet<id::Fingerprint> {
    // Number of candidates that are suspected of each crash.
    let mut counts: collections::HashMap<C, usize> = collections::HashMap::new();
    for crash in candidates.values().flatten() {
        *counts.entry(*crash).or_default() += 1;
    }
    let identified = candidates.iter().filter(|(_, crashes)| {
        let is_only_candidate = crashes.iter().any(|crash| counts[crash] == 1);
        is_only_candidate || crashes.len() > limit
    });
    identified.map(|(content, _)| *content).collect()
}

/// Returns when fewer than [`CRASHES`] crashes will be left.
fn quarantine_end(crashes: &[(id::Incarnation, Instant)]) -> Instant {
    let mut expiries: Vec<_> = crashes.iter().map(|(_, expiry)| *expiry).collect();
    expiries.sort_unstable();
    expiries[crashes.len() - CRASHES]
}
