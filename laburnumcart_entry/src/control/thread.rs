//! Control thread, which follows the bundle and the list of instances and publishes views.

use std::{
    collections,
    io,
    sync::Arc, //
};

use tokio::{
    sync::watch,
    time, //
};

use laburnumcart::{
    balancer::latency, //
    id,
};
use laburnumcart_daemon::{
    bundle,
    control, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::secret;

use crate::{
    control as views,
    entry,
    links,
    listing,
    members,
    routes, //
};

/// Period of publication; load reports are older than that anyway.
const PUBLISH_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Parameters of the control thread.
#[derive(Debug)]
pub struct Start<S> {
    /// State shared with the traffic threads.
    pub entry: Arc<entry::Entry>,
    /// Object service.
    pub store: S,
    /// Identity and resources for lanes to agents.
    pub lane_config: links::Config,
    /// Secret for connections to peers.
    pub secret: secret::Secret,
    /// Options for following the bundle.
    pub options: bundle::Options,
}

/// Starts the control thread.
pub fn start<S: store::Store + Clone>(start: Start<S>) -> io::Result<control::Control<()>> {
    control::spawn(move || run(start))
}

async fn run<S: store::Store + Clone>(start: Start<S>) {
    let (list, instances) = watch::channel(Vec::new());
    tokio::task::spawn_local(listing::follow(start.store.clone(), list));
    let feed = start.entry.gossip.feed().clone();
    let rpc = bundle::RpcPeers::new(start.secret);
    tokio::task::spawn_local(bundle::run(feed, start.store, rpc, start.options));
    let control = Control {
        members: members::Members::new(
            start.lane_config,
            start.entry.identity.data_centre.clone(),
            start.entry.traffic.clone(),
        ),
        entry: start.entry,
        rules: None,
        has_list: false,
        agents_known: false,
    };
    control.run(instances).await;
}

/// Control state of an entry.
#[derive(Debug)]
struct Control {
    entry: Arc<entry::Entry>,
    members: members::Members,
    rules: Option<Arc<views::Rules>>,
    has_list: bool,
    agents_known: bool,
}

impl Control {
    async fn run(mut self, mut instances: watch::Receiver<Vec<members::Instance>>) {
        let mut bundles = self.entry.gossip.feed().changes();
        let mut ticks = time::interval(PUBLISH_PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Ok(()) = bundles.changed() => self.apply_bundle(),
                Ok(()) = instances.changed() => self.apply_list(&instances.borrow_and_update()),
            }
            self.members.resize_subsets();
            self.entry.gossip.refresh();
            self.publish();
        }
    }

    /// Puts the current bundle in force.
    fn apply_bundle(&mut self) {
        let Some(current) = self.entry.gossip.feed().current() else {
            return;
        };
        self.entry.policy.prune(&current.bundle);
        self.entry.metrics.cost.set_shares(&current.bundle);
        if let Some(claims) = self.entry.claims() {
            claims.set_shards(current.bundle.claims.shards);
        }
        let rules = views::Rules::new(current.generation, current.bundle.clone());
        self.rules = Some(Arc::new(rules));
    }

    fn apply_list(&mut self, list: &[members::Instance]) {
        self.members.apply(list);
        self.has_list = true;
        if let Some(claims) = self.entry.claims() {
            claims.set_live_entries(self.members.entries());
        }
    }

    fn publish(&mut self) {
        let opening = self
            .members
            .agents()
            .any(|member| member.lane.is_connecting());
        // A newly set up object service returns an empty list. An entry that counted as ready with
        // it would attract callers from entries that know targets, and refuse them all.
        let has_agents = self.members.agents().next().is_some();
        self.agents_known |= self.has_list && has_agents && !opening;
        let mut ways: collections::BTreeMap<id::ServiceName, Vec<routes::Route>> =
            collections::BTreeMap::new();
        let latencies = self.latencies();
        for member in self.members.agents() {
            let way = self.way(member, &latencies);
            ways.entry(member.service.clone()).or_default().push(way);
        }
        let routes = ways.into_iter().map(|(service, ways)| {
            let routes = routes::Routes::new(service.clone(), ways);
            self.entry
                .policy
                .retain_targets(&service, &routes.target_names());
            (service, routes)
        });
        let open = |m: &&members::Member| m.lane.connection().is_some();
        let count = self.members.agents().filter(open).count();
        self.entry.metrics.lanes.set(count as i64);
        self.entry.view.store(Arc::new(views::View {
            rules: self.rules.clone(),
            agents_known: self.agents_known,
            routes: routes.collect(),
        }));
    }

    /// Returns the extra latency to each data centre, from the minimum round-trip times of the
    /// lanes.
    fn latencies(&self) -> latency::ExtraLatency {
        let mut latencies = latency::ExtraLatency::new(self.entry.identity.data_centre.clone());
        for member in self.members.agents() {
            if let Some(trip) = member.lane.report().and_then(|seen| seen.min_rtt) {
                latencies.record(&member.data_centre, trip);
            }
        }
        latencies
    }

    fn way(&self, member: &members::Member, latencies: &latency::ExtraLatency) -> routes::Route {
        let report = member.lane.report();
        let leaving =
            |seen: &links::ReceivedReport| self.entry.gossip.is_leaving(seen.report.incarnation);
        let ejected = |seen: &links::ReceivedReport| {
            let target = &seen.report.target;
            self.entry.policy.is_ejected(&member.service, target)
        };
        routes::Route {
            lane: member.lane.clone(),
            local: member.data_centre == self.entry.identity.data_centre,
            extra_latency: latencies.to(&member.data_centre),
            leaving: report.as_deref().is_some_and(leaving),
            ejected: report.as_deref().is_some_and(ejected),
        }
    }
}
