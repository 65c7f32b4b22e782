//! Targets of one service with the lanes to them.

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

/// Immutable table of one service's targets; positions are those of the lanes.
#[derive(Clone, Debug)]
pub struct Routes {
    service: id::ServiceName,
    table: balancer::Table,
    lanes: Vec<Arc<links::Lane>>,
}

/// Lane with the data centre it leads to.
#[derive(Clone, Debug)]
pub struct Way {
    /// The lane.
    pub lane: Arc<links::Lane>,
    /// Whether it leads to the own data centre.
    pub local: bool,
    /// Time that a call takes longer than one in the own data centre.
    pub crossing: time::Duration,
    /// Whether its agent is known to accept no new work.
    pub leaving: bool,
    /// Whether its target is excluded as an outlier.
    pub ejected: bool,
}

impl Routes {
    /// Creates the table from the last reports; agents that never reported are left out.
    pub fn new(service: id::ServiceName, mut ways: Vec<Way>) -> Self {
        ways.retain(|way| way.lane.report().is_some());
        // The table puts local targets first and keeps the order otherwise; so does this.
        ways.sort_by_key(|way| !way.local);
        let targets = ways
            .iter()
            .filter_map(|way| target(&service, way))
            .collect();
        Self {
            service,
            table: balancer::Table::new(targets),
            lanes: ways.into_iter().map(|way| way.lane).collect(),
        }
    }

    /// Chooses a lane that works now; what is in `tried` comes last.
    pub fn choose(&self, tried: &[std::net::SocketAddr], prefix: Option<u64>) -> Option<Chosen> {
        let is_tried = |i: &usize| tried.contains(&self.lanes[*i].addr);
        let mut out: Vec<usize> = (0..self.lanes.len()).filter(is_tried).collect();
        // When all were tried the last refusal was a moment ago, but it proved that nothing ran.
        self.search(&mut out, prefix)
            .or_else(|| self.search(&mut Vec::new(), prefix))
    }

    /// Chooses the lane at which all entries' attempts of a suspect meet.
    ///
    /// The agent lets one suspect run at a time. On different targets, two attempts of the same
    /// content would crash both before either is a fact.
    pub fn home(&self, print: id::Fingerprint, tried: &[std::net::SocketAddr]) -> Option<Chosen> {
        let takes = |i: usize| self.lanes[i].takes(&self.service);
        let fresh = |i: usize| takes(i) && !tried.contains(&self.lanes[i].addr);
        let key = print.0 as u64;
        let home = self.table.find_by_key(key, fresh);
        let home = home.or_else(|| self.table.find_by_key(key, takes))?;
        Some(Chosen {
            lane: self.lanes[home].clone(),
            expected: time::Duration::ZERO,
            is_free: false,
        })
    }

    fn search(&self, out: &mut Vec<usize>, prefix: Option<u64>) -> Option<Chosen> {
        let own = |i: usize| self.lanes[i].running.load(Ordering::Relaxed);
        loop {
            let ask = balancer::Request {
                tried: out,
                prefix,
                in_flight: &own,
                now: Instant::now(),
            };
            let chosen = self.table.choose(&ask, &mut rand::rng())?;
            // The table is a moment old: the agent may have left since, or its connection broken.
            if self.lanes[chosen].takes(&self.service) {
                return Some(Chosen {
                    lane: self.lanes[chosen].clone(),
                    expected: self.table.expected_time(chosen, &ask),
                    is_free: self.is_free(chosen),
                });
            }
            out.push(chosen);
        }
    }

    /// Reports whether an attempt sent now would not wait, as far as is known.
    fn is_free(&self, i: usize) -> bool {
        let load = &self.table.targets()[i].load;
        let own = self.lanes[i].running.load(Ordering::Relaxed);
        let others = load.pending.saturating_sub(load.own_pending);
        own + others < load.limit.max(1)
    }

    /// Returns the names of the targets.
    pub fn targets(&self) -> Vec<id::TargetName> {
        let targets = self.table.targets().iter();
        targets.map(|target| target.name.clone()).collect()
    }

    /// Returns the lanes.
    pub fn lanes(&self) -> &[Arc<links::Lane>] {
        &self.lanes
    }
}

/// A target that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Lane to its agent.
    pub lane: Arc<links::Lane>,
    /// Time until an attempt sent now has finished, its wait included.
    pub expected: time::Duration,
    /// Whether an attempt sent now would not wait.
    pub is_free: bool,
}

fn target(service: &id::ServiceName, way: &Way) -> Option<balancer::Target> {
    let seen = way.lane.report()?;
    let report = &seen.report;
    let state = if way.lane.connection().is_none() || !report.ready || report.service != *service {
        balancer::State::Down
    } else if report.leaving || way.leaving {
        balancer::State::Leaving
    } else if way.ejected {
        balancer::State::Ejected
    } else {
        balancer::State::Ready
    };
    Some(balancer::Target {
        name: report.target.clone(),
        state,
        load: balancer::Load {
            pending: report.load.running + report.load.queued,
            own_pending: seen.own,
            limit: report.load.limit,
            service_time: report.load.service.0,
            at: seen.at,
        },
        local: way.local,
        extra_latency: way.crossing,
    })
}
