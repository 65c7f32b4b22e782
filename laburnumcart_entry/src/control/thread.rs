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
    bundle,
    head,
    id,
    seal, //
};
use laburnumcart_daemon::control;
use laburnumcart_platform::store;

use crate::{
    control as views,
    entry,
    links,
    members,
    routes, //
};

/// Time between two views; a load report is older than that anyway.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Longest wait of one watch.
const WAIT: time::Duration = time::Duration::from_secs(10);

/// Pause after a failed call of the object service.
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// What the control thread starts from.
#[derive(Debug)]
pub struct Start<S> {
    /// Shared state.
    pub entry: Arc<entry::Entry>,
    /// The object service.
    pub store: Arc<S>,
    /// What lanes need.
    pub caller: links::Caller,
    /// Keys that sign bundles.
    pub trust: seal::Trust,
}

/// Starts the control thread.
pub fn start<S: store::Store>(start: Start<S>) -> io::Result<control::Control<()>> {
    control::spawn(move || run(start))
}

async fn run<S: store::Store>(start: Start<S>) {
    let (rules, mut bundles) = watch::channel(None);
    let (list, mut instances) = watch::channel(Vec::new());
    let follow = follow_bundle(start.store.clone(), start.trust.clone(), rules);
    tokio::task::spawn_local(follow);
    tokio::task::spawn_local(follow_instances(start.store.clone(), list));
    let mut members = members::Members::new(start.caller, start.entry.traffic.clone());
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = bundles.changed() => {}
            _ = instances.changed() => members.apply(&instances.borrow_and_update()),
        }
        if let Some(claims) = start.entry.claims() {
            claims.set_live(members.entries());
        }
        let rules = bundles.borrow_and_update().clone();
        publish(&start.entry, rules, &members);
    }
}

fn publish(entry: &entry::Entry, rules: Option<Arc<views::Rules>>, members: &members::Members) {
    let mut ways: collections::BTreeMap<id::ServiceName, Vec<routes::Way>> =
        collections::BTreeMap::new();
    for member in members.agents() {
        ways.entry(member.service.clone())
            .or_default()
            .push(routes::Way {
                lane: member.lane.clone(),
                local: member.zone == entry.identity.zone,
                ejected: false,
            });
    }
    let table = |(service, ways): (id::ServiceName, _)| {
        (service.clone(), routes::Routes::new(service, ways))
    };
    entry.view.store(Arc::new(views::View {
        rules,
        routes: ways.into_iter().map(table).collect(),
    }));
}

async fn follow_bundle<S: store::Store>(
    store: Arc<S>,
    trust: seal::Trust,
    rules: watch::Sender<Option<Arc<views::Rules>>>,
) {
    let mut view = head::View::default();
    loop {
        if let Some((accepted, found)) = fetch(&*store, &trust, &view).await {
            view.advance(accepted);
            log::info!("event=bundle generation={}", accepted.generation);
            rules.send_replace(Some(Arc::new(views::Rules::new(
                accepted.generation,
                found,
            ))));
        }
        time::sleep(PAUSE).await;
    }
}

async fn fetch<S: store::Store>(
    store: &S,
    trust: &seal::Trust,
    view: &head::View,
) -> Option<(head::Accepted, bundle::Bundle)> {
    let head = store.get("bundle/head").await.ok()??;
    let accepted = head::Head::parse(&head.value).ok()?.accepted;
    if !view.is_newer(&accepted) {
        return None;
    }
    let key = head::object_key(accepted.digest);
    let envelope = store.get(&key).await.ok()??;
    let verified = trust.verify(&envelope.value, Some(accepted.digest)).ok()?;
    let found = serde_json::from_str(verified.bundle()).ok()?;
    Some((accepted, found))
}

async fn follow_instances<S: store::Store>(
    store: Arc<S>,
    list: watch::Sender<Vec<members::Instance>>,
) {
    loop {
        if let Ok(listing) = store.list(members::PREFIX).await {
            let values = listing.objects.iter();
            let parsed = values.filter_map(|o| serde_json::from_str(&o.value).ok());
            list.send_replace(parsed.collect());
            // An event only says that it is time to list again.
            let _ = store.watch(members::PREFIX, listing.revision, WAIT).await;
        }
        time::sleep(PAUSE).await;
    }
}
