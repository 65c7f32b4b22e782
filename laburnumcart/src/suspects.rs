//! Requests that may crash the targets that execute them.
//!
//! All that ran on a target when it crashed is suspected. A suspect then runs only where no other
//! suspect does, so that a second crash tells which it was. Content with two strikes is refused
//! for a while; what completes is cleared. Content is told by its fingerprint, so that a resend
//! under a new id is recognised.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    facts,
    id,
    unit,
    verdict, //
};

/// Strikes with which content is quarantined when no other explains a crash.
const STRIKES: usize = 2;

/// Time by which a clearance outlives its crash, whose strike would come back otherwise.
const MARGIN: time::Duration = time::Duration::from_secs(60);

type Strikes = collections::HashMap<id::Fingerprint, Vec<(id::Incarnation, Instant)>>;

/// What is known of a request's content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Runs anywhere.
    Clean,
    /// Runs only where no other suspect does.
    Suspect,
    /// Is refused until this moment.
    Quarantined(Instant),
}

/// Suspects of the crashes that a table of facts holds; an immutable snapshot.
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
/// // Both are retried, each alone among suspects. One completes, the other crashes a target.
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
    strikes: Strikes,
    quarantined: collections::HashMap<id::Fingerprint, Instant>,
}

impl Suspects {
    /// Derives the suspects from the facts; the order in which these came does not matter.
    pub fn new(table: &facts::Table, now: Instant) -> Self {
        let mut strikes = Strikes::new();
        for (crash, suspects, expiry) in table.crashes(now) {
            let guilty = suspects
                .iter()
                .filter(|p| !table.is_cleared(**p, crash, now));
            for print in guilty.collect::<collections::HashSet<_>>() {
                strikes.entry(*print).or_default().push((crash, expiry));
            }
        }
        let quarantined = convict(&strikes);
        Self {
            strikes,
            quarantined,
        }
    }

    /// Returns the number of suspects, quarantined ones included.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Reports whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    /// Returns what is known of a request's content.
    pub fn status(&self, print: id::Fingerprint, now: Instant) -> Status {
        if let Some(until) = self.quarantined.get(&print)
            && *until > now
        {
            return Status::Quarantined(*until);
        }
        let strikes = self.strikes.get(&print);
        if strikes.is_some_and(|all| all.iter().any(|(_, expiry)| *expiry > now)) {
            Status::Suspect
        } else {
            Status::Clean
        }
    }

    /// Returns the refusal of quarantined content; such a request did not run.
    pub fn refusal(&self, print: id::Fingerprint, now: Instant) -> Option<verdict::Refusal> {
        let Status::Quarantined(until) = self.status(print, now) else {
            return None;
        };
        let period = unit::Period(until.saturating_duration_since(now));
        Some(verdict::Refusal::not_run(verdict::Reason::Quarantined).retry_after(period))
    }

    /// Reports whether content may start at a target beside what runs there.
    ///
    /// Two suspects on one target could both be struck by the crash of one, and an innocent request
    /// would be quarantined. Alone among suspects, a second crash tells them apart.
    pub fn can_run(
        &self,
        print: id::Fingerprint,
        running: impl IntoIterator<Item = id::Fingerprint>,
        now: Instant,
    ) -> bool {
        match self.status(print, now) {
            Status::Clean => true,
            Status::Quarantined(_) => false,
            Status::Suspect => {
                let clean = |other| self.status(other, now) == Status::Clean;
                running.into_iter().all(clean)
            }
        }
    }

    /// Returns the facts that clear content which has completed; none if it is not suspected.
    pub fn clearances(&self, print: id::Fingerprint, now: Instant) -> Vec<facts::Cleared> {
        let strikes = self.strikes.get(&print).into_iter().flatten();
        let cleared = strikes.map(|(crash, expiry)| facts::Cleared {
            fingerprint: print,
            crash: *crash,
            ttl: unit::Period(expiry.saturating_duration_since(now) + MARGIN),
        });
        cleared.collect()
    }
}

/// Creates the fact of a crash with all that ran.
///
/// It is valid for twice the quarantine. Content that crashes a second target within the quarantine
/// of the first crash is then refused for at least that time, and at most twice as long.
pub fn crash_fact(
    ran: impl IntoIterator<Item = id::Fingerprint>,
    quarantine: unit::Period,
) -> facts::Crash {
    facts::Crash {
        id: id::Incarnation::random(),
        suspects: ran.into_iter().collect(),
        ttl: unit::Period(quarantine.0 * 2),
    }
}

/// Returns the content that is quarantined, and until when.
fn convict(strikes: &Strikes) -> collections::HashMap<id::Fingerprint, Instant> {
    let struck = strikes.iter().filter(|(_, all)| all.len() >= STRIKES);
    let struck: Vec<_> = struck.collect();
    // Crashes by the number of contents with several strikes that ran in them.
    let mut rivals: collections::HashMap<id::Incarnation, usize> = collections::HashMap::new();
    for (crash, _) in struck.iter().flat_map(|(_, all)| all.iter()) {
        *rivals.entry(*crash).or_default() += 1;
    }
    let convicted = struck.into_iter().filter(|(_, all)| {
        // Where the news of a crash came late, two suspects may have run together once more. While
        // both could have done it, neither is guilty, unless it is struck yet again.
        let alone = all.iter().any(|(crash, _)| rivals[crash] == 1);
        alone || all.len() > STRIKES
    });
    convicted
        .map(|(print, all)| (*print, acquittal(all)))
        .collect()
}

/// Returns when fewer than [`STRIKES`] strikes will be left.
fn acquittal(strikes: &[(id::Incarnation, Instant)]) -> Instant {
    let mut expiries: Vec<_> = strikes.iter().map(|(_, expiry)| *expiry).collect();
    expiries.sort_unstable();
    expiries[strikes.len() - STRIKES]
}
