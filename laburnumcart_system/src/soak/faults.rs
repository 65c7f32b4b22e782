//! Fault injection into gateways, targets and the store, in an order that the seed determines.

use std::{
    sync::Arc,
    time, //
};

use nix::sys::signal::Signal;
use rand::Rng;

use laburnumcart::unit;
use laburnumcart_platform::memory;

use crate::{
    relay,
    soak::{
        Testbed,
        config,
        targets::Mode, //
    },
};

/// Pause between two faults in milliseconds; shorter than most faults, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// Duration of a failure mode, a process pause or a store outage in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..2500;

/// Failure modes of targets; `Reset` sends nothing of the response, `Cut` sends a part of it.
const MODES: [Mode; 5] = [Mode::Shed, Mode::Reset, Mode::Mute, Mode::Cut, Mode::Double];

/// Faults beside content that crashes targets: stops, changes, targets and the store.
const POISON_KINDS: [u32; 8] = [0, 1, 2, 5, 6, 7, 9, 10];

/// Faults beside stopped targets: changes, paused gateways, targets and the store.
///
/// A gateway that starts has no share of the budget for a while. With one that ends every few
/// seconds, targets would hardly get any repeats.
const STOP_KINDS: [u32; 6] = [1, 2, 4, 5, 6, 8];

/// First of the kinds that kill all gateways at the same time.
const MASS_KILL: u32 = 11;

/// Injects faults for the length of the plan.
pub(super) async fn inject(testbed: &Arc<Testbed>, rng: &mut impl Rng) {
    let end = time::Instant::now() + testbed.plan.length;
    let mut version = 1;
    while time::Instant::now() < end {
        let kind = match testbed.plan.is_planned() {
            true => rng.random_range(0..3),
            // The bounds on poison hold for gateways that run and reach each other.
            false if testbed.plan.poison => POISON_KINDS[rng.random_range(0..POISON_KINDS.len())],
            false if testbed.plan.stops => STOP_KINDS[rng.random_range(0..STOP_KINDS.len())],
            false if testbed.plan.mass_kills => rng.random_range(0..MASS_KILL + 3),
            false => rng.random_range(0..11),
        };
        version += 1;
        inject_fault(testbed, rng, kind, version).await;
        testbed.gateways.lock().await.restart_ended();
        let pause = rng.random_range(PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Ends all faults.
pub(super) async fn heal(testbed: &Testbed) {
    testbed.store.set_faults(memory::Faults::default());
    testbed.store_relay.resume();
    testbed.targets.lock().await.heal();
    testbed.gateways.lock().await.resume_all();
    testbed.history.lock().healed = Some(time::Instant::now());
}

async fn inject_fault(testbed: &Arc<Testbed>, rng: &mut impl Rng, kind: u32, version: u64) {
    let mut gateway = rng.random_range(0..testbed.plan.gateways);
    if testbed.plan.poison {
        // If all gateways stopped at the same time, none would know the crashes any more.
        gateway = 0;
    }
    let length = time::Duration::from_millis(rng.random_range(LENGTH_MS));
    match kind {
        0 => signal_gateway(testbed, gateway, Signal::SIGTERM).await,
        1 => {
            let mut targets = testbed.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            // The old target stays in place when its replacement cannot be started.
            targets.drain_one(index).await.ok();
        }
        2 => {
            change_config(
                testbed,
                version,
                rng.random_bool(0.2) && !testbed.plan.is_planned(),
            )
            .await
        }
        3 => signal_gateway(testbed, gateway, Signal::SIGKILL).await,
        4 => {
            signal_gateway(testbed, gateway, Signal::SIGSTOP).await;
            run_after(testbed, length, move |testbed| async move {
                signal_gateway(&testbed, gateway, Signal::SIGCONT).await;
            });
        }
        5 | 6 => {
            let mode = MODES[rng.random_range(0..MODES.len())];
            let index = rng.random_range(0..testbed.targets.lock().await.count());
            testbed.targets.lock().await.set(index, mode);
            run_after(testbed, length, move |testbed| async move {
                testbed.targets.lock().await.set(index, Mode::Good);
            });
        }
        7 => {
            let mut targets = testbed.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            targets.crash(index).await.ok();
        }
        8 => {
            let (to_server, to_client) = (rng.random_bool(0.7), rng.random_bool(0.7));
            let targets = testbed.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            testbed
                .history
                .record_fault(format!("connections to target {index} stop forwarding"));
            targets.stall(
                index,
                relay::Stall {
                    to_server,
                    to_client,
                },
            );
        }
        9 => {
            testbed
                .history
                .record_fault("connections to the store stop forwarding".into());
            testbed.store_relay.stall(relay::Stall {
                to_server: true,
                to_client: true,
            });
        }
        MASS_KILL.. => {
            for gateway in 0..testbed.plan.gateways {
                signal_gateway(testbed, gateway, Signal::SIGKILL).await;
            }
            if testbed.plan.versions {
                let mut targets = testbed.targets.lock().await;
                let index = rng.random_range(0..targets.count());
                // The old targets stay in place when others cannot be started.
                targets.appear(index).await.ok();
            }
        }
        _ => inject_store_fault(testbed, rng, length),
    }
}

fn inject_store_fault(testbed: &Arc<Testbed>, rng: &mut impl Rng, length: time::Duration) {
    let mut faults = memory::Faults::default();
    match rng.random_range(0..4) {
        0 => faults.down = true,
        1 => faults.slow = unit::Period::from_millis(400),
        2 => faults.lose_answers = 2,
        _ => testbed.store.compact(),
    }
    testbed.history.record_fault(format!("store {faults:?}"));
    testbed.store.set_faults(faults);
    run_after(testbed, length, |testbed| async move {
        testbed.store.set_faults(memory::Faults::default());
    });
}

pub(super) async fn signal_gateway(testbed: &Testbed, gateway: usize, signal: Signal) {
    let mut gateways = testbed.gateways.lock().await;
    if signal == Signal::SIGTERM {
        let stop = (gateway, time::Instant::now());
        testbed.history.lock().stops.push(stop);
    }
    testbed
        .history
        .record_fault(format!("{} {signal}", gateways.name(gateway)));
    gateways.signal(gateway, signal);
}

/// Writes a new configuration with or without the API key, unless the key is revoked already.
async fn change_config(testbed: &Arc<Testbed>, version: u64, revoke: bool) {
    let keys = match revoke {
        true => Vec::new(),
        false => vec!["key-1".to_owned()],
    };
    let is_revoked = testbed.history.lock().revoked.contains_key("key-1");
    if is_revoked {
        return;
    }
    testbed
        .overwrite("config/main", &config(version, &keys))
        .await;
    testbed
        .history
        .record_fault(format!("configuration {version}, revoked {revoke}"));
    if revoke {
        let now = time::Instant::now();
        testbed.history.lock().revoked.insert("key-1".into(), now);
    }
}

/// Spawns a task that runs `act` after a delay.
fn run_after<F>(testbed: &Arc<Testbed>, delay: time::Duration, act: impl FnOnce(Arc<Testbed>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let act = act(testbed.clone());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        act.await;
    });
}
