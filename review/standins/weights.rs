//! A change of the configuration that adds a route whose requests are split by fractions.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, plain, store, system};

const WATCHED: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(100);
const SERVICES: [&str; 3] = ["desk-a", "desk-b", "desk-c"];

fn config(version: u64, weights: Option<[&str; 3]>) -> String {
    let open = ",\"anonymous\":true";
    let mut routes = vec![plain::route("r-first", "/first/", "idempotent", "desk-a", 3000, open)];
    if let Some(weights) = weights {
        let part = |(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}");
        let parts: Vec<_> = SERVICES.into_iter().zip(weights).map(part).collect();
        routes.push(format!(
            "{{\"name\":\"r-split\",\"host\":\"desk.example\",\"path_prefix\":\"/split/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":1,\
             \"traffic_split\":[{}],\"max_attempts\":2,\"anonymous\":true}}",
            parts.join(",")
        ));
    }
    system::config(version, &routes, &SERVICES.map(|s| system::service(s, 100)), "")
}

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    for service in SERVICES {
        let place = (service, "z-1");
        let name = format!("i-{service}");
        plain::start_engine(&store, &name, place, Duration::ZERO, &runs, &run.record);
    }
    store.put("config", "main", &config(1, None));
    let Some(gateways) = system::start_gateways(run, &store, 2, system::BOUNDS) else {
        return 2;
    };
    let sender = plain::Sender {
        addr: gateways[0].callers,
        host: "desk.example",
        deadline: Duration::from_millis(3000),
        sent: Arc::new(Mutex::new(Vec::new())),
        record: run.record.clone(),
    };
    let mut client = http::Client::new(sender.addr);
    let weights = match run.has_trouble {
        true => ["0.4", "0.3", "0.3"],
        false => ["40", "30", "30"],
    };
    store.put("config", "main", &config(4, Some(weights)));
    let confirmed = run.record.now();
    run.record.line(format!("version 4 is confirmed: route /split/ with the weights {weights:?}"));
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        sender.send(&mut client, "/first/a", "", b"{}");
        sender.send(&mut client, "/split/a", "", b"{}");
        thread::sleep(PAUSE);
    }
    judge(run, &sender.sent.lock().unwrap(), &runs, confirmed)
}

/// CONFIG: machines in touch get 20 or more requests on a route that was added later, and serve them
/// less than a quarter as often as those on the first routes.
fn judge(run: &Run, sent: &[plain::Sent], runs: &plain::Runs, confirmed: f64) -> i32 {
    let on = |path: &'static str| {
        let late = sent.iter().filter(move |s| s.path == path && s.at > confirmed + 2.0);
        let (all, served) = late.fold((0, 0), |(all, served), s| {
            (all + 1, served + u32::from(s.ended.status() == 200))
        });
        (all, f64::from(served) / f64::from(all.max(1)))
    };
    let ((first, first_share), (split, split_share)) = (on("/first/a"), on("/split/a"));
    let runs = runs.lock().unwrap();
    for service in SERVICES {
        let ran = sent.iter().filter(|s| s.path == "/split/a").filter_map(|s| runs.get(&s.id));
        let ran = ran.flatten().filter(|ran| ran.service == service).count();
        run.record.line(format!("/split/: {ran} requests were run by {service}"));
    }
    run.record.line(format!(
        "later than 2 s after the confirmation: /first/ {first} requests, share served \
         {first_share:.3}; /split/ {split} requests, share served {split_share:.3}"
    ));
    if first_share == 0.0 {
        return 2;
    }
    i32::from(split >= 20 && split_share < first_share / 4.0)
}
