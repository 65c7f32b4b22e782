//! Sessions of the lanes that lead to an agent, and what they prove about an unknown attempt.
//!
//! A lane is the series of connections from one process. Each connection opens a session with the
//! next number, and only the newest session may start work.
//!
//! ```
//! use laburnumcart::{id, lanes, verdict};
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let entry = id::Incarnation::random();
//! let mut lanes = lanes::Lanes::new(time::Duration::from_secs(600));
//! lanes.open(entry, 1, now).unwrap();
//! lanes.open(entry, 2, now).unwrap();
//! // A call that was still under way in the first connection can never start.
//! assert_eq!(lanes.check(entry, 1, now).unwrap_err().reason, verdict::Reason::Fenced);
//! assert_eq!(lanes.unknown_verdict(entry, 1), verdict::Verdict::NotRun);
//! ```

use std::collections;

use tokio::time;

use crate::{
    id,
    verdict, //
};

/// Sessions remembered of a lane; a sender asks soon after it has lost a connection.
const PROVABLE_MAX: usize = 16;

/// Newest session of each lane.
#[derive(Debug)]
pub struct Lanes {
    lanes: collections::HashMap<id::Incarnation, Lane>,
    idle_timeout: time::Duration,
}

#[derive(Debug)]
struct Lane {
    /// Newest session; older ones are fenced.
    newest: u64,
    /// Sessions that were opened here, and of which no attempt that may have run was forgotten
    /// unacknowledged; in order, at most [`WHOLE_MAX`].
    provable: Vec<u64>,
    last_used: time::Instant,
}

impl Lanes {
    /// Creates a table that forgets a lane after it was unused for `idle`.
    pub fn new(idle: time::Duration) -> Self {
        Self {
            lanes: collections::HashMap::new(),
            idle_timeout: idle,
        }
    }

    /// Opens session `number` of `lane` and fences the older ones.
    ///
    /// A session is opened once: a repeated number would let calls of two connections through.
    pub fn open(
        &mut self,
        lane: id::Incarnation,
        number: u64,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        let known = self.lanes.entry(lane).or_insert(Lane {
            newest: 0,
            provable: Vec::new(),
            last_used: now,
        });
        if number <= known.newest {
            return Err(fenced());
        }
        known.newest = number;
        known.last_used = now;
        // Sessions that were not opened here say nothing. Their attempts may have run and been
        // forgotten with the lane, or have run at another agent at the same address. A lower bound
        // in place of the list would be wrong: after the lane was forgotten, an old `hello` that
        // was still under way could set it too low.
        known.provable.push(number);
        if known.provable.len() > PROVABLE_MAX {
            known.provable.remove(0);
        }
        Ok(())
    }

    /// Refuses a call unless it names the newest session of a known lane.
    pub fn check(
        &mut self,
        lane: id::Incarnation,
        number: u64,
        now: time::Instant,
    ) -> Result<(), verdict::Refusal> {
        match self.lanes.get_mut(&lane) {
            Some(known) if known.newest == number => {
                known.last_used = now;
                Ok(())
            }
            _ => Err(fenced()),
        }
    }

    /// Notes that an attempt of session `sent` which may have run was forgotten unacknowledged.
    pub fn record_expired(&mut self, lane: id::Incarnation, sent: u64) {
        if let Some(known) = self.lanes.get_mut(&lane) {
            known.provable.retain(|session| *session != sent);
        }
    }

    /// Forgets lanes that were not used for long.
    ///
    /// This is safe: a call of a forgotten lane is refused until `hello`, and whichever session that
    /// opens, nothing that an earlier one has sent is denied from then on.
    pub fn expire(&mut self, now: time::Instant) {
        let idle = self.idle_timeout;
        self.lanes.retain(|_, lane| now - lane.last_used < idle);
    }

    /// Returns what is proven about an attempt of the fenced session `sent` that is not in the table.
    pub fn unknown_verdict(&self, lane: id::Incarnation, sent: u64) -> verdict::Verdict {
        match self.lanes.get(&lane) {
            Some(known) if sent < known.newest && known.provable.contains(&sent) => {
                verdict::Verdict::NotRun
            }
            _ => verdict::Verdict::MayHaveRun,
        }
    }

    /// Reports whether a lane is known.
    pub fn is_known(&self, lane: id::Incarnation) -> bool {
        self.lanes.contains_key(&lane)
    }

    /// Returns the number of lanes known.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Reports whether no lane is known.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }
}

fn fenced() -> verdict::Refusal {
    verdict::Refusal::not_run(verdict::Reason::Fenced)
}
