//! Routing table of one service: its targets and the lanes (connections that are reopened when they
//! fail) to their agents.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    balancer, //
    id,
};

use crate::links;

/// Immutable routing table of one service; lanes and targets share their indices.
#[derive(Clone, Debug)]
pub struct Routes {
    service: id::ServiceName,
    table: balancer::Table,
    lanes: Vec<Arc<links::Lane>>,
}

/// A lane with the attributes that its routing depends on.
#[derive(Clone, Debug)]
pub struct Route {
    /// The lane.
    pub lane: Arc<links::Lane>,
    /// Whether its agent is in this process's data centre.
    pub local: bool,
    /// Additional latency of a call compared to one within this process's data centre.
    pub extra_latency: time::Duration,
    /// Whether its agent is known to refuse new work because it is shutting down.
    pub leaving: bool,
    /// Whether its target is ejected as an outlier.
    pub ejected: bool,
}

impl Routes {
    /// Creates the table from the latest reports; agents without a report are omitted.
    pub fn new(service: id::ServiceName, mut routes: Vec<Route>) -> Self {
        routes.retain(|route| route.lane.report().is_some());
        // Same stable order as that of `balancer::Table`: local targets first.
        routes.sort_by_key(|route| !route.local);
        let targets = routes
            .iter()
            .filter_map(|route| balancer_target(&service, route))
            .collect();
        Self {
            service,
            table: balancer::Table::new(targets),
            lanes: routes.into_iter().map(|route| route.lane).collect(),
        }
    }

    /// Chooses a lane whose agent accepts work; agents in `tried` are used only if no other does.
    ///
    /// `prefix` is the key of the prompt's prefix, by which requests go to a target that has it
    /// cached; `None` for services without a prefix cache.
    pub fn choose(&self, tried: &[std::net::SocketAddr], prefix: Option<u64>) -> Option<Chosen> {
        let is_tried = |i: &usize| tried.contains(&self.lanes[*i].addr);
        let mut excluded: Vec<usize> = (0..self.lanes.len()).filter(is_tried).collect();
        // If all were tried, one of them is tried again although it refused a moment ago: its
        // refusal proved that nothing was executed.
        self.choose_excluding(&mut excluded, prefix)
            .or_else(|| self.choose_excluding(&mut Vec::new(), prefix))
    }

    /// Chooses the target for suspect content by its fingerprint, so that all processes choose the
    /// same one.
    ///
    /// The agent runs one suspect at a time. On different targets, two attempts with the same
    /// content could crash both before either crash is known elsewhere.
    pub fn choose_by_content(
        &self,
        fingerprint: id::Fingerprint,
        tried: &[std::net::SocketAddr],
    ) -> Option<Chosen> {
        let accepts = |i: usize| self.lanes[i].accepts_work(&self.service);
        let untried = |i: usize| accepts(i) && !tried.contains(&self.lanes[i].addr);
        let key = fingerprint.0 as u64;
        let index = self.table.find_by_key(key, untried);
        let index = index.or_else(|| self.table.find_by_key(key, accepts))?;
        Some(Chosen {
            lane: self.lanes[index].clone(),
            expected: time::Duration::ZERO,
            is_free: false,
        })
    }

    fn choose_excluding(&self, excluded: &mut Vec<usize>, prefix: Option<u64>) -> Option<Chosen> {
        let in_flight = |i: usize| self.lanes[i].in_flight.load(Ordering::Relaxed);
        loop {
            let request = balancer::Request {
                tried: excluded,
                prefix,
                in_flight: &in_flight,
                now: Instant::now(),
            };
            let chosen = self.table.choose(&request, &mut rand::rng())?;
            // The table is a snapshot: the agent may have started to leave since, or its connection
            // may have failed.
            if self.lanes[chosen].accepts_work(&self.service) {
                return Some(Chosen {
                    lane: self.lanes[chosen].clone(),
                    expected: self.table.expected_time(chosen, &request),
                    is_free: self.is_free(chosen),
                });
            }
            excluded.push(chosen);
        }
    }

    /// Returns whether an attempt sent now would start without queueing, by the latest report.
    fn is_free(&self, i: usize) -> bool {
        let load = &self.table.targets()[i].load;
        let in_flight = self.lanes[i].in_flight.load(Ordering::Relaxed);
        let others = load.pending.saturating_sub(load.own_pending);
        in_flight + others < load.limit.max(1)
    }

    /// Returns the names of the targets.
    pub fn target_names(&self) -> Vec<id::TargetName> {
        let targets = self.table.targets().iter();
        targets.map(|target| target.name.clone()).collect()
    }

    /// Returns the lanes to all targets.
    pub fn lanes(&self) -> &[Arc<links::Lane>] {
        &self.lanes
    }
}

/// Lane chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Lane to the target's agent.
    pub lane: Arc<links::Lane>,
    /// Expected time until an attempt sent now completes, including queueing.
    pub expected: time::Duration,
    /// Whether an attempt sent now would start without queueing.
    pub is_free: bool,
}

fn balancer_target(service: &id::ServiceName, route: &Route) -> Option<balancer::Target> {
    let received = route.lane.report()?;
    let report = &received.report;
    let state = if route.lane.connection().is_none() || !report.ready || report.service != *service
    {
        balancer::State::Down
    } else if report.leaving || route.leaving {
        balancer::State::Leaving
    } else if route.ejected {
        balancer::State::Ejected
    } else {
        balancer::State::Ready
    };
    Some(balancer::Target {
        name: report.target.clone(),
        state,
        load: balancer::Load {
            pending: report.load.running + report.load.queued,
            own_pending: received.own_in_flight,
            limit: report.load.limit,
            service_time: report.load.service.0,
            at: received.received_at,
        },
        local: route.local,
        extra_latency: route.extra_latency,
    })
}
