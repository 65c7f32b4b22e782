//! Faults from outside, in a series that one seed decides.

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
        Site,
        config,
        targets::Mode, //
    },
};

/// Pauses between two faults in milliseconds; short, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// Time for which a mode of a target, a pause or an outage lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..2500;

/// Modes that targets fall into.
const MODES: [Mode; 5] = [Mode::Shed, Mode::Reset, Mode::Mute, Mode::Cut, Mode::Double];

/// Plays faults for the time of the plan.
pub(super) async fn play(site: &Arc<Site>, rng: &mut impl Rng) {
    let end = time::Instant::now() + site.plan.length;
    let mut version = 1;
    while time::Instant::now() < end {
        let kind = match site.plan.is_planned() {
            true => rng.random_range(0..3),
            false => rng.random_range(0..11),
        };
        version += 1;
        fault(site, rng, kind, version).await;
        site.gateways.lock().await.restart();
        let pause = rng.random_range(PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Ends all faults.
pub(super) async fn heal(site: &Site) {
    site.store.set_faults(memory::Faults::default());
    site.store_relay.resume();
    site.targets.lock().await.heal();
    site.gateways.lock().await.wake();
    site.ledger.lock().healed = Some(time::Instant::now());
}

async fn fault(site: &Arc<Site>, rng: &mut impl Rng, kind: u32, version: u64) {
    let gateway = rng.random_range(0..site.plan.gateways);
    let length = time::Duration::from_millis(rng.random_range(LENGTH_MS));
    match kind {
        0 => signal(site, gateway, Signal::SIGTERM).await,
        1 => {
            let mut targets = site.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            // A target that cannot be started leaves the old one in place.
            targets.release(index).await.ok();
        }
        2 => {
            change(
                site,
                version,
                rng.random_bool(0.2) && !site.plan.is_planned(),
            )
            .await
        }
        3 => signal(site, gateway, Signal::SIGKILL).await,
        4 => {
            signal(site, gateway, Signal::SIGSTOP).await;
            later(site, length, move |site| async move {
                signal(&site, gateway, Signal::SIGCONT).await;
            });
        }
        5 | 6 => {
            let mode = MODES[rng.random_range(0..MODES.len())];
            let index = rng.random_range(0..site.targets.lock().await.count());
            site.targets.lock().await.set(index, mode);
            later(site, length, move |site| async move {
                site.targets.lock().await.set(index, Mode::Good);
            });
        }
        7 => {
            let mut targets = site.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            targets.crash(index).await.ok();
        }
        8 => {
            let (forth, back) = (rng.random_bool(0.7), rng.random_bool(0.7));
            let targets = site.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            site.ledger
                .fault(format!("connections to target {index} fall silent"));
            targets.silence(
                index,
                relay::Stall {
                    to_server: forth,
                    to_client: back,
                },
            );
        }
        9 => {
            site.ledger
                .fault("connections to the store fall silent".into());
            site.store_relay.stall(relay::Stall {
                to_server: true,
                to_client: true,
            });
        }
        _ => outage(site, rng, length),
    }
}

fn outage(site: &Arc<Site>, rng: &mut impl Rng, length: time::Duration) {
    let mut faults = memory::Faults::default();
    match rng.random_range(0..4) {
        0 => faults.down = true,
        1 => faults.slow = unit::Period::from_millis(400),
        2 => faults.lose_answers = 2,
        _ => site.store.compact(),
    }
    site.ledger.fault(format!("store {faults:?}"));
    site.store.set_faults(faults);
    later(site, length, |site| async move {
        site.store.set_faults(memory::Faults::default());
    });
}

async fn signal(site: &Site, gateway: usize, signal: Signal) {
    let mut gateways = site.gateways.lock().await;
    site.ledger
        .fault(format!("{} {signal}", gateways.name(gateway)));
    gateways.signal(gateway, signal);
}

/// Writes a new configuration, with or without the callers' key.
async fn change(site: &Arc<Site>, version: u64, revoke: bool) {
    let keys = match revoke {
        true => Vec::new(),
        false => vec!["key-1".to_owned()],
    };
    let is_revoked = site.ledger.lock().revoked.contains_key("key-1");
    if is_revoked {
        return;
    }
    site.write("config/main", &config(version, &keys)).await;
    site.ledger
        .fault(format!("configuration {version}, revoked {revoke}"));
    if revoke {
        let now = time::Instant::now();
        site.ledger.lock().revoked.insert("key-1".into(), now);
    }
}

fn later<F>(site: &Arc<Site>, after: time::Duration, act: impl FnOnce(Arc<Site>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let act = act(site.clone());
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        act.await;
    });
}
