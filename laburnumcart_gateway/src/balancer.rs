//! Load balancing over the targets of plain services.

use std::{
    sync::Arc,
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    balancer,
    id,
    outlier,
    placement,
    speed,
    unit, //
};

use crate::{
    paces,
    view, //
};

/// Largest share of a service's targets that are ejected as outliers.
const EJECTED_SHARE_MAX: unit::Share = unit::Share(0.5);

/// Assumed service time of a target before the first request has ended.
const INITIAL_TIME: time::Duration = time::Duration::from_millis(50);

/// Weight of the newest service time in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// Cost of sending a request to another data centre; the network takes about two thirds of a
/// millisecond each way.
const EXTRA_LATENCY: time::Duration = time::Duration::from_millis(2);

#[derive(Debug)]
struct Entry {
    target: Arc<view::Target>,
    key: outlier::TargetKey,
    in_flight: u32,
    load: balancer::Load,
    speed: speed::Estimate,
    /// Whether the service time comes from answers.
    answered: bool,
    limits: paces::Limits,
}

/// Target that a request may reach, with the figures that decide; see [`Balancer::rank`].
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The target.
    pub target: Arc<view::Target>,
    /// Probability that the request reaches it.
    pub share: unit::Share,
    /// Expected time until the request would complete there.
    pub expected: time::Duration,
    /// Requests of this process in flight to it.
    pub in_flight: u32,
    /// Whether the target is excluded as an outlier.
    pub ejected: bool,
}

/// Load balancer over the targets of one plain service.
#[derive(Debug)]
pub struct Balancer {
    data_centre: id::DataCentre,
    entries: Vec<Entry>,
    detector: outlier::Detector,
    speed: speed::Service,
    /// Middle service time of the targets that have answered.
    middle: time::Duration,
}

impl Balancer {
    /// Creates a balancer without targets for a gateway in data centre `own`.
    pub fn new(own: id::DataCentre, now: Instant) -> Self {
        Self {
            data_centre: own,
            entries: Vec::new(),
            detector: outlier::Detector::new(EJECTED_SHARE_MAX, now),
            speed: speed::Service::default(),
            middle: INITIAL_TIME,
        }
    }

    /// Sets whether targets are chosen by their speed while they report their slowdown.
    pub fn set_speed(&mut self, enabled: bool) {
        self.speed.set_enabled(enabled);
    }

    /// Replaces the list of targets; the state of those that stay is kept.
    ///
    /// `limits` returns what limits the requests to a target.
    pub fn update_targets(
        &mut self,
        targets: &[Arc<view::Target>],
        limits: impl Fn(&view::Target) -> paces::Limits,
        now: Instant,
    ) {
        let keys = self.entries.iter().map(|e| e.target.key());
        let (gone, new) = view::diff_targets(keys, targets);
        let detector = &mut self.detector;
        self.entries.retain(|entry| {
            let kept = !gone.contains(&entry.target.key());
            if !kept {
                detector.remove(entry.key);
            }
            kept
        });
        for target in new {
            self.entries.push(Entry {
                target: target.clone(),
                key: self.detector.add(),
                in_flight: 0,
                load: initial_load(now),
                speed: speed::Estimate::default(),
                answered: false,
                limits: limits(target),
            });
        }
    }

    /// Chooses an eligible target that was not tried.
    ///
    /// A target that has just started gets more than its pace allows only if no other is left.
    pub fn choose(
        &mut self,
        eligible: &view::Eligible<'_>,
        now: Instant,
    ) -> Option<Arc<view::Target>> {
        // An ejected target is worse than one beyond its pace.
        let is_paced = |entry: &Entry| {
            self.detector.can_send(entry.key, now)
                && entry.limits.pace.can_send(entry.in_flight, now)
        };
        let name = self.draw(eligible, is_paced, now);
        let name = name.or_else(|| self.draw(eligible, |_| true, now))?;
        let entry = self.entries.iter_mut().find(|e| e.target.name == name)?;
        entry.in_flight += 1;
        entry.limits.limiter.record_send(now);
        self.detector.record_send(entry.key, now);
        Some(entry.target.clone())
    }

    /// Draws an eligible target that is allowed, within its rate limits and was not tried.
    fn draw(
        &self,
        eligible: &view::Eligible<'_>,
        is_allowed: impl Fn(&Entry) -> bool,
        now: Instant,
    ) -> Option<id::TargetName> {
        let table = balancer::Table::new(
            self.entries
                .iter()
                .filter(|e| e.limits.limiter.can_send(now) && is_allowed(e))
                .filter(|e| eligible.allows(&e.target))
                .map(|e| self.candidate(e, now))
                .collect(),
        );
        let names: Vec<_> = table.targets().iter().map(|t| t.name.clone()).collect();
        let positions = (0..names.len()).filter(|i| eligible.tried.contains(&names[*i]));
        let tried: Vec<_> = positions.collect();
        let in_flight = |i: usize| self.entry(&names[i]).map_or(0, |e| e.in_flight);
        let request = balancer::Request {
            tried: &tried,
            prefix: None,
            in_flight: &in_flight,
            now,
        };
        let chosen = table.choose(&request, &mut rand::rng())?;
        Some(names[chosen].clone())
    }

    /// Returns the targets that a request may reach now, the most probable one first.
    ///
    /// Targets that are ejected as outliers are included with a share of zero.
    pub fn rank(&self, eligible: &view::Eligible<'_>, now: Instant) -> Vec<Candidate> {
        let entries = self.entries.iter();
        let entries =
            entries.filter(|e| e.limits.limiter.can_send(now) && eligible.contains(&e.target));
        let table = balancer::Table::new(entries.map(|e| self.candidate(e, now)).collect());
        let entry = |i: usize| self.entry(&table.targets()[i].name);
        let in_flight = |i: usize| entry(i).map_or(0, |e| e.in_flight);
        let request = balancer::Request {
            tried: &[],
            prefix: None,
            in_flight: &in_flight,
            now,
        };
        let shares = table.choice_shares(&request).into_iter().enumerate();
        let candidate = |(i, share)| {
            Some(Candidate {
                target: entry(i)?.target.clone(),
                share: unit::Share(share),
                expected: table.expected_time(i, &request),
                in_flight: in_flight(i),
                ejected: table.targets()[i].state != balancer::State::Ready,
            })
        };
        let mut candidates: Vec<_> = shares.filter_map(candidate).collect();
        candidates.sort_by(|a, b| {
            let by_share = b.share.0.total_cmp(&a.share.0);
            by_share.then(a.expected.cmp(&b.expected))
        });
        candidates
    }

    /// Records the end of a request; an outcome of `None` does not affect the target's health.
    pub fn record_end(
        &mut self,
        life: &id::TargetLife,
        outcome: Option<outlier::Outcome>,
        now: Instant,
    ) {
        let Some(entry) = self.entries.iter_mut().find(|e| e.target.key() == *life) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if let Some(outlier::Outcome::Success(taken)) = outcome {
            let mean = entry.load.service_time.as_secs_f64();
            let mean = mean + NEWEST_WEIGHT * (taken.as_secs_f64() - mean);
            entry.load.service_time = time::Duration::from_secs_f64(mean);
            entry.answered = true;
            self.speed.record_answer(&mut entry.speed, now);
        }
        if let Some(outcome) = outcome {
            self.detector.record_outcome(entry.key, outcome, now);
        }
    }

    /// Records the load that a target reports.
    pub fn record_load(
        &mut self,
        life: &id::TargetLife,
        report: placement::Report,
        slots: Option<u32>,
        now: Instant,
    ) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.target.key() == *life) {
            entry.load.pending = report.running.saturating_add(report.waiting);
            entry.load.own_pending = entry.in_flight;
            entry.load.limit = slots.unwrap_or(entry.load.limit);
            entry.load.at = now;
        }
    }

    /// Records the slowdown that a target reports; returns whether a fault is to be logged.
    pub fn record_figure(
        &mut self,
        life: &id::TargetLife,
        figure: speed::Figure,
        now: Instant,
    ) -> bool {
        let speed = &mut self.speed;
        let entry = self.entries.iter_mut().find(|e| e.target.key() == *life);
        entry.is_some_and(|entry| speed.record_figure(&mut entry.speed, figure, now))
    }

    /// Updates the speeds, about once a second; returns whether they are used if that has changed.
    pub fn update_speed(&mut self, now: Instant) -> Option<bool> {
        let estimates = self.entries.iter_mut().map(|entry| ((), &mut entry.speed));
        let (_, change) = self.speed.update(estimates, now);
        if self.speed.is_active() {
            let answered = self.entries.iter().filter(|e| e.answered);
            let mut times: Vec<_> = answered.map(|e| e.load.service_time).collect();
            times.sort_unstable();
            self.middle = *times.get(times.len() / 2).unwrap_or(&INITIAL_TIME);
        }
        change
    }

    /// Reports whether targets are chosen by their speed.
    pub fn uses_speed(&self) -> bool {
        self.speed.is_active()
    }

    /// Returns the load of a target with the service time that is expected now.
    fn expected_load(&self, entry: &Entry, now: Instant) -> balancer::Load {
        if !self.speed.is_active() {
            return entry.load;
        }
        let usual = match entry.answered {
            true => entry.load.service_time,
            false => self.middle,
        };
        balancer::Load {
            service_time: usual.mul_f64(self.speed.deviation(&entry.speed, now)),
            ..entry.load
        }
    }

    fn entry(&self, name: &id::TargetName) -> Option<&Entry> {
        self.entries.iter().find(|e| e.target.name == *name)
    }

    fn candidate(&self, entry: &Entry, now: Instant) -> balancer::Target {
        let is_local = entry.target.data_centre == self.data_centre;
        let state = match self.detector.can_send(entry.key, now) {
            true => balancer::State::Ready,
            false => balancer::State::Ejected,
        };
        balancer::Target {
            name: entry.target.name.clone(),
            state,
            load: self.expected_load(entry, now),
            local: is_local,
            extra_latency: if is_local {
                time::Duration::ZERO
            } else {
                EXTRA_LATENCY
            },
        }
    }
}

fn initial_load(now: Instant) -> balancer::Load {
    balancer::Load {
        pending: 0,
        own_pending: 0,
        limit: 1,
        service_time: INITIAL_TIME,
        at: now,
    }
}
