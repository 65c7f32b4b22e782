//! State of the gateway for operators, as served on the admin address.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    id,
    quota,
    readers,
    unit, //
};
use laburnumcart_daemon::admin;
use laburnumcart_wire::gateway as wire;

use crate::{
    clock,
    gateway,
    view, //
};

/// Returns the state as a JSON page.
pub fn page(gateway: &gateway::Gateway) -> admin::Page {
    match serde_json::to_string(&snapshot(gateway)) {
        Ok(body) => admin::Page::json(body),
        Err(error) => admin::Page::failed(error),
    }
}

/// Returns the current state.
pub fn snapshot(gateway: &gateway::Gateway) -> wire::State {
    let view = &gateway.view;
    let now = Instant::now();
    let targets = view.targets.load();
    let held = targets
        .all()
        .filter_map(|t| restricted_target(gateway, t, now));
    let mut held: Vec<_> = held.collect();
    held.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
    wire::State {
        instance: gateway.settings.instance.clone(),
        data_centre: gateway.settings.data_centre.clone(),
        leaving: view.is_leaving(),
        version: view.table.load().as_ref().map(|table| table.version),
        refused_parts: view
            .table
            .load()
            .as_ref()
            .map_or(0, |table| table.refused_parts),
        age: view.freshness.age(clock::now()).map(rounded),
        late: rounded(time::Duration::from_secs_f64(
            gateway.metrics.timer_lag.get(),
        )),
        members: view.member_count(),
        readers: readers(view),
        evacuated: evacuated_places(view, now),
        queues: queue_states(gateway),
        held,
        targets: targets.len(),
        versions: versions(&targets),
    }
}

fn versions(targets: &view::Targets) -> Vec<wire::Version> {
    let mut counts: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
    for target in targets.used() {
        let key = (target.service.clone(), target.version.clone());
        *counts.entry(key).or_default() += 1;
    }
    let counts = counts.into_iter();
    let version = |((service, version), targets)| wire::Version {
        service,
        version,
        targets,
    };
    counts.map(version).collect()
}

fn evacuated_places(view: &view::View, now: Instant) -> Option<Vec<wire::Evacuated>> {
    let known = |(data_centre, since): (id::DataCentre, Instant)| wire::Evacuated {
        data_centre,
        known: rounded(now.saturating_duration_since(since)),
    };
    Some(view.evacuated_since()?.into_iter().map(known).collect())
}

fn readers(view: &view::View) -> Vec<id::InstanceName> {
    let members = view.members.load();
    let members = members.iter().map(|m| readers::Member {
        name: &m.instance,
        data_centre: &m.data_centre,
        cores: m.cores,
    });
    let chosen = readers::choose(members);
    chosen.into_iter().map(|m| m.name.clone()).collect()
}

fn queue_states(gateway: &gateway::Gateway) -> Vec<wire::Queue> {
    let table = gateway.view.table.load();
    let services = table.iter().flat_map(|table| table.services());
    let staged = services.filter(|service| service.batching.is_some());
    let queue = |service: &id::ServiceName| wire::Queue {
        service: service.clone(),
        owner: gateway.peers.owner_name(service),
        waiting: gateway.dispatcher.waiting_pieces(service),
    };
    let mut queues: Vec<_> = staged.map(|service| queue(&service.name)).collect();
    queues.sort_by(|a, b| a.service.cmp(&b.service));
    queues
}

/// Returns why the traffic to a target is restricted, or `None` if it isn't.
fn restricted_target(
    gateway: &gateway::Gateway,
    target: &view::Target,
    now: Instant,
) -> Option<wire::Restricted> {
    let mut causes = Vec::new();
    if target.leaving {
        causes.push(wire::Cause::Leaving);
    }
    if gateway.view.is_evacuated(&target.data_centre) {
        causes.push(wire::Cause::Evacuated);
    }
    if let Some(until) = target.cold_until.filter(|until| *until > now) {
        causes.push(wire::Cause::Cold(rounded(until - now)));
    }
    let quotas = &gateway.outbound.quotas;
    if let quota::Limit::Advertised(rate) = quotas.signals.get(&target.key()).limit() {
        causes.push(wire::Cause::Limit(rate));
    }
    let limiters = quotas.limiters(target);
    let backoff = limiters.requests.backoff_left(now);
    if !backoff.is_zero() {
        causes.push(wire::Cause::Backoff(rounded(backoff)));
    }
    if causes.is_empty() {
        return None;
    }
    let rates = [limiters.requests.rate(now), limiters.calls.rate(now)];
    let part = rates
        .into_iter()
        .flatten()
        .map(|rate| rate.0)
        .reduce(f64::max);
    Some(wire::Restricted {
        target: target.name.clone(),
        service: target.service.clone(),
        data_centre: target.data_centre.clone(),
        causes,
        part: part.map(|rate| unit::Rate((rate * 100.0).round() / 100.0)),
    })
}

/// Returns a duration rounded down to milliseconds.
fn rounded(time: time::Duration) -> unit::Period {
    unit::Period::from_millis(time.as_millis().try_into().unwrap_or(u64::MAX))
}
