//! Changes of the configuration, signals and pauses of processes, in series and overlapping.

use std::{
    sync::Arc,
    time, //
};

use nix::sys::signal::Signal;
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use serde_json::{
    Value,
    json, //
};

use crate::soak::{
    Testbed,
    config,
    faults,
    targets::SERVICES, //
};

/// Pause between two configurations, signals, and changes of targets, in milliseconds.
const CONFIG_PAUSE_MS: std::ops::Range<u64> = 100..500;
const SIGNAL_PAUSE_MS: std::ops::Range<u64> = 300..2500;
const TARGET_PAUSE_MS: std::ops::Range<u64> = 300..1500;

/// Time for which gateways and targets stand still, in milliseconds.
const GATEWAY_STOP_MS: std::ops::Range<u64> = 300..2000;
const TARGET_STOP_MS: std::ops::Range<u64> = 500..1500;

/// Limits of idle and head time, in milliseconds.
const IDLE_MS: [u64; 4] = [2000, 2500, 4000, 15_000];
const HEAD_MS: [u64; 3] = [1500, 2000, 3000];

/// Timeouts of routes, in milliseconds.
const TIMEOUT_MS: [u64; 3] = [6000, 8000, 12_000];

/// Number of routes that a large configuration has in addition.
const LARGE_ROUTES: u64 = 1500;

/// Time in which gateways have learned of a configuration, also after a pause.
const LEARN_TIME: time::Duration = time::Duration::from_secs(5);

/// Limits of a configuration.
#[derive(Clone, Copy, Debug)]
pub(in crate::soak) struct Limits {
    pub(super) from: time::Instant,
    pub(super) idle: time::Duration,
    pub(super) head: time::Duration,
}

/// Returns the shortest limits that a gateway may apply to what begins at `now`.
pub(super) fn least(limits: &[Limits], now: time::Instant) -> (time::Duration, time::Duration) {
    let is_old = |limit: &Limits| limit.from + LEARN_TIME < now;
    let first = limits.iter().rposition(is_old).unwrap_or(0);
    let recent = &limits[first..];
    let idle = recent.iter().map(|limit| limit.idle).min();
    let head = recent.iter().map(|limit| limit.head).min();
    (idle.unwrap_or_default(), head.unwrap_or_default())
}

/// Changes everything for the length of the plan; processes stand still in unplanned runs only.
pub(in crate::soak) async fn inject(testbed: &Arc<Testbed>) {
    let end = time::Instant::now() + testbed.plan.length;
    let rng = |stream: u32| rngs::StdRng::seed_from_u64(testbed.plan.seed.rotate_left(stream * 16));
    tokio::join!(
        change_configs(testbed, rng(0), end),
        signal_gateways(testbed, rng(1), end),
        stop_gateways(testbed, rng(2), end),
        change_targets(testbed, rng(3), end)
    );
}

/// Gives all routes the least timeout of a run.
pub(in crate::soak) fn set_timeouts(config: &mut Value) {
    let routes = config["routes"].as_array_mut().expect("a list of routes");
    for route in routes {
        route["timeout_ms"] = json!(TIMEOUT_MS[0]);
    }
}

async fn pause(rng: &mut impl Rng, range: std::ops::Range<u64>) {
    let pause = time::Duration::from_millis(rng.random_range(range));
    tokio::time::sleep(pause).await;
}

async fn change_configs(testbed: &Testbed, mut rng: impl Rng, end: time::Instant) {
    let mut version = 1;
    while time::Instant::now() < end {
        version += 1;
        let mut value = config(version, &["key-1".to_owned()]);
        let idle = IDLE_MS[rng.random_range(0..IDLE_MS.len())];
        let head = HEAD_MS[rng.random_range(0..HEAD_MS.len())];
        value["limits"]["idle_timeout_ms"] = json!(idle);
        value["limits"]["header_timeout_ms"] = json!(head);
        let routes = value["routes"].as_array_mut().expect("a list of routes");
        for route in routes.iter_mut() {
            route["timeout_ms"] = json!(TIMEOUT_MS[rng.random_range(0..TIMEOUT_MS.len())]);
        }
        let numbers = match rng.random_range(0..10) {
            0 => 0..LARGE_ROUTES,
            1..5 => 0..1,
            _ => 0..0,
        };
        let template = routes[0].clone();
        routes.extend(numbers.map(|number| {
            let name = match number {
                0 => "extra".to_owned(),
                _ => format!("extra-{number}"),
            };
            let mut route = template.clone();
            route["path_prefix"] = json!(format!("/{name}/"));
            route["name"] = json!(name);
            route
        }));
        let count = routes.len();
        let limits = Limits {
            from: time::Instant::now(),
            idle: time::Duration::from_millis(idle),
            head: time::Duration::from_millis(head),
        };
        testbed.history.lock().limits_set.push(limits);
        testbed.overwrite("config/main", &value).await;
        testbed.history.record_fault(format!(
            "configuration {version}, {count} routes, idle {idle} ms, head {head} ms"
        ));
        pause(&mut rng, CONFIG_PAUSE_MS).await;
    }
}

async fn signal_gateways(testbed: &Testbed, mut rng: impl Rng, end: time::Instant) {
    while time::Instant::now() < end {
        let gateway = rng.random_range(0..testbed.plan.gateways);
        if rng.random_bool(0.5) {
            faults::signal_gateway(testbed, gateway, Signal::SIGTERM).await;
        }
        for _ in 0..rng.random_range(0..3) {
            let gateway = rng.random_range(0..testbed.plan.gateways);
            faults::signal_gateway(testbed, gateway, Signal::SIGHUP).await;
            pause(&mut rng, 1..100).await;
        }
        testbed.gateways.lock().await.restart_ended();
        pause(&mut rng, SIGNAL_PAUSE_MS).await;
    }
}

async fn stop_gateways(testbed: &Testbed, mut rng: impl Rng, end: time::Instant) {
    while time::Instant::now() < end && !testbed.plan.is_planned() {
        pause(&mut rng, GATEWAY_STOP_MS).await;
        let gateway = rng.random_range(0..testbed.plan.gateways);
        faults::signal_gateway(testbed, gateway, Signal::SIGSTOP).await;
        pause(&mut rng, GATEWAY_STOP_MS).await;
        faults::signal_gateway(testbed, gateway, Signal::SIGCONT).await;
    }
}

/// Replaces targets and lets them stand still; one that stands still is not replaced.
async fn change_targets(testbed: &Testbed, mut rng: impl Rng, end: time::Instant) {
    while time::Instant::now() < end {
        if testbed.plan.is_planned() || rng.random_bool(0.3) {
            let mut targets = testbed.targets.lock().await;
            let index = rng.random_range(0..targets.count());
            // The old target stays in place when its replacement cannot be started.
            targets.drain_one(index).await.ok();
        } else {
            let names = {
                let targets = testbed.targets.lock().await;
                targets.names(SERVICES[rng.random_range(0..SERVICES.len())])
            };
            let name = &names[rng.random_range(0..names.len())];
            testbed.targets.lock().await.signal(name, Signal::SIGSTOP);
            pause(&mut rng, TARGET_STOP_MS).await;
            testbed.targets.lock().await.signal(name, Signal::SIGCONT);
        }
        pause(&mut rng, TARGET_PAUSE_MS).await;
    }
}
