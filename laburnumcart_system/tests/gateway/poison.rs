//! Requests that crash each target that runs them.

mod harmless;
mod in_time;
mod parts;
mod trial;

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use http::StatusCode;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_platform::store::Store;
use tokio::time::Instant;

use crate::support::{
    System,
    config,
    success,
    target_entry,
    wait_for, //
};

/// Time after the third crash within which all gateways learn of it.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(3);

/// Times at which the request reached targets.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a target that resets the connection of a request with `poison` in its path.
async fn crashing_target(arrivals: &Arrivals) -> Target {
    let arrivals = arrivals.clone();
    let script = move |seen: &ReceivedRequest, _: usize| match seen.path().contains("poison") {
        true => {
            arrivals.lock().unwrap().push(Instant::now());
            vec![Step::Reset]
        }
        false => vec![success(seen, "done")],
    };
    Target::start(script).await.unwrap()
}

// The caller resends to any gateway, and each crashed target is replaced by a new one.
#[tokio::test]
async fn a_request_that_crashes_its_targets_is_refused_by_all_gateways() {
    let arrivals = Arrivals::default();
    let first = crashing_target(&arrivals).await;
    let system = System::start(config(|_| ()), &[("i-0", "desk", &first)]).await;
    let mut gateways = system.start_peers(2..=4).await;
    gateways.push(system);
    let store = &gateways[0].store;
    let mut third = None;
    for n in 1..=24 {
        let crashed = arrivals.lock().unwrap().len();
        gateways[n % 4].call("/safe/poison", |_| ()).await;
        let reached = arrivals.lock().unwrap().len();
        if reached > crashed {
            let old = format!("servers/i-{}", n - 1);
            if let Some(object) = store.get(&old).await.unwrap() {
                store.delete(&old, object.version).await.unwrap();
            }
        }
        let next = crashing_target(&arrivals).await;
        gateways[0]
            .put(
                &format!("servers/i-{n}"),
                &target_entry("desk", &next, "ready"),
            )
            .await;
        wait_for(|| {
            let knows = |g: &System| {
                let targets = g.gateway.view.targets.load();
                targets
                    .service(&"desk".parse().unwrap())
                    .iter()
                    .any(|t| t.addr == next.addr())
            };
            gateways.iter().all(knows)
        })
        .await;
        third = third.or_else(|| arrivals.lock().unwrap().get(2).copied());
    }
    let third = third.expect("three targets crashed");
    let late = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at > third + SPREAD_TIME)
        .count();
    assert!(late <= 3, "{late} attempts after the third crash was known");
    let total = arrivals.lock().unwrap().len();
    assert!(total < 12, "{total} arrivals");
    for gateway in &gateways {
        let refused = gateway.call("/safe/poison", |_| ()).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers.contains_key("retry-after"));
        let other = gateway.call("/safe/other", |_| ()).await;
        assert_eq!(other.status, StatusCode::OK);
    }
}
