//! Lanes and sessions at an agent, with the verdict on attempts that the agent does not know.
//!
//! A lane is the series of connections from one process, and is identified by the incarnation of
//! that process. Each connection opens a session with the next number, by a `hello` call, and only
//! the newest session may start work.
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
//! // A call that was in flight on the first connection can never start.
//! assert_eq!(lanes.check(entry, 1, now).unwrap_err().reason, verdict::Reason::Fenced);
//! assert_eq!(lanes.unknown_verdict(entry, 1), verdict::Verdict::NotRun);
//! ```

use std::collections;

use tokio::time;

use crate::{
    id,
    verdict, //
};

/// Sessions remembered of a lane. Senders query an attempt soon after losing its connection, so
/// that a few suffice.
const PROVABLE_MAX: usize = 16;

/// Known lanes with their newest sessions.
#[derive(Debug)]
pub struct Lanes {
    /// Lanes by the incarnation of the process that connects.
    lanes: collections::HashMap<id::Incarnation, Lane>,
    idle_timeout: time::Duration,
}

#[derive(Debug)]
struct Lane {
    /// Newest session; older ones are fenced.
    newest: u64,
    /// Sessions whose unknown attempts are proven not to have run; in order, at most
    /// [`PROVABLE_MAX`]. They were opened here, and each of their attempts that may have
    /// run either is still in the table of attempts or was settled before it left the table.
    provable: Vec<u64>,
    last_used: time::Instant,
}

impl Lanes {
    /// Creates a table that drops a lane after it was unused for `idle_timeout`.
    pub fn new(idle_timeout: time::Duration) -> Self {
        Self {
            lanes: collections::HashMap::new(),
            idle_timeout,
        }
    }

    /// Opens session `number` of `lane` and fences the older ones.
    ///
    /// A number can be opened only once; otherwise the calls of two connections would be accepted.
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
        // Nothing is proven for sessions that were not opened here. Their attempts may have run and
        // been dropped with the lane, or have run at another agent at the same address. A lower
        // bound in place of the list would be wrong: once the lane was dropped, a delayed `hello`
        // of an older session could set it too low.
        known.provable.push(number);
        if known.provable.len() > PROVABLE_MAX {
            known.provable.remove(0);
        }
        Ok(())
    }

    /// Refuses a call that does not belong to the newest session of a known lane.
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

    /// Records that an attempt of `session` that may have run expired before it was settled.
    pub fn record_expired(&mut self, lane: id::Incarnation, session: u64) {
        if let Some(known) = self.lanes.get_mut(&lane) {
            known.provable.retain(|number| *number != session);
        }
    }

    /// Drops lanes that were unused for the idle timeout.
    ///
    /// This is safe: calls of a dropped lane are refused until the next `hello`, and attempts of
    /// sessions that were opened earlier are then never reported as not run.
    pub fn expire(&mut self, now: time::Instant) {
        let timeout = self.idle_timeout;
        self.lanes.retain(|_, lane| now - lane.last_used < timeout);
    }

    /// Returns the verdict on an attempt of `session` that is not in the table of attempts.
    pub fn unknown_verdict(&self, lane: id::Incarnation, session: u64) -> verdict::Verdict {
        match self.lanes.get(&lane) {
            Some(known) if session < known.newest && known.provable.contains(&session) => {
                verdict::Verdict::NotRun
            }
            _ => verdict::Verdict::MayHaveRun,
        }
    }

    /// Reports whether a lane is known.
    pub fn is_known(&self, lane: id::Incarnation) -> bool {
        self.lanes.contains_key(&lane)
    }

    /// Returns the number of known lanes.
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
