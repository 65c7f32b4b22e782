//! Availability of targets: early refusals and the Retry-After of refused requests.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    event,
    id,
    origin,
    unit,
    verdict, //
};

use crate::{
    admission,
    gateway::Gateway,
    peers::trial,
    reply,
    view, //
};

/// Longest wait for a permit to run limited content.
const TRIAL_WAIT: time::Duration = time::Duration::from_millis(1500);

/// Pause before a permit is asked for again.
const TRIAL_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Retry delay of a request that got no permit.
const LIMITED_RETRY: time::Duration = time::Duration::from_millis(1000);

impl Gateway {
    /// Returns whether a service has a target that can accept a request now.
    pub fn has_target(&self, service: &id::ServiceName, eligible: &view::Eligible<'_>) -> bool {
        let now = Instant::now();
        let targets = self.view.targets.load();
        let mut targets = targets.service(service).iter();
        targets.any(|t| eligible.contains(t) && self.request_limiter(t).can_send(now))
    }

    /// Returns the time until a target of a service can accept a request, if that is known.
    fn time_to_target(
        &self,
        service: &id::ServiceName,
        eligible: &view::Eligible<'_>,
        now: Instant,
    ) -> Option<time::Duration> {
        let targets = self.view.targets.load();
        let targets = targets.service(service).iter();
        let allowed = targets.filter(|t| eligible.allows(t));
        let waits = allowed.map(|target| self.request_limiter(target).wait_time(now));
        waits.min().filter(|wait| *wait < time::Duration::MAX)
    }

    /// Reports whether a stage's service has a target in a data centre where a request may run.
    ///
    /// Without one, a job that is confined to data centres would wait until its deadline although
    /// targets elsewhere are free.
    pub fn can_run_stage(&self, request: &admission::Request, service: &id::ServiceName) -> bool {
        let Some(data_centres) = &request.data_centres else {
            return true;
        };
        let targets = self.view.targets.load();
        let mut targets = targets.service(service).iter();
        targets.any(|target| data_centres.contains(&target.data_centre))
    }

    /// Adds the time after which to retry to a refusal, if no target accepts requests now.
    ///
    /// The time is randomized, so that callers refused together don't return together.
    pub fn add_retry_after(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
        refusal: verdict::Refusal,
    ) -> verdict::Refusal {
        let eligible = view::Eligible {
            data_centres: request.data_centres.as_deref(),
            ..view::Eligible::default()
        };
        let is_open = self.has_target(service, &eligible);
        if is_open || refusal.retry.is_some() || refusal.verdict != verdict::Verdict::NotRun {
            return refusal;
        }
        match self.time_to_target(service, &eligible, Instant::now()) {
            Some(wait) => {
                let after = wait + reply::RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>());
                refusal.retry_after(unit::Period(after))
            }
            None => refusal,
        }
    }

    /// Refuses a request if its content, or a part of its prompt, has crashed several targets.
    ///
    /// A request whose `service` is not chosen yet is refused if each one refuses it.
    pub fn check_content(
        &self,
        request: &admission::Request,
        service: Option<&id::ServiceName>,
    ) -> Result<(), verdict::Refusal> {
        let signals = &self.outbound.quotas.signals;
        let stages = request.route.stages.iter();
        let stages = stages.map(|stage| request.stage_fingerprint(&stage.service));
        let quarantine = |causes| signals.restrictions(causes).quarantine;
        let at_stages = quarantine(|| stages.collect());
        let backends = request.route.backends.iter().filter(|b| b.weight > 0);
        let services = match service {
            Some(service) => vec![service],
            None => backends.map(|backend| &backend.service).collect(),
        };
        let at_services = services.into_iter();
        let at_services =
            at_services.map(|service| signals.restrictions(|| request.causes(service)).quarantine);
        let at_services: Option<Vec<_>> = at_services.collect();
        let first = at_services
            .into_iter()
            .flatten()
            .min_by_key(|(_, until)| *until);
        let latest = at_stages
            .into_iter()
            .chain(first)
            .max_by_key(|(_, until)| *until);
        let Some((cause, until)) = latest else {
            return Ok(());
        };
        let wait = until.saturating_duration_since(Instant::now());
        Err(refuse_content(request, cause, wait))
    }

    /// Admits a request to its next target by its causes of crashes, with a permit for each that
    /// needs one.
    ///
    /// What may crash its target runs one request at a time, so that it crashes few more until it
    /// is known for certain. Others wait a moment, as what is harmless soon completes.
    pub async fn admit_run(
        &self,
        request: &admission::Request,
        service: &id::ServiceName,
    ) -> Result<Vec<trial::Trial>, verdict::Refusal> {
        let signals = &self.outbound.quotas.signals;
        let until = Instant::now() + TRIAL_WAIT.min(request.remaining() / 2);
        loop {
            self.check_content(request, Some(service))?;
            let limited = signals.restrictions(|| request.causes(service)).limited;
            let Some(cause) = limited.first().copied() else {
                return Ok(Vec::new());
            };
            if let Some(trials) = self.begin_trials(limited).await {
                return Ok(trials);
            }
            if Instant::now() >= until {
                return Err(refuse_content(request, cause, LIMITED_RETRY));
            }
            tokio::time::sleep(TRIAL_PAUSE).await;
        }
    }

    /// Asks for a permit for each cause; `None` if another run with one of them is in progress.
    async fn begin_trials(&self, mut causes: Vec<id::Fingerprint>) -> Option<Vec<trial::Trial>> {
        // All ask in the same order, so that two requests cannot deny each other a permit.
        causes.sort_unstable();
        let signals = &self.outbound.quotas.signals;
        let mut trials = Vec::new();
        for cause in causes {
            trials.push(self.peers.begin_trial(signals, cause).await?);
        }
        Some(trials)
    }

    /// Refuses a request that no target would accept before the deadline.
    ///
    /// Otherwise its stages would be executed in vain, and the caller would be refused later.
    pub fn check_targets(
        &self,
        request: &admission::Request,
        origin: Option<&origin::Origin>,
    ) -> Result<(), verdict::Refusal> {
        let remaining = request.remaining();
        let eligible = view::Eligible {
            data_centres: request.data_centres.as_deref(),
            origin,
            ..view::Eligible::default()
        };
        let backends = request.route.backends.iter().filter(|b| b.weight > 0);
        let services: Vec<_> = backends.map(|backend| &backend.service).collect();
        if services.iter().any(|s| self.has_target(s, &eligible)) {
            return Ok(());
        }
        let now = Instant::now();
        let waits = services
            .iter()
            .filter_map(|s| self.time_to_target(s, &eligible, now));
        if waits.min().is_some_and(|wait| wait < remaining) {
            return Ok(());
        }
        let refusal = verdict::Refusal::not_run(verdict::Reason::NoTarget);
        Err(match services.first() {
            Some(service) => self.add_retry_after(request, service, refusal),
            None => refusal,
        })
    }
}

/// Refuses a request for a cause of crashes, with a randomized retry delay of at least `wait`.
fn refuse_content(
    request: &admission::Request,
    cause: id::Fingerprint,
    wait: time::Duration,
) -> verdict::Refusal {
    event!(
        Info,
        "quarantined",
        request = request.call.attempt,
        content = cause,
        parts = request.part_names(),
        left_ms = wait.as_millis()
    );
    let after = wait + reply::RETRY_AFTER.mul_f64(rand::random::<f64>());
    let refusal = verdict::Refusal::not_run(verdict::Reason::Quarantined);
    refusal.retry_after(unit::Period(after))
}
