//! How long jobs will take, and which cannot be done in time.

use std::{
    array,
    time, //
};

use tokio::time::Instant;

use crate::{
    batch::{
        Event, Failure, JobKey, Queue, Spec,
        targets::Supply,
        turns::{
            Place,
            Turn, //
        },
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
    pub fn announce(&mut self, id: u64, spec: Spec) {
        self.withdraw(id);
        let turn = self.coming.add(Turn::new(&spec));
        self.expected.insert(id, turn);
    }

    /// Forgets a job that has come, or will not come any more.
    pub fn withdraw(&mut self, id: u64) {
        if let Some(turn) = self.expected.remove(&id) {
            self.coming.remove(turn);
        }
    }

    /// Returns how long a job will take, as far as is known.
    pub fn estimate_time(&self, spec: &Spec, now: Instant) -> time::Duration {
        let supply = self.targets.supply(now);
        let [turn] = self.ends(spec, [self.place(spec, now)], &supply, now);
        turn
    }

    /// Returns how long a job that will come would take from now on.
    pub fn estimate_future(&self, spec: &Spec, now: Instant) -> forecast::Estimate {
        let supply = self.targets.supply(now);
        let places = [self.place(spec, now), (true, now)];
        let [turn, behind] = self.ends(spec, places, &supply, now);
        forecast::Estimate {
            turn: unit::Period(turn.min(FORECAST_MAX)),
            behind: unit::Period(behind.min(FORECAST_MAX)),
        }
    }

    /// Returns how long a job takes at each of these places.
    ///
    /// A job that is not on time gets what those on time leave, now and in the time to come.
    fn ends<const N: usize>(
        &self,
        spec: &Spec,
        places: [Place; N],
        supply: &Supply,
        now: Instant,
    ) -> [time::Duration; N] {
        let horizon = self.horizon(now);
        let waiting = self.turns.ahead(places, horizon);
        let coming = self.coming.ahead(places, horizon);
        let spare = self.load.spare(supply.capacity, now);
        array::from_fn(|i| {
            let ahead = (waiting[i] + coming[i]) as f64;
            let (late, _) = places[i];
            let ahead = if late { ahead / spare } else { ahead };
            self.targets.outlook(supply, ahead, spec.pieces as usize)
        })
    }

    /// Gives up the late jobs that cannot be done before their deadline.
    ///
    /// They were on time when they came, and what came after them goes first. Kept to the deadline,
    /// their callers would have no time left to come again.
    pub(super) fn give_up(&mut self, now: Instant) -> Vec<Event> {
        let checked = self.checked.is_some_and(|at| now < at + CHECK);
        if checked || self.targets.is_empty() {
            return Vec::new();
        }
        self.checked = Some(now);
        let order = self.order(now);
        let supply = self.targets.supply(now);
        let spare = self.load.spare(supply.capacity, now);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for (key, (late, _)) in order {
            let job = &self.jobs[key];
            let pieces = job.waiting.len();
            let outlook = self.targets.outlook(&supply, ahead as f64 / spare, pieces);
            if late && now + outlook.min(FORECAST_MAX) > job.spec.deadline {
                let excess = outlook.min(FORECAST_MAX).as_millis() as u32;
                hopeless.push((key, Failure::Busy(excess)));
                continue;
            }
            ahead += pieces;
        }
        let hopeless = hopeless.into_iter();
        hopeless
            .flat_map(|(key, failure)| self.fail_job(key, failure))
            .collect()
    }

    /// Returns how many of the pieces are of jobs that are on time.
    pub(super) fn on_time(&self, jobs: &[(JobKey, usize)], now: Instant) -> usize {
        let horizon = self.horizon(now);
        let is_late = |key: JobKey| {
            let turn = self.turns.get(self.jobs[key].turn);
            turn.is_some_and(|turn| turn.place(horizon).0)
        };
        let on_time = jobs.iter().filter(|(key, _)| !is_late(*key));
        on_time.map(|(_, pieces)| pieces).sum()
    }
}
