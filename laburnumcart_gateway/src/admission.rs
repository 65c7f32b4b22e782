//! What is decided on a request before any work is done for it.

use std::{
    sync::Arc,
    time, //
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

/// Part of the bound on revocation for which the configuration is used without being confirmed.
///
/// The rest covers the time between this check and the caller's sending, and clocks that run
/// apart.
const REVOKE_SHARE: f64 = 0.9;

/// Age beyond which the absence of a route is not told as final.
///
/// The route may have been added meanwhile; a caller takes 404 as final and would not come again.
const ABSENT: time::Duration = time::Duration::from_millis(3000);

/// Time that a caller has spent from which its request counts as one that came again.
const AGAIN: time::Duration = time::Duration::from_millis(150);

/// A deadline for callers that name none, and the longest that one may name.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// A request that was admitted.
#[derive(Clone, Debug)]
pub struct Request {
    /// What its head says.
    pub call: dialect::Call,
    /// Method.
    pub method: Method,
    /// Path and query, as they came.
    pub path: String,
    /// Headers, as they came.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<ingress::Route>,
    /// Configuration under which it runs.
    pub table: Arc<ingress::Table>,
    /// Team of the caller.
    pub team: Option<id::TeamName>,
    /// Data centres whose targets may run it; any without a list.
    pub places: Option<Vec<id::DataCentre>>,
    /// Rank.
    pub rank: u8,
    /// Rank of the team, if it has one; it goes before that of the route.
    pub team_rank: Option<u8>,
    /// When it came.
    pub start: freshness::BootTime,
    /// Time that the caller had spent on it before.
    pub spent: time::Duration,
}

impl Request {
    /// Returns the time that has passed, suspended time included.
    pub fn elapsed(&self) -> time::Duration {
        clock::now().since(self.start)
    }

    /// Returns the time until the caller must have the final answer.
    pub fn left(&self) -> time::Duration {
        self.limit().saturating_sub(self.elapsed())
    }

    /// Returns the time until the objective, zero when it has passed.
    pub fn slack(&self) -> time::Duration {
        let spent = self.spent + self.elapsed();
        self.route.objective.saturating_sub(spent)
    }

    /// Returns what tells its content from others', equal for one that comes again.
    pub fn content(&self) -> id::Fingerprint {
        let team = self.team.as_ref().map_or("", |team| team.as_str());
        id::Fingerprint::digest([team, self.path.as_str()], &self.body)
    }

    /// Returns its urgency in queues: that of its team first, then that of its route.
    pub fn urgency(&self) -> batch::Rank {
        let own = self.team_rank.map(|major| batch::Rank {
            major,
            minor: self.route.rank,
        });
        own.unwrap_or(self.route.rank.into())
    }

    /// Reports whether the caller has come again after a refusal or a failure.
    pub fn is_again(&self) -> bool {
        self.spent > AGAIN
    }

    /// Returns the longest time that the request may take.
    pub fn limit(&self) -> time::Duration {
        let patience = self.call.patience.unwrap_or(PATIENCE).min(PATIENCE);
        patience.min(self.route.timeout)
    }
}

/// Who asks, under which route.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Configuration.
    pub table: Arc<ingress::Table>,
    /// Route.
    pub route: Arc<ingress::Route>,
    /// Team.
    pub team: Option<ingress::Team>,
}

/// Finds the route and the team of a request.
pub fn admit(
    view: &view::View,
    bounds: &settings::Bounds,
    headers: &HeaderMap,
    path: &str,
    call: &dialect::Call,
) -> Result<Admitted, verdict::Refusal> {
    let now = clock::now();
    let table = view.table.load_full().ok_or_else(unready)?;
    let fresh = |limit| view.freshness.is_fresh(limit, now);
    let absent = |reason| match fresh(ABSENT) {
        true => verdict::Refusal::not_run(reason),
        false => unready(),
    };
    let host = headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let route = host.and_then(|host| table.find_route(host, path));
    let route = route.ok_or_else(|| absent(verdict::Reason::UnknownPipeline))?;
    let team = table.find_team(route, call.key.as_deref());
    let team = team.map_err(|_| absent(verdict::Reason::Unauthorized))?;
    // A key that was revoked while this process could not read the store, or was suspended, would
    // work on. Nothing is honoured that was not confirmed within the bound.
    if team.is_some() && !fresh(bounds.revoke.0.mul_f64(REVOKE_SHARE)) {
        return Err(unready());
    }
    Ok(Admitted {
        route: route.clone(),
        team: team.cloned(),
        table,
    })
}

fn unready() -> verdict::Refusal {
    let after = unit::Period::from_millis(500);
    verdict::Refusal::not_run(verdict::Reason::NoBundle).retry_after(after)
}
