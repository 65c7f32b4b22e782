//! How long jobs will take, and which cannot be done in time.

use std::time;

use tokio::time::Instant;

use crate::{
    batch::{
        Event,
        Failure,
        JobKey,
        Queue,
        Spec, //
    },
    forecast,
    unit, //
};

/// Pause between two looks for jobs that cannot be done in time.
const CHECK: time::Duration = time::Duration::from_millis(100);

/// Longest time that is forecast; a queue without targets would never be done.
const FORECAST_MAX: time::Duration = time::Duration::from_secs(600);

impl Queue {
    /// Takes in that a job will come, when the stages before it are done.
    pub fn expect(&mut self, id: u64, spec: Spec) {
        self.expected.insert(id, spec);
    }

    /// Forgets a job that has come, or will not come any more.
    pub fn unexpect(&mut self, id: u64) {
        self.expected.remove(&id);
    }

    /// Returns how long a job will take, as far as is known.
    pub fn outlook(&self, spec: &Spec, now: Instant) -> time::Duration {
        let ahead = self.ahead(self.turn(spec, false, now), now);
        self.engines.outlook(ahead, spec.pieces as usize, now)
    }

    /// Returns how long a job that will come would take from now on.
    pub fn forecast(&self, spec: &Spec, now: Instant) -> forecast::Outlook {
        let behind = self.ahead((true, now), now);
        let behind = self.engines.outlook(behind, spec.pieces as usize, now);
        forecast::Outlook {
            turn: unit::Period(self.outlook(spec, now).min(FORECAST_MAX)),
            behind: unit::Period(behind.min(FORECAST_MAX)),
        }
    }

    /// Returns the pieces that are done before a job with this turn.
    ///
    /// A job that is not on time gets what those on time leave, now and in the time to come.
    fn ahead(&self, own: (bool, Instant), now: Instant) -> f64 {
        let waiting = self.jobs.values().map(|j| {
            let turn = self.turn(&j.spec, j.is_started(), now);
            (turn, j.waiting.len())
        });
        let expected = self.expected.values().map(|spec| {
            let turn = self.turn(spec, false, now);
            (turn, spec.pieces as usize)
        });
        let earlier = waiting.chain(expected).filter(|(turn, _)| *turn <= own);
        let pieces: usize = earlier.map(|(_, pieces)| pieces).sum();
        match own.0 {
            false => pieces as f64,
            true => pieces as f64 / self.load.spare(self.engines.capacity(now), now),
        }
    }

    /// Gives up the late jobs that cannot be done before their deadline.
    ///
    /// They were on time when they came, and what came after them goes first. Kept to the deadline,
    /// their callers would have no time left to come again.
    pub(super) fn give_up(&mut self, now: Instant) -> Vec<Event> {
        let checked = self.checked.is_some_and(|at| now < at + CHECK);
        if checked || self.engines.is_empty() {
            return Vec::new();
        }
        self.checked = Some(now);
        let order = self.order(now);
        let spare = self.load.spare(self.engines.capacity(now), now);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for (key, (late, _)) in order {
            let job = &self.jobs[key];
            let pieces = job.waiting.len();
            let outlook = self.engines.outlook(ahead as f64 / spare, pieces, now);
            if late && now + outlook.min(FORECAST_MAX) > job.spec.deadline {
                let excess = outlook.min(FORECAST_MAX).as_millis() as u32;
                hopeless.push((key, Failure::Busy(excess)));
                continue;
            }
            ahead += pieces;
        }
        let hopeless = hopeless.into_iter();
        hopeless
            .flat_map(|(key, failure)| self.fail(key, failure))
            .collect()
    }

    /// Returns how many of the pieces are of jobs that are on time.
    pub(super) fn on_time(&self, jobs: &[(JobKey, usize)], now: Instant) -> usize {
        let is_late = |key: JobKey| {
            let job = &self.jobs[key];
            self.turn(&job.spec, job.is_started(), now).0
        };
        let on_time = jobs.iter().filter(|(key, _)| !is_late(*key));
        on_time.map(|(_, pieces)| pieces).sum()
    }
}
