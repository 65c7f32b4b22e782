//! Randomized soak of real gateways under faults from outside.
//!
//! Gateways run as separate processes. The store, the targets and the callers are tasks of the
//! soak, behind relays that can fall silent. What callers and targets see is checked against the
//! promises. One seed decides all faults; the interleaving is the machine's.

mod callers;
mod check;
mod evacuations;
mod faults;
mod gateways;
mod ledger;
mod needs;
mod repeats;
mod services;
mod targets;

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

/// Time for gateways to learn the configuration, and for the end of the last faults.
const SETTLE: time::Duration = time::Duration::from_secs(3);

/// Number of callers that ask at once.
const CALLERS: usize = 12;

/// What one run does.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Decides the faults.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Time under faults.
    pub length: time::Duration,
    /// Whether data centres are evacuated meanwhile.
    pub evacuations: bool,
    /// Whether targets name limits meanwhile, start cold, ask for pauses, and say that they leave.
    pub needs: bool,
    /// Whether all targets of a service fail at once meanwhile.
    pub services: bool,
}

impl Plan {
    /// Reports whether only planned work happens, in which nothing may be cut off.
    pub fn is_planned(&self) -> bool {
        self.seed.is_multiple_of(4) && !self.services
    }
}

/// Configuration of the soak; keys come and go.
fn config(version: u64, keys: &[String]) -> Value {
    let route = |name: &str, kind: &str, service: &str, sends: u32| {
        json!({
            "name": name, "host": "soak.example", "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 800, "priority": 1, "service": service,
            "max_attempts": sends, "anonymous": name != "keyed"
        })
    };
    let mut tale = route("tale", "streaming", "tale", 3);
    tale["resumable"] = json!(true);
    tale["gap_target_ms"] = json!(100);
    tale["stages"] = json!([{ "service": "encode", "after": [], "byte_count": 1000 }]);
    let plain = |name: &str| {
        json!({ "name": name, "health_path": "/h", "max_connections": 200,
            "cold_per_s": needs::COLD_PER_S })
    };
    let mut encode = plain("encode");
    encode["segments"] = json!({ "slots": 1, "queue": 2, "batch": 6, "call_ms": 10.0,
        "item_ms": 1.0, "headroom_mb": 1.0, "handle_ttl_s": 4.0, "link_mbps": 1000 });
    json!({
        "version": version,
        "routes": [
            route("safe", "idempotent", "desk", 2), route("once", "non_idempotent", "desk", 2),
            route("keyed", "idempotent", "desk", 2), tale
        ],
        "services": [plain("desk"), plain("tale"), encode],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        "tenants": [{ "name": "clinic", "api_keys": keys }]
    })
}

/// What the parts of a run share.
struct Site {
    plan: Plan,
    store: memory::Memory,
    ledger: Arc<ledger::Ledger>,
    targets: tokio::sync::Mutex<targets::Targets>,
    gateways: tokio::sync::Mutex<gateways::Gateways>,
    store_relay: relay::Relay,
}

impl Site {
    async fn start(plan: Plan, dir: &path::Path) -> std::io::Result<Self> {
        let store = memory::Memory::new();
        let behind = port::reserve_addr();
        // The task ends with the runtime.
        objects::serve(behind, store.clone()).await?;
        let store_relay = relay::Relay::start(port::reserve_addr(), behind).await?;
        let ledger = Arc::new(ledger::Ledger::default());
        ledger.lock().gateways = plan.gateways;
        let cold = plan.needs.then_some(needs::COLD);
        let targets = targets::Targets::start(store.clone(), ledger.clone(), cold).await?;
        let gateways = gateways::Gateways::start(dir, plan.gateways, store_relay.addr())?;
        let site = Self {
            plan,
            store,
            ledger,
            targets: tokio::sync::Mutex::new(targets),
            gateways: tokio::sync::Mutex::new(gateways),
            store_relay,
        };
        site.write("config/main", &config(1, &[String::from("key-1")]))
            .await;
        Ok(site)
    }

    /// Writes an object whatever was there; faults of the store are tried through.
    async fn write(&self, key: &str, value: &Value) {
        put(&self.store, key, value).await;
    }
}

/// Writes an object whatever was there; faults of the store are tried through.
async fn put(store: &memory::Memory, key: &str, value: &Value) {
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

/// Runs one seed and returns what was seen.
pub async fn run(plan: Plan, dir: &path::Path) -> std::io::Result<Report> {
    let site = Arc::new(Site::start(plan, dir).await?);
    site.gateways.lock().await.ready(SETTLE * 5).await?;
    let stop = tokio::sync::watch::Sender::new(false);
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let caller = callers::Caller::new(site.clone(), number);
        callers.push(tokio::spawn(caller.run(stop.subscribe())));
    }
    let mut rng = rand::rngs::StdRng::seed_from_u64(plan.seed);
    let evacuations = async {
        if plan.evacuations {
            evacuations::play(&site).await;
        }
    };
    let needs = async {
        if plan.needs {
            needs::play(&site).await;
        }
    };
    let services = async {
        if plan.services {
            services::play(&site).await;
        }
    };
    tokio::join!(faults::play(&site, &mut rng), evacuations, needs, services);
    faults::heal(&site).await;
    site.gateways.lock().await.ready(SETTLE * 5).await?;
    tokio::time::sleep(SETTLE).await;
    site.ledger.calm();
    tokio::time::sleep(SETTLE).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    // Requests that were given up may still begin at a target.
    tokio::time::sleep(SETTLE / 2).await;
    Ok(check::report(&site.ledger, &plan))
}
