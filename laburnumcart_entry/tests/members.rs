//! Heartbeat periods of the lanes to listed agents.

use std::{
    sync::Arc,
    time, //
};

use laburnumcart::id;
use laburnumcart_daemon::{
    bundle,
    metrics, //
};
use laburnumcart_entry::{
    gossip,
    links,
    members, //
};
use rstest::rstest;

fn caller() -> links::Config {
    let feed = bundle::Feed::new(&metrics::Metrics::new());
    links::Config {
        instance: "entry-0".parse().unwrap(),
        incarnation: id::Incarnation::random(),
        peer: ([127, 0, 0, 1], 1).into(),
        gossip: Arc::new(gossip::Gossip::new(feed)),
        closed_connections: Default::default(),
        outcome_queries: Default::default(),
        secret: "secret-of-the-fleet".parse().unwrap(),
        timing: links::Timing::default(),
    }
}

fn instance(role: members::Role, service: Option<String>, number: u16) -> members::Instance {
    members::Instance {
        name: format!("{role:?}-{number}").to_lowercase().parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        role,
        service: service.map(|name| name.parse().unwrap()),
        // No process listens on these ports.
        addr: ([127, 0, 0, 1], number).into(),
        state: members::State::Live,
    }
}

fn list(entries: u16, services: u16, targets: u16) -> Vec<members::Instance> {
    let entries = (0..entries).map(|n| instance(members::Role::Entry, None, n + 1));
    let agents = (0..services * targets).map(|n| {
        let service = format!("service-{}", n % services);
        instance(members::Role::Agent, Some(service), n + 1)
    });
    entries.chain(agents).collect()
}

// With a fixed period, a large fleet's heartbeats would saturate the network of a few targets.
#[rstest]
#[case::small_fleet(5, 5, 4, 2_000)]
#[case::many_entries_few_targets(350, 2, 5, 14_186)]
#[case::many_entries_many_targets(350, 4, 160, 2_000)]
#[case::many_services(1, 12, 8, 3_891)]
#[case::bounded(2_000, 1, 3, 20_000)]
#[tokio::test]
async fn idle_period_grows_with_the_lanes(
    #[case] entries: u16,
    #[case] services: u16,
    #[case] targets: u16,
    #[case] millis: u64,
) {
    let data_centre = "dc-1".parse().unwrap();
    let runtime = tokio::runtime::Handle::current();
    let mut members = members::Members::new(caller(), data_centre, runtime);
    // All entries keep lanes to all agents of a service with few targets.
    members.apply(&list(entries, services, targets));
    assert!(members.agents().count() > 0);
    for member in members.agents() {
        assert_eq!(
            member.lane.idle_period(),
            time::Duration::from_millis(millis)
        );
    }
}
