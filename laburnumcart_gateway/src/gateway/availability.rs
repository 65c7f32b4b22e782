//! Whether targets take a request, and when.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    id,
    residency,
    unit,
    verdict, //
};

use crate::{
    admission,
    gateway::Gateway,
    reply, //
};

impl Gateway {
    /// Reports whether a service has a target for a request that takes requests now.
    pub fn has_target(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        tried: &[id::TargetName],
    ) -> bool {
        let now = Instant::now();
        let places = request.places.as_deref();
        let targets = self.view.targets.load();
        let mut targets = targets.service(service).iter();
        targets.any(|target| {
            let allowed = residency::is_allowed(places, &target.data_centre);
            allowed && !tried.contains(&target.name) && self.gate(target).can_send(now)
        })
    }

    /// Returns the time until a service has a target for a request that takes requests, if any of its
    /// targets tells.
    fn wait(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        now: Instant,
    ) -> Option<time::Duration> {
        let places = request.places.as_deref();
        let targets = self.view.targets.load();
        let targets = targets.service(service).iter();
        let allowed = targets.filter(|t| residency::is_allowed(places, &t.data_centre));
        let waits = allowed.map(|target| self.gate(target).wait_time(now));
        waits.min().filter(|wait| *wait < time::Duration::MAX)
    }

    /// Tells the caller of a refused request when to come again, where no target takes requests now.
    ///
    /// Those that are told of one moment come at different ones.
    pub fn advise(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        refusal: verdict::Refusal,
    ) -> verdict::Refusal {
        let is_open = self.has_target(request, service, &[]);
        if is_open || refusal.retry.is_some() || refusal.verdict != verdict::Verdict::NotRun {
            return refusal;
        }
        match self.wait(request, service, Instant::now()) {
            Some(wait) => {
                let after = wait + reply::RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>());
                refusal.retry_after(unit::Period(after))
            }
            None => refusal,
        }
    }

    /// Refuses a request whose content has crashed one target after the other.
    pub fn check_content(&self, request: &admission::Request) -> Result<(), verdict::Refusal> {
        let signals = &self.outbound.quotas.signals;
        let Some(until) = signals.refused(|| request.content()) else {
            return Ok(());
        };
        let wait = unit::Period(until.saturating_duration_since(Instant::now()));
        Err(verdict::Refusal::not_run(verdict::Reason::Quarantined).retry_after(wait))
    }

    /// Refuses a request that none of its targets would take in time.
    ///
    /// Begun nevertheless, its stages would be executed for nothing, and its caller told later.
    pub fn check_targets(&self, request: &admission::Request) -> Result<(), verdict::Refusal> {
        let left = request.left();
        let backends = request.route.backends.iter().filter(|b| b.weight > 0);
        let services: Vec<_> = backends.map(|backend| &backend.service).collect();
        if services.iter().any(|s| self.has_target(request, s, &[])) {
            return Ok(());
        }
        let now = Instant::now();
        let waits = services.iter().filter_map(|s| self.wait(request, s, now));
        if waits.min().is_some_and(|wait| wait < left) {
            return Ok(());
        }
        let refusal = verdict::Refusal::not_run(verdict::Reason::NoTarget);
        Err(match services.first() {
            Some(service) => self.advise(request, service, refusal),
            None => refusal,
        })
    }
}
