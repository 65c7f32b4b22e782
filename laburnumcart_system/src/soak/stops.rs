//! Targets whose processes are stopped and continued by signals, in addition to the other faults.

use std::{
    io,
    net,
    path,
    sync::Arc,
    time, //
};

use nix::sys::signal::Signal;
use rand::{
    Rng,
    SeedableRng,
    seq::SliceRandom, //
};

use crate::{
    process,
    soak::{
        Testbed,
        targets::SERVICES, //
    },
    wait,
};

/// Program that reads for a target, and its option.
const PROGRAM: &str = "laburnum-soak";
const RELAY_OPTION: &str = "--relay";

/// Time for which targets stand still, in milliseconds; at most the length of the run.
const LENGTH_MS: std::ops::Range<u64> = 1_000..60_000;

/// Pause between two rounds of stops, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..4_000;

/// Time between the stops of a series, in milliseconds.
const SERIES_MS: u64 = 1_500;

/// Silence after which the platform removes the entry of a target.
const LAPSE: time::Duration = time::Duration::from_millis(3_600);

/// Starts a process that accepts at `addr` for a target and forwards to `inner`.
///
/// While it is stopped the system keeps what is sent to it, as for a target that is stopped.
pub(super) async fn start_process(
    dir: &path::Path,
    name: &str,
    addr: net::SocketAddr,
    inner: net::SocketAddr,
) -> io::Result<process::Process> {
    let args = [RELAY_OPTION.to_owned(), format!("{addr},{inner}")];
    let process = process::Process::start(dir, name, PROGRAM, &args);
    wait::until("a target's process to listen", || async {
        tokio::net::TcpStream::connect(addr).await.ok().map(drop)
    })
    .await;
    Ok(process)
}

/// Stops targets of a random service and lets them go on together, again and again.
pub(super) async fn inject(testbed: &Arc<Testbed>) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(testbed.plan.seed);
    let end = time::Instant::now() + testbed.plan.length;
    while time::Instant::now() < end {
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let length = time::Duration::from_millis(rng.random_range(LENGTH_MS));
        let left = end.saturating_duration_since(time::Instant::now());
        let stop = Stop {
            service,
            length: length.min(left),
            series: rng.random_bool(0.3),
            spared: rng.random_range(0..=2),
        };
        stop_some(testbed, &mut rng, &stop).await;
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
}

/// Targets of a service that stand still together.
struct Stop {
    service: &'static str,
    /// Time from the first stop until all go on.
    length: time::Duration,
    /// Whether they are stopped one after the other.
    series: bool,
    /// Number of targets of the service that are not stopped.
    spared: usize,
}

/// Stops targets and lets them go on.
async fn stop_some(testbed: &Arc<Testbed>, rng: &mut impl Rng, stop: &Stop) {
    let mut names = testbed.targets.lock().await.names(stop.service);
    names.shuffle(rng);
    names.drain(..stop.spared.min(names.len()));
    let end = time::Instant::now() + stop.length;
    for name in &names {
        testbed.targets.lock().await.signal(name, Signal::SIGSTOP);
        if stop.series {
            tokio::time::sleep(time::Duration::from_millis(SERIES_MS)).await;
        }
    }
    let left = end.saturating_duration_since(time::Instant::now());
    tokio::time::sleep(left.min(LAPSE)).await;
    let lapses = left > LAPSE && rng.random_bool(0.5);
    if lapses {
        list_all(testbed, &names, false).await;
    }
    tokio::time::sleep(left.saturating_sub(LAPSE)).await;
    for name in &names {
        testbed.targets.lock().await.signal(name, Signal::SIGCONT);
    }
    if lapses {
        list_all(testbed, &names, true).await;
    }
}

async fn list_all(testbed: &Testbed, names: &[String], listed: bool) {
    for name in names {
        testbed.targets.lock().await.list(name, listed).await;
    }
}
