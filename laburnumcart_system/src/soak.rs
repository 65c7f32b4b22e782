//! Randomized soak test of gateway processes under injected faults.
//!
//! Gateways run as separate processes. The store, the targets and the callers are tasks of the
//! soak; relays in front of the store and the targets can stop forwarding bytes. The soak records
//! what callers and targets observe and checks it against the guarantees of the gateway. The seed
//! determines all faults; the interleaving depends on the scheduler.

mod callers;
mod check;
mod connections;
mod evacuations;
mod faults;
mod gateways;
mod history;
mod outages;
mod poison;
mod repeats;
mod stops;
mod target_signals;
mod targets;
mod versions;

use std::{
    path,
    sync::Arc,
    time, //
};

use rand::SeedableRng;
use serde_json::{
    Value,
    json, //
};

use laburnumcart_fakes::objects;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

use crate::{
    port,
    relay, //
};

pub use self::check::Report;

/// Time for gateways to load the configuration and to recover from the last faults.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// Number of concurrent callers that keep connections.
const KEPT_CALLERS: usize = 32;

/// Parameters of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plan {
    /// Seed of the random number generators that choose the faults.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Time during which faults are injected.
    pub length: time::Duration,
    /// Whether data centres are evacuated during the run.
    pub evacuations: bool,
    /// Whether targets signal rate limits, warm-up time, backoff and that they leave.
    pub target_signals: bool,
    /// Whether all targets of a service fail at once during the run.
    pub service_outages: bool,
    /// Whether callers send content that crashes its targets.
    pub poison: bool,
    /// Whether targets differ in their software versions, and callers take streams up.
    pub versions: bool,
    /// Whether targets are stopped and continued by signals during the run.
    pub stops: bool,
    /// Whether callers keep connections and use them in all ways, beside changes in series.
    pub connections: bool,
    /// Whether all gateways are killed at the same time, now and then.
    pub mass_kills: bool,
}

impl Plan {
    /// Reports whether the run consists of planned work only, which must not cut off any request.
    pub fn is_planned(&self) -> bool {
        self.seed.is_multiple_of(4) && !self.service_outages && !self.poison && !self.stops
    }
}

/// Returns the configuration of the soak with the given API keys.
fn config(version: u64, keys: &[String]) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "soak.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 800, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": name != "keyed"
        })
    };
    let mut streaming = route("tale", "streaming", "tale", 3);
    streaming["resumable"] = json!(true);
    streaming["gap_target_ms"] = json!(100);
    streaming["stages"] = json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    let service = |name: &str| {
        json!({ "name": name, "health_path": "/health", "max_connections": 200,
            "cold_per_s": target_signals::COLD_PER_S })
    };
    let mut batched = service("encode");
    batched["segments"] = json!({ "slots": 1, "queue": 2, "batch": 6, "call_ms": 10.0,
        "item_ms": 1.0, "headroom_mb": 1.0, "handle_ttl_s": 4.0, "link_mbps": 1000 });
    json!({
        "version": version,
        "routes": [
            route("safe", "idempotent", "desk", 2), route("once", "non_idempotent", "desk", 2),
            route("keyed", "idempotent", "desk", 2), streaming
        ],
        "services": [service("desk"), service("tale"), batched],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "clinic", "api_keys": keys }]
    })
}

/// State that the tasks of a run share.
struct Testbed {
    plan: Plan,
    store: memory::Memory,
    history: Arc<history::History>,
    targets: tokio::sync::Mutex<targets::Targets>,
    gateways: tokio::sync::Mutex<gateways::Gateways>,
    store_relay: relay::Relay,
}

impl Testbed {
    async fn start(plan: Plan, dir: &path::Path) -> std::io::Result<Self> {
        let store = memory::Memory::new();
        let store_addr = port::reserve_addr();
        // The server task ends with the runtime.
        objects::serve(store_addr, store.clone()).await?;
        let store_relay = relay::Relay::start(port::reserve_addr(), store_addr).await?;
        let history = Arc::new(history::History::default());
        history.lock().gateways = plan.gateways;
        let warm_up = plan.target_signals.then_some(target_signals::WARM_UP);
        let kind = targets::Kind {
            warm_up,
            versions: versions::Versions::new(plan.versions),
            process_dir: (plan.stops || plan.connections).then(|| dir.to_owned()),
        };
        let targets = targets::Targets::start(store.clone(), history.clone(), kind).await?;
        let gateways = gateways::Gateways::start(dir, plan.gateways, store_relay.addr())?;
        let testbed = Self {
            plan,
            store,
            history,
            targets: tokio::sync::Mutex::new(targets),
            gateways: tokio::sync::Mutex::new(gateways),
            store_relay,
        };
        let mut first = config(1, &[String::from("key-1")]);
        if plan.connections {
            connections::set_timeouts(&mut first);
        }
        testbed.overwrite("config/main", &first).await;
        Ok(testbed)
    }

    /// Overwrites an object; retries until the store accepts it.
    async fn overwrite(&self, key: &str, value: &Value) {
        overwrite(&self.store, key, value).await;
    }
}

/// Overwrites an object whatever its version; retries until the store accepts it.
async fn overwrite(store: &memory::Memory, key: &str, value: &Value) {
    loop {
        let expect = match store.get(key).await {
            Ok(Some(object)) => Some(store::Expect::Version(object.version)),
            Ok(None) => Some(store::Expect::Absent),
            Err(_) => None,
        };
        if let Some(expect) = expect
            && store.put(key, expect, &value.to_string()).await.is_ok()
        {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Runs one seed and returns the report of its checks.
pub async fn run(plan: Plan, dir: &path::Path) -> std::io::Result<Report> {
    let testbed = Arc::new(Testbed::start(plan, dir).await?);
    testbed
        .gateways
        .lock()
        .await
        .wait_ready(SETTLE_TIME * 5)
        .await?;
    let stop = tokio::sync::watch::Sender::new(false);
    let mut callers = Vec::new();
    let count = match plan.connections {
        true => KEPT_CALLERS,
        false => CALLERS,
    };
    for number in 0..count {
        callers.push(match plan.connections {
            true => {
                let caller = connections::Caller::new(testbed.clone(), number);
                tokio::spawn(caller.send_until(stop.subscribe()))
            }
            false => {
                let caller = callers::Caller::new(testbed.clone(), number);
                tokio::spawn(caller.send_until(stop.subscribe()))
            }
        });
    }
    let mut rng = rand::rngs::StdRng::seed_from_u64(plan.seed);
    let evacuations = async {
        if plan.evacuations {
            evacuations::inject(&testbed).await;
        }
    };
    let signals = async {
        if plan.target_signals {
            target_signals::inject(&testbed).await;
        }
    };
    let outages = async {
        if plan.service_outages {
            outages::inject(&testbed).await;
        }
    };
    let stops = async {
        if plan.stops {
            stops::inject(&testbed).await;
        }
    };
    let poison = async {
        if plan.poison {
            poison::inject(&testbed).await;
        }
    };
    let faults = async {
        match plan.connections {
            true => connections::inject(&testbed).await,
            false => faults::inject(&testbed, &mut rng).await,
        }
    };
    tokio::join!(faults, evacuations, signals, outages, stops, poison);
    faults::heal(&testbed).await;
    testbed
        .gateways
        .lock()
        .await
        .wait_ready(SETTLE_TIME * 5)
        .await?;
    tokio::time::sleep(SETTLE_TIME).await;
    testbed.history.end_faults();
    tokio::time::sleep(SETTLE_TIME).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    // Requests that callers have cancelled may still reach a target.
    tokio::time::sleep(SETTLE_TIME / 2).await;
    if plan.connections {
        connections::check_logs(&testbed).await;
    }
    Ok(check::report(&testbed.history, &plan))
}
