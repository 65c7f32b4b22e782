//! Admission of callers' requests: route lookup and authentication.

use std::{
    sync::{
        self,
        Arc, //
    },
    time,
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method,
    header, //
};

use laburnumcart::{
    batch,
    freshness,
    id,
    ingress,
    unit,
    verdict, //
};

use crate::{
    clock,
    dialect,
    settings,
    view, //
};

/// Share of the revocation bound up to which the configuration may go unconfirmed.
///
/// The rest covers the time between this check and the caller's sending, and clock drift.
const REVOKE_AGE_SHARE: f64 = 0.9;

/// Greatest age of the configuration at which an unknown route or key is reported as final.
///
/// The route may have been added since; a caller takes 404 as final and does not retry.
const NOT_FOUND_MAX_AGE: time::Duration = time::Duration::from_millis(3000);

/// Retry delay of a request that concerns an unreadable part of the configuration: the time after
/// which the operator's next version is in force.
const UNREADABLE_RETRY: time::Duration = time::Duration::from_secs(2);

/// Time spent on earlier attempts above which a request counts as a retry of the caller.
const RETRY_MIN_SPENT: time::Duration = time::Duration::from_millis(150);

/// Timeout for callers that state none, and the longest one that a caller may state.
const TIMEOUT_MAX: time::Duration = time::Duration::from_secs(60);

/// Greatest number of parts of a prompt that are held for possible causes of a crash.
const CAUSE_PARTS_MAX: usize = 32;

/// Greatest number of parts of a prompt that a log line names.
const LOGGED_PARTS_MAX: usize = 16;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Parsed header fields.
    pub call: dialect::RequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub path: String,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<ingress::Route>,
    /// Configuration that applies to the request.
    pub table: Arc<ingress::Table>,
    /// Team of the caller.
    pub team: Option<id::TeamName>,
    /// Data centres whose targets may run the request; `None` allows all.
    pub data_centres: Option<Vec<id::DataCentre>>,
    /// Rank that targets are told: that of the team, else that of the route.
    pub rank: u8,
    /// Rank of the team, if it has one; it takes precedence over that of the route.
    pub team_rank: Option<u8>,
    /// Time of arrival.
    pub start: freshness::BootTime,
    /// Time that the caller had spent on earlier attempts.
    pub spent: time::Duration,
    /// Fingerprint of the content, once it has been computed.
    pub content: sync::OnceLock<id::Fingerprint>,
}

impl Request {
    /// Returns the time since arrival, suspended time included.
    pub fn elapsed(&self) -> time::Duration {
        clock::now().since(self.start)
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> time::Duration {
        self.timeout().saturating_sub(self.elapsed())
    }

    /// Returns the time until the objective, zero once it has passed.
    ///
    /// A stream that its caller takes up has met or missed its objective before. It counts like a
    /// new one: behind all that can be on time it would never be finished while a queue is long.
    pub fn slack(&self) -> time::Duration {
        let spent = match self.is_taken_up() {
            true => time::Duration::ZERO,
            false => self.spent,
        };
        self.route.objective.saturating_sub(spent + self.elapsed())
    }

    /// Returns whether the caller takes up a stream of which it has some events.
    pub fn is_taken_up(&self) -> bool {
        self.call.last_event.is_some() && self.route.retry == ingress::RetryPolicy::Resume
    }

    /// Returns a fingerprint of team, path and body, which is equal for a resent request.
    pub fn fingerprint(&self) -> id::Fingerprint {
        *self.content.get_or_init(|| {
            let team = self.team.as_ref().map_or("", |team| team.as_str());
            id::Fingerprint::digest([team, self.path.as_str()], &self.body)
        })
    }

    /// Returns the fingerprints of the parts of its prompt that requests for a service share.
    ///
    /// They are bound to the service, whose targets execute the same model. The team, the route and
    /// the model's name are left out: such a part may crash targets whatever else a request has.
    pub fn part_fingerprints(&self, service: &id::ServiceName) -> Vec<id::Fingerprint> {
        let prompt = self.call.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
        let parts = parts.iter().take(CAUSE_PARTS_MAX);
        parts
            .map(|part| id::Fingerprint::digest(["part", service.as_str()], &part.id.to_be_bytes()))
            .collect()
    }

    /// Returns the parts of its prompt that other requests may have too, for the log.
    pub fn part_names(&self) -> String {
        let prompt = self.call.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
        let parts = parts.iter().take(LOGGED_PARTS_MAX);
        let names: Vec<_> = parts.map(|part| format!("{:x}", part.id)).collect();
        names.join(",")
    }

    /// Returns what may crash the targets of a service that execute the request.
    pub fn causes(&self, service: &id::ServiceName) -> Vec<id::Fingerprint> {
        let mut causes = self.part_fingerprints(service);
        causes.push(self.fingerprint());
        causes
    }

    /// Returns the digest that names the stream which an attempt of this caller has begun.
    pub fn stream(&self, attempt: &str) -> id::Fingerprint {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        id::Fingerprint::digest(["stream", team], attempt.as_bytes())
    }

    /// Returns a fingerprint of the content of the stages that a service executes.
    ///
    /// It differs from that of the request: a target of a stage that survives it does not clear it
    /// of the crashes of the request's own targets.
    pub fn stage_fingerprint(&self, service: &id::ServiceName) -> id::Fingerprint {
        let content = self.fingerprint().0.to_be_bytes();
        id::Fingerprint::digest(["stage", service.as_str()], &content)
    }

    /// Returns the rank in batch queues: by team first, then by route.
    pub fn batch_rank(&self) -> batch::Rank {
        let own = self.team_rank.map(|major| batch::Rank {
            major,
            minor: self.route.rank,
        });
        own.unwrap_or(self.route.rank.into())
    }

    /// Reports whether the caller retries after a refusal or a failure.
    pub fn is_retry(&self) -> bool {
        self.spent > RETRY_MIN_SPENT
    }

    /// Returns the time that the request may take, from its arrival.
    pub fn timeout(&self) -> time::Duration {
        let stated = self.call.timeout.unwrap_or(TIMEOUT_MAX).min(TIMEOUT_MAX);
        stated.min(self.route.timeout)
    }
}

/// Route and team of an admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Configuration in which they were found.
    pub table: Arc<ingress::Table>,
    /// Matched route.
    pub route: Arc<ingress::Route>,
    /// Team whose key the caller presented.
    pub team: Option<ingress::Team>,
}

/// Finds the route of a request and authenticates its caller.
///
/// Refuses the request while the configuration is unknown or too old to decide on.
pub fn admit(
    view: &view::View,
    bounds: &settings::Bounds,
    headers: &HeaderMap,
    path: &str,
    call: &dialect::RequestHead,
) -> Result<Admitted, verdict::Refusal> {
    let now = clock::now();
    let table = view.table.load_full().ok_or_else(not_ready)?;
    let is_fresh = |limit| view.freshness.is_fresh(limit, now);
    let refuse_unknown = |reason| match is_fresh(NOT_FOUND_MAX_AGE) {
        true => verdict::Refusal::not_run(reason),
        false => not_ready(),
    };
    let host = headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let route = host.map_or(Err(ingress::NoRoute::Unknown), |host| {
        table.find_route(host, path) //
    });
    let route = route.map_err(|error| match error {
        ingress::NoRoute::Unknown => refuse_unknown(verdict::Reason::UnknownPipeline),
        ingress::NoRoute::Unreadable => unreadable(),
    })?;
    let team = table.find_team(route, call.api_key.as_deref());
    let team = team.map_err(|error| match error {
        ingress::NoTeam::Unauthorized => refuse_unknown(verdict::Reason::Unauthorized),
        ingress::NoTeam::Unreadable => unreadable(),
    })?;
    let needed = |(i, _): &(usize, _)| call.pieces.get(*i).is_some_and(|pieces| *pieces > 0);
    let mut stages = route.stages.iter().enumerate().filter(needed);
    let is_unreadable = |service: &id::ServiceName| table.is_unreadable(service);
    if stages.any(|(_, stage)| is_unreadable(&stage.service)) {
        return Err(unreadable());
    }
    if team.is_some() {
        check_revocation(view, bounds, now)?;
    }
    Ok(Admitted {
        route: route.clone(),
        team: team.cloned(),
        table,
    })
}

/// Refuses a request of a team if its key may have been revoked.
///
/// This may have happened while this process was suspended or could not read the store, so the key
/// is accepted only with a configuration that was confirmed within the bound.
pub(crate) fn check_revocation(
    view: &view::View,
    bounds: &settings::Bounds,
    now: freshness::BootTime,
) -> Result<(), verdict::Refusal> {
    let limit = bounds.revoke.0.mul_f64(REVOKE_AGE_SHARE);
    match view.freshness.is_fresh(limit, now) {
        true => Ok(()),
        false => Err(not_ready()),
    }
}

pub(crate) fn not_ready() -> verdict::Refusal {
    let after = unit::Period::from_millis(500);
    verdict::Refusal::not_run(verdict::Reason::NoBundle).retry_after(after)
}

/// Refuses a request that concerns a part of the configuration that cannot be read.
pub(crate) fn unreadable() -> verdict::Refusal {
    let refusal = verdict::Refusal::not_run(verdict::Reason::ConfigUnreadable);
    refusal.retry_after(unit::Period(UNREADABLE_RETRY))
}
