//! Completion estimates of jobs, and early failure of jobs that would miss their deadline.

use std::{
    array,
    time, //
};

use tokio::time::Instant;

use crate::{
    batch::{
        Event, Failure, JobKey, Queue, Spec,
        schedule::{
            Entry,
            Position, //
        },
        targets::Throughput,
    },
    forecast,
    unit, //
};

/// Pause between two searches for jobs that would miss their deadline.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Longest estimate; the completion time of a queue without targets is unbounded.
pub(super) const ESTIMATE_MAX: time::Duration = time::Duration::from_secs(600);

impl Queue {
    /// Counts a job that will arrive once the earlier stages of its request are done.
    pub fn announce(&mut self, id: u64, spec: Spec) {
        self.withdraw(id);
        let entry = self.announced.add(Entry::new(&spec));
        self.announced_ids.insert(id, entry);
    }

    /// Removes an announced job that has arrived or was given up.
    pub fn withdraw(&mut self, id: u64) {
        if let Some(entry) = self.announced_ids.remove(&id) {
            self.announced.remove(entry);
        }
    }

    /// Returns the estimated completion time of a job that arrives now.
    pub fn estimate_time(&self, spec: &Spec, now: Instant) -> time::Duration {
        let throughput = self.targets.throughput(now);
        let positions = [self.position(spec, now)];
        let [completion] = self.completion_times(spec, positions, &throughput, now);
        completion
    }

    /// Returns the estimated completion time, from now on, of a job that has yet to arrive.
    pub fn estimate_future(&self, spec: &Spec, now: Instant) -> forecast::Estimate {
        let throughput = self.targets.throughput(now);
        let behind = Position::after_on_time(now);
        let behind = match self.is_short() {
            true => behind.within_rank(spec.rank, false),
            false => behind,
        };
        let positions = [self.position(spec, now), behind];
        let [by_rank, after_on_time] = self.completion_times(spec, positions, &throughput, now);
        forecast::Estimate {
            by_rank: unit::Period(by_rank.min(ESTIMATE_MAX)),
            after_on_time: unit::Period(after_on_time.min(ESTIMATE_MAX)),
        }
    }

    /// Returns the estimated completion time of a job at each of some positions in the queue.
    ///
    /// A late job gets only the throughput that jobs on time leave unused.
    fn completion_times<const N: usize>(
        &self,
        spec: &Spec,
        positions: [Position; N],
        throughput: &Throughput,
        now: Instant,
    ) -> [time::Duration; N] {
        if let Some(shedding) = self.shortage() {
            let ahead = self.shared_pieces_ahead(shedding, spec, positions, throughput, now);
            let pieces = spec.pieces as usize;
            return ahead.map(|ahead| self.targets.completion_time(throughput, ahead, pieces));
        }
        let horizon = self.horizon(now);
        let waiting = self.schedule.pieces_ahead(positions, horizon);
        let announced = self.announced.pieces_ahead(positions, horizon);
        let spare = self.load.spare_share(throughput.rate, now);
        array::from_fn(|i| {
            let ahead = (waiting[i] + announced[i]) as f64;
            let ahead = if positions[i].late {
                ahead / spare
            } else {
                ahead
            };
            let pieces = spec.pieces as usize;
            self.targets.completion_time(throughput, ahead, pieces)
        })
    }

    /// Fails the late jobs that cannot be done before their deadline.
    ///
    /// They were on time on arrival, but later jobs go first. If they waited until the deadline,
    /// their callers would have no time left for another attempt.
    pub(super) fn fail_hopeless(&mut self, now: Instant) -> Vec<Event> {
        let is_recent = self.last_check.is_some_and(|at| now < at + CHECK_INTERVAL);
        if is_recent || self.targets.is_empty() {
            return Vec::new();
        }
        self.last_check = Some(now);
        let order = self.sorted_jobs(now);
        let throughput = self.targets.throughput(now);
        let spare = self.load.spare_share(throughput.rate, now);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        if let Some(shedding) = self.shortage() {
            hopeless = self.displaced_jobs(shedding, &throughput, now);
            return hopeless
                .into_iter()
                .flat_map(|(key, failure)| self.fail_job(key, failure))
                .collect();
        }
        for (key, Position { late, .. }) in order {
            let job = &self.jobs[key];
            let pieces = job.waiting.len();
            let ahead_scaled = ahead as f64 / spare;
            let estimate = self
                .targets
                .completion_time(&throughput, ahead_scaled, pieces);
            if late && now + estimate.min(ESTIMATE_MAX) > job.spec.deadline {
                let excess = estimate.min(ESTIMATE_MAX).as_millis() as u32;
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

    /// Returns how many of the pieces belong to jobs that are on time.
    pub(super) fn pieces_on_time(&self, jobs: &[(JobKey, usize)], now: Instant) -> usize {
        let horizon = self.horizon(now);
        let is_late = |key: JobKey| {
            let entry = self.schedule.get(self.jobs[key].entry);
            entry.is_some_and(|entry| entry.position(horizon).late)
        };
        let on_time = jobs.iter().filter(|(key, _)| !is_late(*key));
        on_time.map(|(_, pieces)| pieces).sum()
    }
}
