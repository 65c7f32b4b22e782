//! Order and estimates of a queue during a shortage, when ranks share its capacity.

use std::{
    array,
    collections,
    time, //
};

use tokio::time::Instant;

use crate::{
    batch::{
        Failure, JobKey, Queue, Rank, Spec, estimate,
        schedule::{
            Entry,
            Position,
            Schedule, //
        },
        targets::Throughput,
    },
    shedding,
};

/// Pause between two updates of the shortage, which visit all jobs.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl Queue {
    /// Makes ranks share the capacity during a shortage, with this floor for each but the most
    /// urgent one; `None` serves by due time always.
    pub fn set_floor(&mut self, floor: Option<f64>) {
        self.shedding = floor.map(shedding::Shedding::new);
    }

    /// Counts the pieces of a job as offered, before its admission is decided.
    pub fn record_offer(&mut self, spec: &Spec, now: Instant) {
        if let Some(shedding) = &mut self.shedding {
            shedding.record_offer(spec.rank, spec.pieces, now);
        }
    }

    /// Returns the last change of the shortage that was not taken yet.
    pub fn take_shortage_change(&mut self) -> Option<shedding::Change> {
        self.shedding.as_mut()?.take_change()
    }

    /// Reports whether the queue is short of capacity and ranks share it.
    pub fn is_short(&self) -> bool {
        self.shortage().is_some()
    }

    /// Returns the shares of the ranks during a shortage.
    pub(super) fn shortage(&self) -> Option<&shedding::Shedding> {
        self.shedding
            .as_ref()
            .filter(|shedding| shedding.is_short())
    }

    /// Updates the state of the shortage and the credits of the ranks.
    pub(super) fn update_shortage(&mut self, now: Instant) {
        let Some(shedding) = &mut self.shedding else {
            return;
        };
        let updated = shedding.updated();
        if updated.is_some_and(|at| now < at + UPDATE_INTERVAL) {
            return;
        }
        let supply = shedding::Supply {
            rate: self.targets.full_rate(now),
            call: self.batching.pieces,
            targets: self.targets.len(),
            waiting: self.schedule.pieces(),
        };
        shedding.update(supply, self.schedule.ranks(), now);
    }

    /// Returns the sort key of a job without regard to floors.
    pub(super) fn entry_position(&self, entry: &Entry, horizon: Instant) -> Position {
        match self.is_short() {
            true => entry.ranked_position(horizon),
            false => entry.position(horizon),
        }
    }

    /// Returns the sort key that a job has if it is the first of its rank.
    pub(super) fn first_position(&self, entry: &Entry, horizon: Instant) -> Position {
        let mut position = self.entry_position(entry, horizon);
        let has_credit = |s: &shedding::Shedding| s.credit(entry.rank) > 0.0;
        if self.shortage().is_some_and(has_credit) {
            position.turn = 0;
        }
        position
    }

    /// Moves the first jobs of each rank that is owed a part of its floor to the front.
    pub(super) fn advance_floors(&self, order: &mut [(JobKey, Position)]) {
        let Some(shedding) = self.shortage() else {
            return;
        };
        let mut credits: collections::BTreeMap<Rank, f64> = collections::BTreeMap::new();
        for (key, position) in order.iter_mut() {
            let job = &self.jobs[*key];
            let rank = job.spec.rank;
            let credit = credits.entry(rank);
            let credit = credit.or_insert_with(|| shedding.credit(rank));
            if *credit > 0.0 {
                *credit -= job.waiting.len() as f64;
                position.turn = 0;
            }
        }
        order.sort_by_key(|(_, position)| *position);
    }

    /// Records which ranks the pieces of a call belong to.
    pub(super) fn record_shares(&mut self, jobs: &[(JobKey, usize)], now: Instant) {
        for (key, pieces) in jobs {
            let on_time = self.pieces_on_time(&[(*key, *pieces)], now);
            let rank = self.jobs[*key].spec.rank;
            if let Some(shedding) = &mut self.shedding {
                shedding.record_sent(rank, *pieces, on_time, now);
            }
        }
    }

    /// Returns for each position the pieces that the queue serves before a job there, by the part
    /// of the capacity that its rank gets.
    pub(super) fn shared_pieces_ahead<const N: usize>(
        &self,
        shedding: &shedding::Shedding,
        spec: &Spec,
        positions: [Position; N],
        throughput: &Throughput,
        now: Instant,
    ) -> [f64; N] {
        let horizon = self.horizon(now);
        let ahead =
            |schedule: &Schedule| schedule.ranked_pieces_ahead(spec.rank, positions, horizon);
        let (waiting, waiting_higher) = ahead(&self.schedule);
        let (announced, announced_higher) = ahead(&self.announced);
        let lane = shedding.lane(spec.rank, now);
        let spare = shedding.spare_share(spec.rank, throughput.rate, now);
        let higher = (waiting_higher + announced_higher) as f64;
        array::from_fn(|i| {
            let own = (waiting[i] + announced[i]) as f64;
            let own = if positions[i].late { own / spare } else { own };
            lane.pieces_ahead(own, higher)
        })
    }

    /// Lists the jobs without sent pieces that cannot be done before their deadline, because more
    /// urgent ranks take the capacity that was free on their arrival.
    pub(super) fn displaced_jobs(
        &self,
        shedding: &shedding::Shedding,
        throughput: &Throughput,
        now: Instant,
    ) -> Vec<(JobKey, Failure)> {
        let mut waiting: collections::BTreeMap<Rank, usize> = collections::BTreeMap::new();
        let order = self.sorted_jobs(now);
        for (key, _) in &order {
            let job = &self.jobs[*key];
            *waiting.entry(job.spec.rank).or_default() += job.waiting.len();
        }
        let mut higher = 0;
        let lanes = waiting.into_iter().map(|(rank, pieces)| {
            let lane = shedding.lane(rank, now);
            let spare = shedding.spare_share(rank, throughput.rate, now);
            let above = higher;
            higher += pieces;
            (rank, (lane, spare, above, 0))
        });
        let mut lanes: collections::BTreeMap<_, _> = lanes.collect();
        let mut displaced = Vec::new();
        for (key, position) in order {
            let job = &self.jobs[key];
            let Some((lane, spare, higher, own)) = lanes.get_mut(&job.spec.rank) else {
                continue;
            };
            let pieces = job.waiting.len();
            let scaled = *own as f64 / if position.late { *spare } else { 1.0 };
            let ahead = lane.pieces_ahead(scaled, *higher as f64);
            let estimate = self.targets.completion_time(throughput, ahead, pieces);
            let estimate = estimate.min(estimate::ESTIMATE_MAX);
            let may_fail = position.fresh && (position.late || !job.sent);
            if may_fail && now + estimate > job.spec.deadline {
                let due = job.spec.due.saturating_duration_since(now);
                let excess = estimate.saturating_sub(due).as_millis() as u32;
                displaced.push((key, Failure::Busy(excess)));
                continue;
            }
            *own += pieces;
        }
        displaced
    }
}
