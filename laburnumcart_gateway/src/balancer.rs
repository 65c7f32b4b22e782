//! Choice among the targets of plain services.

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
    quota,
    residency,
    unit, //
};

use crate::view;

/// Most targets of a service that are excluded as outliers.
const EJECTED: unit::Share = unit::Share(0.5);

/// Time of a request until the first one was measured.
const FIRST: time::Duration = time::Duration::from_millis(50);

/// Weight of the newest time in the mean.
const WEIGHT: f64 = 0.2;

/// What a crossing between data centres costs: about two thirds of a millisecond each way.
const CROSSING: time::Duration = time::Duration::from_millis(2);

#[derive(Debug)]
struct Entry {
    target: Arc<view::Target>,
    key: outlier::TargetKey,
    own: u32,
    load: balancer::Load,
    gate: quota::Limiter,
}

/// Targets of one plain service.
#[derive(Debug)]
pub struct Balancer {
    own: id::DataCentre,
    entries: Vec<Entry>,
    ejector: outlier::Detector,
}

impl Balancer {
    /// Creates a balancer for callers in a data centre.
    pub fn new(own: id::DataCentre, now: Instant) -> Self {
        Self {
            own,
            entries: Vec::new(),
            ejector: outlier::Detector::new(EJECTED, now),
        }
    }

    /// Takes in the list of targets; what is known of those that stay is kept.
    ///
    /// `gate` returns what holds requests for one to what it takes.
    pub fn update(
        &mut self,
        targets: &[Arc<view::Target>],
        gate: impl Fn(&view::Target) -> quota::Limiter,
        now: Instant,
    ) {
        let known = self.entries.iter().map(|e| e.target.key());
        let (gone, new) = view::changes(known, targets);
        let ejector = &mut self.ejector;
        self.entries.retain(|entry| {
            let kept = !gone.contains(&entry.target.key());
            if !kept {
                ejector.remove(entry.key);
            }
            kept
        });
        for target in new {
            self.entries.push(Entry {
                target: target.clone(),
                key: self.ejector.add(),
                own: 0,
                load: unknown(now),
                gate: gate(target),
            });
        }
    }

    /// Chooses a target other than those tried, in one of some data centres if these are given.
    pub fn choose(
        &mut self,
        places: Option<&[id::DataCentre]>,
        tried: &[id::TargetName],
        now: Instant,
    ) -> Option<Arc<view::Target>> {
        let table = balancer::Table::new(
            self.entries
                .iter()
                .filter(|e| e.gate.can_send(now))
                .filter(|e| residency::is_allowed(places, &e.target.data_centre))
                .map(|e| self.candidate(e, now))
                .collect(),
        );
        let names: Vec<_> = table.targets().iter().map(|t| t.name.clone()).collect();
        let positions = (0..names.len()).filter(|i| tried.contains(&names[*i]));
        let tried: Vec<_> = positions.collect();
        let own = |i: usize| self.entry(&names[i]).map_or(0, |e| e.own);
        let ask = balancer::Request {
            tried: &tried,
            prefix: None,
            in_flight: &own,
            now,
        };
        let chosen = table.choose(&ask, &mut rand::rng())?;
        let name = names[chosen].clone();
        let entry = self.entries.iter_mut().find(|e| e.target.name == name)?;
        entry.own += 1;
        entry.gate.record_send(now);
        self.ejector.record_send(entry.key, now);
        Some(entry.target.clone())
    }

    /// Records the end of a request; `None` says nothing of the target's health.
    pub fn end(&mut self, life: &id::TargetLife, outcome: Option<outlier::Outcome>, now: Instant) {
        let Some(entry) = self.entries.iter_mut().find(|e| e.target.key() == *life) else {
            return;
        };
        entry.own = entry.own.saturating_sub(1);
        if let Some(outlier::Outcome::Success(taken)) = outcome {
            let mean = entry.load.service_time.as_secs_f64();
            let mean = mean + WEIGHT * (taken.as_secs_f64() - mean);
            entry.load.service_time = time::Duration::from_secs_f64(mean);
        }
        if let Some(outcome) = outcome {
            self.ejector.record_outcome(entry.key, outcome, now);
        }
    }

    /// Takes in a target's report of its load.
    pub fn report(
        &mut self,
        life: &id::TargetLife,
        report: placement::Report,
        slots: Option<u32>,
        now: Instant,
    ) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.target.key() == *life) {
            entry.load.pending = report.running + report.waiting;
            entry.load.own_pending = entry.own;
            entry.load.limit = slots.unwrap_or(entry.load.limit);
            entry.load.at = now;
        }
    }

    fn entry(&self, name: &id::TargetName) -> Option<&Entry> {
        self.entries.iter().find(|e| e.target.name == *name)
    }

    fn candidate(&self, entry: &Entry, now: Instant) -> balancer::Target {
        let local = entry.target.data_centre == self.own;
        let state = match self.ejector.can_send(entry.key, now) {
            true => balancer::State::Ready,
            false => balancer::State::Ejected,
        };
        balancer::Target {
            name: entry.target.name.clone(),
            state,
            load: entry.load,
            local,
            extra_latency: if local {
                time::Duration::ZERO
            } else {
                CROSSING
            },
        }
    }
}

fn unknown(now: Instant) -> balancer::Load {
    balancer::Load {
        pending: 0,
        own_pending: 0,
        limit: 1,
        service_time: FIRST,
        at: now,
    }
}
