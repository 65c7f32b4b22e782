//! Speeds of the targets: their updates, metrics and log lines.

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    speed, //
};

use crate::{
    budgets,
    dialect,
    engines,
    gateway::{
        Assignment,
        Gateway, //
    },
    view, //
};

impl Gateway {
    /// Updates the speeds of all targets; to be called about once a second.
    pub(super) fn update_speeds(&self) {
        if !self.settings.features.target_speed {
            return;
        }
        let now = Instant::now();
        let mut active = 0;
        for (service, engines) in view::lock(&self.engines).iter_mut() {
            let (changed, used) = engines.placement.update_speed(now);
            for key in changed {
                let mut speeds = engines.placement.speeds();
                let estimate = speeds.find(|(other, _)| *other == key);
                if let (Some(target), Some((_, estimate))) = (engines.target(key), estimate) {
                    event!(
                        Info,
                        "target-speed",
                        target = target.name,
                        service = service,
                        factor = format_args!("{:.2}", estimate.learned()),
                        samples = estimate.samples()
                    );
                }
            }
            self.set_factors(service, engines);
            record_used(service, used);
            active += i64::from(engines.placement.uses_speed());
        }
        for (service, balancer) in view::lock(&self.balancers).iter_mut() {
            record_used(service, balancer.update_speed(now));
            active += i64::from(balancer.uses_speed());
        }
        self.metrics.speed.services.set(active);
    }

    /// Sets the gauges of the learned factors of a service.
    fn set_factors(&self, service: &id::ServiceName, engines: &engines::Engines) {
        if !engines.placement.uses_speed() {
            return;
        }
        let factors = || engines.placement.speeds().map(|(_, e)| e.learned());
        let labels = budgets::ServiceLabels {
            service: service.to_string(),
        };
        let metrics = &self.metrics.speed;
        let least = factors().fold(1.0, f64::min);
        let greatest = factors().fold(1.0, f64::max);
        metrics.least.get_or_create(&labels).set(least);
        metrics.greatest.get_or_create(&labels).set(greatest);
    }
}

impl Assignment {
    /// Records the slowdown that the target reported in its response.
    pub(super) fn record_slowdown(&self, head: &dialect::ResponseHead, now: Instant) {
        if !self.gateway.settings.features.target_speed {
            return;
        }
        let figure = head.slowdown;
        let mut is_logged = false;
        match self.engine {
            Some(place) => self.with_engines(|e| {
                is_logged = e.placement.record_figure(place.engine, figure, now);
            }),
            None => self.with_balancer(|b| {
                is_logged = b.record_figure(&self.target.key(), figure, now);
            }),
        }
        let fault = match figure {
            speed::Figure::Absent | speed::Figure::Usable(_) => return,
            speed::Figure::Bounded(_) => "out-of-bounds",
            speed::Figure::Unreadable => "unreadable",
        };
        self.gateway.metrics.speed.false_figures.inc();
        if is_logged {
            event!(
                Warn,
                "slowdown-false",
                target = self.target.name,
                service = self.service,
                fault = fault
            );
        }
    }
}

/// Logs that the speeds of a service's targets are used from now on, or no longer.
fn record_used(service: &id::ServiceName, used: Option<bool>) {
    if let Some(used) = used {
        event!(Info, "service-speed", service = service, used = used);
    }
}
