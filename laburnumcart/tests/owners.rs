//! Tests of the assignment of queues to owners.

use std::collections;

use laburnumcart::{
    id,
    owners,
    readers, //
};
use rstest::rstest;

struct Fleet {
    names: Vec<id::InstanceName>,
    data_centres: Vec<id::DataCentre>,
    cores: Vec<f64>,
}

impl Fleet {
    /// Creates strong instances, then weak ones, over three data centres in turn; `salt` is part of
    /// their names.
    fn new(strong: usize, weak: usize, salt: usize) -> Self {
        let all = 0..strong + weak;
        let data_centre = |i: usize| ["north", "south", "west"][i % 3].parse().unwrap();
        Self {
            names: all
                .clone()
                .map(|i| format!("gateway-{salt}-{i}").parse().unwrap())
                .collect(),
            data_centres: all.clone().map(data_centre).collect(),
            cores: all.map(|i| if i < strong { 0.5 } else { 0.09 }).collect(),
        }
    }

    fn members(&self) -> Vec<readers::Member<'_>> {
        let member = |i: usize| readers::Member {
            name: &self.names[i],
            data_centre: &self.data_centres[i],
            cores: self.cores[i],
        };
        (0..self.names.len()).map(member).collect()
    }
}

fn services(count: usize) -> Vec<id::ServiceName> {
    (0..count)
        .map(|i| format!("stage-{i}").parse().unwrap())
        .collect()
}

/// Returns the most queues for which one instance has a given rank.
fn most(rankings: &owners::Rankings<'_>, rank: usize) -> usize {
    let mut counts: collections::HashMap<_, usize> = collections::HashMap::new();
    for ranking in rankings.values() {
        *counts.entry(ranking[rank].name).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
}

// A gateway that owns all queues stays overloaded after a short burst while its targets idle.
#[rstest]
#[case(15, 88, 3)]
#[case(6, 21, 3)]
#[case(3, 0, 3)]
#[case(6, 0, 6)]
fn no_member_owns_two_queues_while_another_owns_none(
    #[case] strong: usize,
    #[case] weak: usize,
    #[case] count: usize,
) {
    let services = services(count);
    // By random choice, one of 15 gateways would own two of three queues in a fifth of all fleets.
    for salt in 0..50 {
        let fleet = Fleet::new(strong, weak, salt);
        let members = fleet.members();
        let rankings = owners::rankings(&members, &services);
        assert_eq!(most(&rankings, 0), 1);
        let data_centres: collections::HashSet<_> =
            rankings.values().map(|r| r[0].data_centre).collect();
        assert_eq!(data_centres.len(), count.min(3), "spread over data centres");
        assert!(rankings.values().all(|ranking| ranking[0].cores > 0.4));
    }
}

// A successor with a queue of its own would be overloaded by a second one.
#[test]
fn the_successor_of_an_owner_owns_no_other_queue() {
    let services = services(3);
    for salt in 0..50 {
        let fleet = Fleet::new(6, 21, salt);
        let members = fleet.members();
        let rankings = owners::rankings(&members, &services);
        let owners: Vec<_> = rankings.values().map(|ranking| ranking[0].name).collect();
        assert!(
            rankings
                .values()
                .all(|ranking| !owners.contains(&ranking[1].name))
        );
    }
}

// A weak gateway could not send the calls of all others.
#[test]
fn strong_members_share_the_queues_if_they_are_few() {
    let fleet = Fleet::new(2, 20, 0);
    let members = fleet.members();
    let services = services(4);
    let rankings = owners::rankings(&members, &services);
    assert_eq!(most(&rankings, 0), 2);
    assert!(rankings.values().all(|ranking| ranking[0].cores > 0.4));
}

// Weak gateways join and leave often, and each change of owner makes jobs queue again.
#[test]
fn a_weak_member_changes_no_owner() {
    let services = services(3);
    let (fewer, more) = (Fleet::new(6, 20, 0), Fleet::new(6, 21, 0));
    let (few, many) = (fewer.members(), more.members());
    let (before, after) = (
        owners::rankings(&few, &services),
        owners::rankings(&many, &services),
    );
    for service in &services {
        assert_eq!(before[service][0].name, after[service][0].name);
    }
}
