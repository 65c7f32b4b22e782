//! The control thread: follows the bundle and the instances, and publishes views.

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

/// Time between two views; a load report is older than that anyway.
const TICK: time::Duration = time::Duration::from_millis(100);

/// What the control thread starts from.
#[derive(Debug)]
pub struct Start<S> {
    /// Shared state.
    pub entry: Arc<entry::Entry>,
    /// The object service.
    pub store: S,
    /// What lanes need.
    pub caller: links::Caller,
    /// Secret that is shown to peers.
    pub secret: secret::Secret,
    /// How the bundle is followed.
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
            start.caller,
            start.entry.identity.data_centre.clone(),
            start.entry.traffic.clone(),
        ),
        entry: start.entry,
        rules: None,
        listed: false,
        settled: false,
    };
    control.run(instances).await;
}

/// Control state of an entry.
#[derive(Debug)]
struct Control {
    entry: Arc<entry::Entry>,
    members: members::Members,
    rules: Option<Arc<views::Rules>>,
    listed: bool,
    settled: bool,
}

impl Control {
    async fn run(mut self, mut instances: watch::Receiver<Vec<members::Instance>>) {
        let mut bundles = self.entry.gossip.feed().changes();
        let mut ticks = time::interval(TICK);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Ok(()) = bundles.changed() => self.adopt(),
                Ok(()) = instances.changed() => self.list(&instances.borrow_and_update()),
            }
            self.members.refresh();
            self.entry.gossip.refresh();
            self.publish();
        }
    }

    /// Puts the bundle in force.
    fn adopt(&mut self) {
        let Some(current) = self.entry.gossip.feed().current() else {
            return;
        };
        self.entry.policy.prune(&current.bundle);
        self.entry.metrics.cost.promise(&current.bundle);
        if let Some(claims) = self.entry.claims() {
            claims.set_shards(current.bundle.claims.shards);
        }
        let rules = views::Rules::new(current.generation, current.bundle.clone());
        self.rules = Some(Arc::new(rules));
    }

    fn list(&mut self, list: &[members::Instance]) {
        self.members.apply(list);
        self.listed = true;
        if let Some(claims) = self.entry.claims() {
            claims.set_live(self.members.entries());
        }
    }

    fn publish(&mut self) {
        let opening = self.members.agents().any(|member| member.lane.is_opening());
        // An empty list is also what a store tells that has just been set up. An entry that was
        // ready with it would draw callers from entries that know targets, and refuse them all.
        let any = self.members.agents().next().is_some();
        self.settled |= self.listed && any && !opening;
        let mut ways: collections::BTreeMap<id::ServiceName, Vec<routes::Way>> =
            collections::BTreeMap::new();
        let crossings = self.crossings();
        for member in self.members.agents() {
            let way = self.way(member, &crossings);
            ways.entry(member.service.clone()).or_default().push(way);
        }
        let routes = ways.into_iter().map(|(service, ways)| {
            let routes = routes::Routes::new(service.clone(), ways);
            self.entry.policy.keep(&service, &routes.targets());
            (service, routes)
        });
        let open = |m: &&members::Member| m.lane.connection().is_some();
        let count = self.members.agents().filter(open).count();
        self.entry.metrics.lanes.set(count as i64);
        self.entry.view.store(Arc::new(views::View {
            rules: self.rules.clone(),
            settled: self.settled,
            routes: routes.collect(),
        }));
    }

    /// Returns the least round trip to each data centre.
    fn crossings(&self) -> latency::ExtraLatency {
        let mut crossings = latency::ExtraLatency::new(self.entry.identity.data_centre.clone());
        for member in self.members.agents() {
            if let Some(trip) = member.lane.report().and_then(|seen| seen.trip) {
                crossings.record(&member.data_centre, trip);
            }
        }
        crossings
    }

    fn way(&self, member: &members::Member, crossings: &latency::ExtraLatency) -> routes::Way {
        let report = member.lane.report();
        let leaving = |seen: &links::Seen| self.entry.gossip.is_leaving(seen.report.incarnation);
        let ejected = |seen: &links::Seen| {
            let target = &seen.report.target;
            self.entry.policy.is_ejected(&member.service, target)
        };
        routes::Way {
            lane: member.lane.clone(),
            local: member.data_centre == self.entry.identity.data_centre,
            crossing: crossings.to(&member.data_centre),
            leaving: report.as_deref().is_some_and(leaving),
            ejected: report.as_deref().is_some_and(ejected),
        }
    }
}
