//! Operations of two owners in any order, with pauses, lost answers and takeovers.

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
    World,
    ask, //
};

/// Keys in use; few, so that requests meet.
const KEYS: u128 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request claims a key through an entry.
    Claim { entry: usize, key: u128 },
    /// Writes of an entry are held, or go on.
    Pause { entry: usize, held: bool },
    /// An entry is out of reach for the other, or in reach.
    Cut { entry: usize, cut: bool },
    /// Answers of the next writes are lost, or the calls.
    Lose { answers: u32, calls: u32 },
    /// Calls of the store take a while, so that those of the entries overlap.
    Slow { millis: u64 },
    /// All calls of the store are refused, or not.
    Down { down: bool },
    /// Time passes.
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

async fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut world = World::with_segments(3);
    let entries = [world.start(1), world.start(2)];
    let mut claims: Claims = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let request = number as u128 + 1;
        match step {
            Step::Claim { entry, key } => {
                let service = entries[entry].0.clone();
                let deadline = clock::Instant::now() + time::Duration::from_secs(4);
                let claim =
                    async move { service.claim(ask(key, request), deadline).await.decision };
                claims.push((key, request, tokio::spawn(claim)));
            }
            Step::Pause { entry, held } => entries[entry].1.hold(held.then_some("claims/")),
            Step::Cut { entry, cut } => world.net.set_cut(&entries[entry].0, cut),
            Step::Lose { answers, calls } => {
                let faults = world.memory.faults();
                world.memory.set_faults(memory::Faults {
                    lose_answers: answers,
                    lose_calls: calls,
                    ..faults
                });
            }
            Step::Slow { millis } => {
                let faults = world.memory.faults();
                world.memory.set_faults(memory::Faults {
                    slow: unit::Period::from_millis(millis),
                    ..faults
                });
            }
            Step::Down { down } => {
                let faults = world.memory.faults();
                world.memory.set_faults(memory::Faults { down, ..faults });
            }
            Step::Wait { millis } => clock::sleep(time::Duration::from_millis(millis)).await,
        }
    }
    world.memory.set_faults(memory::Faults::default());
    for (service, gate) in &entries {
        gate.hold(None);
        world.net.set_cut(service, false);
    }
    // Late appends and releases come to rest.
    clock::sleep(time::Duration::from_secs(60)).await;
    let mut granted = collections::HashMap::new();
    for (key, request, claim) in claims {
        if claim.await.unwrap() == Decision::Granted {
            let other = granted.insert(key, request);
            prop_assert!(other.is_none(), "key {key}: {other:?} and {request}");
        }
    }
    // A new request finds every key taken that was granted, through either entry.
    for (key, request) in granted {
        for (service, _) in &entries {
            let deadline = clock::Instant::now() + time::Duration::from_secs(10);
            let decision = service.claim(ask(key, 1 << 100), deadline).await.decision;
            let taken = support::taken_by(&decision).map(|id| id.0);
            let heads = world.memory.list("claims/0/head").await;
            prop_assert_eq!(taken, Some(request), "{:?} {:?}", decision, heads);
        }
    }
    Ok(())
}

proptest! {
    /// Two entries serve requests under few keys while their processes pause, their connections
    /// break and the store loses answers. However these interleave, a key is granted to one
    /// request at most, and every later request finds it taken.
    #[test]
    fn at_most_one_grant_a_key(steps in proptest::collection::vec(step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(play(steps))?;
    }
}
