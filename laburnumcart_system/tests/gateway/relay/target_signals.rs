//! Signals of targets, relayed between gateways.

use std::time;

use laburnumcart::{
    id,
    quota,
    unit, //
};

use laburnumcart_gateway::relay::signals;

use crate::{
    relay::{
        Fleet,
        PROCESSES,
        Process, //
    },
    support::wait_for,
};

/// Returns the rate limit of a target as a process knows it.
fn known_limit(process: &Process, target: &id::TargetLife) -> quota::Limit {
    process.signals.get(target).limit()
}

/// Records a response to a request of a process.
fn record_response(process: &Process, target: &id::TargetLife, limit: quota::Limit) {
    let sent = tokio::time::Instant::now();
    let trusted = true;
    process.signals.record_limit(
        target,
        quota::Observation {
            limit,
            trusted,
            sent,
        },
    );
}

// Uninformed processes would overload a limited target, or avoid one whose limit has ended.
#[tokio::test]
async fn limits_of_targets_reach_all_and_end_for_all() {
    let fleet = Fleet::start().await;
    let target = id::TargetLife {
        name: "i-1".parse().unwrap(),
        life: id::Life(7),
    };
    let all = |known| {
        fleet
            .processes
            .iter()
            .all(|p| known_limit(p, &target) == known)
    };
    let (reader, follower) = (fleet.readers()[0], fleet.followers()[0]);
    // A follower and a reader learn of the limit in turn.
    for (informed, rate) in [(follower, 4.0), (reader, 2.0)] {
        let named = quota::Limit::Advertised(unit::Rate(rate));
        record_response(&fleet.processes[informed], &target, named);
        wait_for(|| all(named)).await;
    }
    tokio::time::sleep(time::Duration::from_millis(1)).await;
    record_response(&fleet.processes[follower], &target, quota::Limit::None);
    wait_for(|| all(quota::Limit::None)).await;
    // Signals spread even while a reader is cut off from the store.
    record_response(
        &fleet.processes[reader],
        &target,
        quota::Limit::Advertised(unit::Rate(1.0)),
    );
    fleet.processes[reader].cut(true);
    wait_for(|| all(quota::Limit::Advertised(unit::Rate(1.0)))).await;
}

// Uninformed processes would send to the target until a response tells each of them.
#[tokio::test]
async fn all_know_that_a_target_leaves_once_one_is_told() {
    let fleet = Fleet::start().await;
    let (reader, follower) = (fleet.readers()[0], fleet.followers()[0]);
    for (informed, name) in [(follower, "i-1"), (reader, "i-2")] {
        let target = id::TargetLife {
            name: name.parse().unwrap(),
            life: id::Life(7),
        };
        let all = || {
            let mut processes = fleet.processes.iter();
            processes.all(|p| p.signals.leaving_targets().contains(&target))
        };
        // Only a response without the limit ends it for others, so it must outlast the announcement.
        let limit = quota::Limit::Advertised(unit::Rate(2.0));
        record_response(&fleet.processes[reader], &target, limit);
        fleet.processes[informed].signals.record_leaving(&target);
        wait_for(all).await;
        wait_for(|| {
            fleet
                .processes
                .iter()
                .all(|p| self::known_limit(p, &target) == limit)
        })
        .await;
    }
}

// A gateway that starts later would send to the target until a response tells it.
#[tokio::test]
async fn processes_that_start_know_of_targets_that_left_before() {
    let mut fleet = Fleet::start().await;
    let target = id::TargetLife {
        name: "i-1".parse().unwrap(),
        life: id::Life(7),
    };
    let left = signals::TargetSignal {
        target: target.name.clone(),
        life: target.life,
        signal: signals::Signal::Leaving,
        age: unit::Period::from_secs(60),
        given_up: false,
        parts: Vec::new(),
    };
    for process in &fleet.processes {
        process.signals.merge(std::slice::from_ref(&left));
    }
    // With twice as many new processes, some of the readers are new ones.
    for i in PROCESSES..3 * PROCESSES {
        fleet.add_process(i);
    }
    let all = || {
        let mut processes = fleet.processes.iter();
        processes.all(|p| p.signals.leaving_targets().contains(&target))
    };
    wait_for(all).await;
    let new = PROCESSES..3 * PROCESSES;
    assert!(fleet.readers().iter().any(|reader| new.contains(reader)));
}

// A process that was cut off learns of a leaving target once it is connected again.
#[tokio::test]
async fn a_process_that_missed_that_a_target_leaves_is_told_later() {
    let signals = signals::Signals::default();
    let target = |name: &str| id::TargetLife {
        name: name.parse().unwrap(),
        life: id::Life(7),
    };
    signals.record_leaving(&target("i-1"));
    let known = signals.updates_since(0).unwrap().version;
    let left = signals::TargetSignal {
        target: target("i-2").name,
        life: target("i-2").life,
        signal: signals::Signal::Leaving,
        age: unit::Period::from_secs(60),
        given_up: false,
        parts: Vec::new(),
    };
    signals.merge(&[left]);
    let told = signals.updates_since(known).unwrap().signals;
    assert!(told.iter().any(|told| told.target == target("i-2").name));
}
