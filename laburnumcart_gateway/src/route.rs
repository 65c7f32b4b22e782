//! Route page: where a request would go on the present view, and why, without sending it.

use std::{
    sync,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Method, //
};
use tokio::time::Instant;

use laburnumcart::{
    id,
    ingress,
    placement,
    unit,
    verdict, //
};
use laburnumcart_daemon::admin;
use laburnumcart_wire::{
    gateway::Queue,
    route as wire, //
};

use crate::{
    admission,
    clock,
    dialect,
    gateway,
    reply,
    request,
    view, //
};

/// Answers the question in the query of a URI with a JSON page.
pub fn page(gateway: &gateway::Gateway, query: &str) -> admin::Page {
    let answer = wire::Question::parse(query).and_then(|question| answer(gateway, &question));
    match answer.map(|answer| serde_json::to_string(&answer)) {
        Ok(Ok(body)) => admin::Page::json(body),
        Ok(Err(error)) => admin::Page::failed(error),
        Err(invalid) => admin::Page::bad_query(invalid),
    }
}

/// Decides about a request like the gateway would now, but sends nothing and changes no state.
pub fn answer(
    gateway: &gateway::Gateway,
    question: &wire::Question,
) -> Result<wire::Answer, wire::Invalid> {
    let (request, team) = build_request(gateway, question)?;
    let refused = refuse_at_once(gateway, &request, team);
    let now = Instant::now();
    let mut services: Vec<_> = request
        .route
        .backends
        .iter()
        .filter(|backend| backend.weight > 0)
        .map(|backend| {
            let (candidates, excluded) = sort_targets(gateway, &request, &backend.service, now);
            let outcome = match refused {
                Some(refusal) => refused_outcome(&refusal),
                None => outcome_at(gateway, &request, &backend.service, &candidates),
            };
            wire::Service {
                service: backend.service.clone(),
                share: share(&request.route, backend),
                outcome,
                candidates,
                excluded,
            }
        })
        .collect();
    services.sort_by(|a, b| b.share.0.total_cmp(&a.share.0));
    let missing = verdict::Refusal::not_run(verdict::Reason::NoTarget);
    let outcome = services.first().map(|service| service.outcome);
    Ok(wire::Answer {
        instance: gateway.settings.instance.clone(),
        data_centre: gateway.settings.data_centre.clone(),
        version: request.table.version,
        age: gateway.view.freshness.age(clock::now()).map(rounded),
        route: request.route.name.clone(),
        method: request.method.to_string(),
        rank: request.rank,
        outcome: outcome.unwrap_or_else(|| refused_outcome(&refused.unwrap_or(missing))),
        queues: queues(gateway, &request.route),
        services,
    })
}

/// Builds the request that a question describes, as admitted, with the caller's team.
fn build_request(
    gateway: &gateway::Gateway,
    question: &wire::Question,
) -> Result<(admission::Request, Option<ingress::Team>), wire::Invalid> {
    let invalid = |text: String| wire::Invalid(text);
    let table = gateway.view.table.load_full();
    let table = table.ok_or_else(|| invalid("the gateway has no configuration yet".into()))?;
    let method = question.method.as_deref().unwrap_or("POST");
    let method: Method = method
        .parse()
        .map_err(|_| invalid(format!("method: `{method}` is not a method")))?;
    let uri: http::Uri = question
        .path
        .parse()
        .map_err(|error| invalid(format!("path: {error}")))?;
    if !table.has_host(&question.host) {
        return Err(invalid(format!("unknown host `{}`", question.host)));
    }
    let route = table.find_route(&question.host, uri.path());
    let route = route
        .map_err(|error| {
            let (host, path) = (&question.host, &question.path);
            invalid(match error {
                ingress::NoRoute::Unknown => {
                    format!("no route of host `{host}` matches path `{path}`")
                }
                ingress::NoRoute::Unreadable => {
                    format!("the route of host `{host}` and path `{path}` cannot be read")
                }
            })
        })?
        .clone();
    let find_team = |name| {
        let team = table.team(name).cloned();
        team.ok_or_else(|| invalid(format!("unknown team `{name}`")))
    };
    let team = question.team.as_ref().map(find_team).transpose()?;
    let admitted = admission::Admitted {
        table,
        route,
        team: team.clone(),
    };
    let rank = team.as_ref().and_then(|team| team.rank);
    let call = dialect::RequestHead {
        prompt: prompt(question),
        ..dialect::RequestHead::default()
    };
    let request = admission::Request {
        call,
        method,
        path: question.path.clone(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        data_centres: request::allowed_data_centres(gateway, &admitted),
        rank: rank.unwrap_or(admitted.route.rank),
        team_rank: rank,
        route: admitted.route,
        table: admitted.table,
        team: admitted.team.map(|team| team.name),
        start: clock::now(),
        spent: time::Duration::ZERO,
        content: sync::OnceLock::new(),
    };
    Ok((request, team))
}

/// Returns the described prompt; tokens beyond its parts are specific to the request.
fn prompt(question: &wire::Question) -> Option<dialect::Prompt> {
    if question.tokens.is_none() && question.parts.is_empty() {
        return None;
    }
    let parts = question.parts.iter().map(|part| placement::Part {
        id: part.id,
        tokens: part.tokens,
    });
    let mut parts: Vec<_> = parts.collect();
    let described = parts
        .iter()
        .fold(0, |sum: u64, part| sum.saturating_add(part.tokens));
    let input = question.tokens.unwrap_or(described).max(described);
    if input > described {
        // A random ID is cached nowhere.
        parts.push(placement::Part {
            id: rand::random(),
            tokens: input - described,
        });
    }
    Some(dialect::Prompt {
        parts,
        input,
        output: 0,
    })
}

/// Returns the refusal of a request that is refused before a target is chosen.
fn refuse_at_once(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    team: Option<ingress::Team>,
) -> Option<verdict::Refusal> {
    let view = &gateway.view;
    if team.is_none() && request.table.find_team(&request.route, None).is_err() {
        return Some(verdict::Refusal::not_run(verdict::Reason::Unauthorized));
    }
    let stages = request.route.stages.iter().map(|stage| &stage.service);
    let mut backends = request.route.backends.iter();
    let first = backends.find(|b| b.weight > 0).map(|b| &b.service);
    if stages.chain(first).any(|s| request.table.is_unreadable(s)) {
        return Some(admission::unreadable());
    }
    let check = || {
        if team.is_some() {
            admission::check_revocation(view, &gateway.settings.bounds, clock::now())?;
        }
        if view.is_leaving() {
            request::check_exit(gateway, request)?;
        }
        if request.route.stages.is_empty() {
            return Ok(());
        }
        gateway.check_targets(request, None)?;
        let is_served = |stage: &ingress::Stage| gateway.can_run_stage(request, &stage.service);
        match request.route.stages.iter().all(is_served) {
            true => Ok(()),
            false => Err(verdict::Refusal::not_run(verdict::Reason::NoTarget)),
        }
    };
    check().err()
}

/// Returns what would happen to a request that is not refused at once.
fn outcome_at(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    service: &id::ServiceName,
    candidates: &[wire::Candidate],
) -> wire::Outcome {
    if !request.route.stages.is_empty() {
        return wire::Outcome::Waits;
    }
    if !candidates.is_empty() {
        return wire::Outcome::Sent;
    }
    let refusal = verdict::Refusal::not_run(verdict::Reason::NoTarget);
    refused_outcome(&gateway.add_retry_after(request, service, refusal))
}

fn refused_outcome(refusal: &verdict::Refusal) -> wire::Outcome {
    wire::Outcome::Refused {
        status: reply::status(refusal).as_u16(),
        reason: refusal.reason,
        retry_after: reply::retry_after(refusal).map(rounded),
    }
}

/// Divides the targets of a service into those that can get the request, in the order of
/// preference, and the others.
fn sort_targets(
    gateway: &gateway::Gateway,
    request: &admission::Request,
    service: &id::ServiceName,
    now: Instant,
) -> (Vec<wire::Candidate>, Vec<wire::Excluded>) {
    let (mut candidates, mut excluded) = (Vec::new(), Vec::new());
    for candidate in gateway.rank_targets(request, service, now) {
        let cause = match candidate.figures {
            wire::Figures::Engine {
                paused: Some(left), ..
            } => Some(wire::Cause::Paused(Some(left))),
            wire::Figures::Plain { ejected: true, .. } => Some(wire::Cause::Paused(None)),
            _ => None,
        };
        // A paused engine gets the request if there is no other.
        match cause.filter(|_| candidate.share.0 == 0.0) {
            None => candidates.push(candidate),
            Some(cause) => excluded.push(wire::Excluded {
                target: candidate.target,
                data_centre: candidate.data_centre,
                cause,
            }),
        }
    }
    let is_sorted = |target: &view::Target| {
        let mut ranked = candidates.iter().map(|c| &c.target);
        ranked.any(|name| *name == target.name)
            || excluded
                .iter()
                .any(|e: &wire::Excluded| e.target == target.name)
    };
    let targets = gateway.view.targets.load();
    let others = targets.all().filter(|target| target.service == *service);
    let others = others.filter(|target| !is_sorted(target));
    let others = others.map(|target| wire::Excluded {
        target: target.name.clone(),
        data_centre: target.data_centre.clone(),
        cause: gateway.exclusion(request, target, now),
    });
    let others: Vec<_> = others.collect();
    excluded.extend(others);
    excluded.sort_by(|a, b| a.target.cmp(&b.target));
    (candidates, excluded)
}

/// Returns the queues of a route's stages.
fn queues(gateway: &gateway::Gateway, route: &ingress::Route) -> Vec<Queue> {
    let queue = |stage: &ingress::Stage| Queue {
        service: stage.service.clone(),
        owner: gateway.peers.owner_name(&stage.service),
        waiting: gateway.dispatcher.waiting_pieces(&stage.service),
    };
    route.stages.iter().map(queue).collect()
}

fn share(route: &ingress::Route, backend: &ingress::Backend) -> unit::Share {
    let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    unit::Share(f64::from(backend.weight) / total.max(1) as f64)
}

/// Returns a duration rounded down to milliseconds.
fn rounded(time: time::Duration) -> unit::Period {
    unit::Period::from_millis(time.as_millis().try_into().unwrap_or(u64::MAX))
}
