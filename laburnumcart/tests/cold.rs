//! Requests to cold targets, summed over processes that share no count.

use std::{
    collections,
    time, //
};

use laburnumcart::{
    cold,
    id,
    unit, //
};
use rstest::rstest;
use tokio::time::Instant;

fn names(count: usize) -> Vec<id::InstanceName> {
    let name = |i| format!("gateway-{i}").parse().unwrap();
    (0..count).map(name).collect()
}

fn target(i: usize) -> id::TargetName {
    format!("engine-{i}").parse().unwrap()
}

/// Sum of the quotas of all members for one target.
fn sum(members: &[id::InstanceName], target: &id::TargetName, rate: f64) -> u32 {
    let all: Vec<_> = members.iter().collect();
    let quota = |own| {
        let members = &all[..];
        cold::Senders { own, members }.quota(target, unit::Rate(rate))
    };
    members.iter().map(|own| quota(own).count).sum()
}

// Engines of a data centre come back cold and all gateways have more for them than they bear. If
// each gateway rounded its part up, or took the whole rate, the engines would crash again.
#[rstest]
#[case(1, 13.0)]
#[case(4, 13.0)]
#[case(27, 13.0)]
#[case(350, 13.0)]
#[case(27, 40.5)]
#[case(3, 0.5)]
fn parts_add_up_to_the_rate(#[case] members: usize, #[case] rate: f64) {
    let members = names(members);
    for i in 0..20 {
        assert_eq!(sum(&members, &target(i), rate), rate.max(1.0) as u32);
    }
}

// With more gateways than requests a second, the same few gateways must not hold all engines: the
// callers of the others would be refused while engines have room.
#[test]
fn parts_of_different_targets_go_to_different_members() {
    let members = names(27);
    let all: Vec<_> = members.iter().collect();
    for own in &members {
        let senders = cold::Senders { own, members: &all };
        let quotas = (0..49).map(|i| senders.quota(&target(i), unit::Rate(13.0)).count);
        let open: u32 = quotas.sum();
        assert!((10..40).contains(&open), "{own} may use {open} of 49");
    }
}

// Two gateways see a member more or less for a moment. Together they may go a little beyond the
// rate, far less than the half of it that a target bears beyond.
#[test]
fn views_that_differ_go_little_beyond() {
    let (old, new) = (names(26), names(27));
    for i in 0..20 {
        let quota = |own, members: &[id::InstanceName]| {
            let all: Vec<_> = members.iter().collect();
            let members = &all[..];
            cold::Senders { own, members }.quota(&target(i), unit::Rate(13.0))
        };
        let half = new.iter().enumerate();
        let sums = half.map(|(k, own)| match k % 2 == 0 && k < 26 {
            true => quota(own, &old).count,
            false => quota(own, &new).count,
        });
        let sum: u32 = sums.sum();
        assert!(sum <= 14, "{sum}");
    }
}

// A gateway that has not entered itself yet is counted by nobody else.
#[test]
fn a_stranger_has_no_part() {
    let members = names(3);
    let all: Vec<_> = members.iter().collect();
    let own = "gateway-9".parse().unwrap();
    let senders = cold::Senders {
        own: &own,
        members: &all,
    };
    assert_eq!(
        senders.quota(&target(0), unit::Rate(13.0)),
        cold::Quota::NONE
    );
    assert_eq!(
        senders.quota(&target(0), unit::Rate(0.0)),
        cold::Quota::NONE
    );
}

// Callers press on a gateway for ten seconds while an engine is cold. In no second may more arrive
// there than its part, wherever the second begins; a count by fixed seconds lets twice as many
// through at their border.
#[tokio::test(start_paused = true)]
async fn no_second_has_more_than_the_part() {
    let mut gate = cold::Gate::default();
    let start = Instant::now();
    let quota = cold::Quota {
        count: 3,
        span: time::Duration::from_millis(1100),
    };
    let until = start + time::Duration::from_secs(10);
    gate.set(Some(cold::Chill { until, quota }));
    let mut sent = collections::VecDeque::new();
    for _ in 0..1000 {
        let now = Instant::now();
        if now < until && gate.is_open(now) {
            gate.record(now);
            sent.push_back(now);
        }
        tokio::time::advance(time::Duration::from_millis(10)).await;
    }
    assert!(sent.len() >= 27, "{}", sent.len());
    for at in &sent {
        let second = *at..*at + time::Duration::from_secs(1);
        assert!(sent.iter().filter(|t| second.contains(t)).count() <= 3);
    }
    assert!(gate.is_open(Instant::now()), "it is warm again");
    assert!(!gate.is_cold(Instant::now()));
}
