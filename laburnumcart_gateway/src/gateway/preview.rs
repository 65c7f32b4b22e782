//! Ranking of the targets that a request may reach, without choosing one.

use std::{
    sync::Arc,
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    id,
    placement,
    unit, //
};
use laburnumcart_wire::route as wire;

use crate::{
    admission,
    balancer,
    engines,
    forward,
    gateway::Gateway,
    view, //
};

impl Gateway {
    /// Returns the targets of a service that can get a request now, in the order of preference.
    ///
    /// Decides like the first send of the request, but changes no state. The inputs that its stages
    /// would produce are not known, so the cost of an engine lacks their transfer.
    pub fn rank_targets(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        now: Instant,
    ) -> Vec<wire::Candidate> {
        let eligible = view::Eligible {
            data_centres: request.data_centres.as_deref(),
            ..view::Eligible::default()
        };
        let avoided = forward::avoided_versions(&self.view, request, service);
        let preferred = view::Eligible {
            avoided: &avoided,
            ..eligible
        };
        let candidates = self.rank_eligible(request, service, &preferred, now);
        match candidates.is_empty() && !avoided.is_empty() {
            true => self.rank_eligible(request, service, &eligible, now),
            false => candidates,
        }
    }

    fn rank_eligible(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        eligible: &view::Eligible<'_>,
        now: Instant,
    ) -> Vec<wire::Candidate> {
        let limits = request.table.service(service).and_then(|s| s.engine);
        let targets = self.view.targets.load();
        let targets = targets.service(service);
        if let Some(known) = view::lock(&self.engines).get(service) {
            return rank_engines(known, request, eligible, now);
        }
        if let Some(limits) = limits {
            // The first request creates the shared state in the same way.
            let mut fresh = engines::Engines::new(limits);
            fresh.update_targets(targets, |t| self.request_limits(t));
            return rank_engines(&fresh, request, eligible, now);
        }
        if let Some(known) = view::lock(&self.balancers).get(service) {
            return rank_balanced(known, eligible, now);
        }
        let mut fresh = balancer::Balancer::new(self.settings.data_centre.clone(), now);
        fresh.update_targets(targets, |t| self.request_limits(t), now);
        rank_balanced(&fresh, eligible, now)
    }

    /// Returns the first reason that keeps a request from a target which is no candidate.
    pub fn exclusion(
        &self,
        request: &admission::Request,
        target: &view::Target,
        now: Instant,
    ) -> wire::Cause {
        let eligible = view::Eligible {
            data_centres: request.data_centres.as_deref(),
            ..view::Eligible::default()
        };
        let limiter = self.request_limiter(target);
        let (backoff, wait) = (limiter.backoff_left(now), limiter.wait_time(now));
        if target.leaving {
            wire::Cause::Leaving
        } else if self.view.is_evacuated(&target.data_centre) {
            wire::Cause::Evacuated
        } else if !eligible.allows(target) {
            wire::Cause::DataCentre
        } else if self.outbound.quotas.is_silent(target) {
            wire::Cause::Silent
        } else if !backoff.is_zero() {
            wire::Cause::Backoff(rounded(backoff))
        } else if limiter.is_backing_off(now) {
            // The announcement of the target has not reached the list of targets yet.
            wire::Cause::Leaving
        } else if !wait.is_zero() {
            wire::Cause::Limit((wait < time::Duration::MAX).then(|| rounded(wait)))
        } else {
            let avoided = forward::avoided_versions(&self.view, request, &target.service);
            let is_avoided = |version| avoided.contains(version);
            match target.version.as_ref().is_some_and(is_avoided) {
                true => wire::Cause::Version,
                false => wire::Cause::New,
            }
        }
    }
}

fn rank_engines(
    engines: &engines::Engines,
    request: &admission::Request,
    eligible: &view::Eligible<'_>,
    now: Instant,
) -> Vec<wire::Candidate> {
    let avoid = engines.excluded(eligible);
    let ask = super::placement_request(request, &[], &avoid);
    let ranked = engines.rank(&ask, now).into_iter().enumerate();
    let candidate = |(i, (found, target)): (usize, (placement::Candidate, Arc<view::Target>))| {
        let figures = wire::Figures::Engine {
            cost_ms: (found.cost_ms * 10.0).round() / 10.0,
            uncached_tokens: found.uncached_tokens,
            running: found.running,
            reported: found.report.map(|report| report.running),
            waiting: found.report.map(|report| report.waiting),
            affine: found.is_affine,
            paused: found.paused.map(rounded),
        };
        let share = if i == 0 { 1.0 } else { 0.0 };
        describe(&target, unit::Share(share), figures)
    };
    ranked.map(candidate).collect()
}

fn rank_balanced(
    balancer: &balancer::Balancer,
    eligible: &view::Eligible<'_>,
    now: Instant,
) -> Vec<wire::Candidate> {
    let ranked = balancer.rank(eligible, now).into_iter();
    let candidate = |found: balancer::Candidate| {
        let figures = wire::Figures::Plain {
            expected: rounded(found.expected),
            in_flight: found.in_flight,
            ejected: found.ejected,
        };
        describe(&found.target, found.share, figures)
    };
    ranked.map(candidate).collect()
}

fn describe(target: &view::Target, share: unit::Share, figures: wire::Figures) -> wire::Candidate {
    wire::Candidate {
        target: target.name.clone(),
        data_centre: target.data_centre.clone(),
        share,
        figures,
    }
}

/// Returns a duration rounded down to milliseconds.
fn rounded(time: time::Duration) -> unit::Period {
    unit::Period::from_millis(time.as_millis().try_into().unwrap_or(u64::MAX))
}
