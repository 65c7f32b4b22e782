//! Random interleavings of claims through two entries with pauses, lost responses and takeovers.

use std::{
    collections,
    time, //
};

use laburnumcart::unit;
use laburnumcart_platform::{
    memory,
    store::Store, //
};
use laburnumcart_wire::entry::Decision;
use proptest::prelude::*;
use tokio::{
    task,
    time as clock, //
};

use crate::support::{
    self,
    Cluster,
    params, //
};

/// Number of keys; small, so that requests collide.
const KEYS: u128 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Claims a key through an entry.
    Claim { entry: usize, key: u128 },
    /// Holds back or releases the writes of an entry.
    Pause { entry: usize, held: bool },
    /// Makes an entry unreachable or reachable for the other.
    Cut { entry: usize, cut: bool },
    /// Loses the responses or the calls of the next writes.
    Lose { answers: u32, calls: u32 },
    /// Delays calls of the store, so that those of both entries overlap.
    Slow { millis: u64 },
    /// Makes the store refuse or accept all calls.
    Down { down: bool },
    /// Advances the time.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..2usize;
    prop_oneof![
        6 => (entry.clone(), 0..KEYS).prop_map(|(entry, key)| Step::Claim { entry, key }),
        2 => (entry.clone(), any::<bool>()).prop_map(|(entry, held)| Step::Pause { entry, held }),
        2 => (entry, any::<bool>()).prop_map(|(entry, cut)| Step::Cut { entry, cut }),
        2 => (0..3u32, 0..3u32).prop_map(|(answers, calls)| Step::Lose { answers, calls }),
        2 => (0..800u64).prop_map(|millis| Step::Slow { millis }),
        1 => any::<bool>().prop_map(|down| Step::Down { down }),
        4 => (1..3000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

type Claims = Vec<(u128, u128, task::JoinHandle<Decision>)>;

async fn run_steps(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut cluster = Cluster::with_segments(3);
    let entries = [cluster.start(1), cluster.start(2)];
    let mut claims: Claims = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let request = number as u128 + 1;
        match step {
            Step::Claim { entry, key } => {
                let service = entries[entry].0.clone();
                let deadline = clock::Instant::now() + time::Duration::from_secs(4);
                let claim =
                    async move { service.claim(params(key, request), deadline).await.decision };
                claims.push((key, request, tokio::spawn(claim)));
            }
            Step::Pause { entry, held } => entries[entry].1.hold(held.then_some("claims/")),
            Step::Cut { entry, cut } => cluster.net.set_cut(&entries[entry].0, cut),
            Step::Lose { answers, calls } => {
                let faults = cluster.memory.faults();
                cluster.memory.set_faults(memory::Faults {
                    lose_answers: answers,
                    lose_calls: calls,
                    ..faults
                });
            }
            Step::Slow { millis } => {
                let faults = cluster.memory.faults();
                cluster.memory.set_faults(memory::Faults {
                    slow: unit::Period::from_millis(millis),
                    ..faults
                });
            }
            Step::Down { down } => {
                let faults = cluster.memory.faults();
                cluster.memory.set_faults(memory::Faults { down, ..faults });
            }
            Step::Wait { millis } => clock::sleep(time::Duration::from_millis(millis)).await,
        }
    }
    cluster.memory.set_faults(memory::Faults::default());
    for (service, store) in &entries {
        store.hold(None);
        cluster.net.set_cut(service, false);
    }
    // Lets late appends and releases complete.
    clock::sleep(time::Duration::from_secs(60)).await;
    let mut granted = collections::HashMap::new();
    for (key, request, claim) in claims {
        if claim.await.unwrap() == Decision::Granted {
            let other = granted.insert(key, request);
            prop_assert!(other.is_none(), "key {key}: {other:?} and {request}");
        }
    }
    // Through either entry, a new request must find each granted key taken.
    for (key, request) in granted {
        for (service, _) in &entries {
            let deadline = clock::Instant::now() + time::Duration::from_secs(10);
            let decision = service
                .claim(params(key, 1 << 100), deadline)
                .await
                .decision;
            let taken = support::taken_by(&decision).map(|id| id.0);
            let heads = cluster.memory.list("claims/0/head").await;
            prop_assert_eq!(taken, Some(request), "{:?} {:?}", decision, heads);
        }
    }
    Ok(())
}

proptest! {
    /// Pauses, broken connections and lost store responses must not let two requests hold one key.
    #[test]
    fn at_most_one_grant_a_key(steps in proptest::collection::vec(step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run_steps(steps))?;
    }
}
