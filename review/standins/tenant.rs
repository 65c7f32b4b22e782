//! A change of the configuration that adds a tenant and moves a route.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, plain, store, system};

/// Bound of the pages from the confirmation of a version, with a margin for the sending.
const CONFIG_DEADLINE: f64 = 2.0;
const WATCHED: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(100);

fn config(version: u64, service: &str, tenants: &[(&str, &str)]) -> String {
    let routes = [
        plain::route("r-open", "/open/", "idempotent", service, 3000, ",\"anonymous\":true"),
        plain::route("r-keyed", "/keyed/", "idempotent", "desk-a", 3000, ",\"anonymous\":false"),
    ];
    let tenant = |(name, key): &(&str, &str)| {
        format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1}}")
    };
    let tenants: Vec<_> = tenants.iter().map(tenant).collect();
    let tenants = format!(",\"tenants\":[{}]", tenants.join(","));
    let services = [system::service("desk-a", 100), system::service("desk-b", 100)];
    system::config(version, &routes, &services, &tenants)
}

pub fn run(run: &Run) -> i32 {
    let store = store::Store::start("127.0.0.1");
    let runs = plain::Runs::default();
    for i in 0..4 {
        let service = if i % 2 == 0 { "desk-a" } else { "desk-b" };
        let place = (service, "z-1");
        let name = format!("i-engine{i}");
        plain::start_engine(&store, &name, place, Duration::ZERO, &runs, &run.record);
    }
    store.put("config", "main", &config(1, "desk-a", &[("bozi300", "key-of-bozi")]));
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
    for path in ["/open/a", "/keyed/a"] {
        if sender.send(&mut client, path, "key-of-bozi", b"{}") != 200 {
            run.record.line("the first requests were not served");
            return 2;
        }
    }
    let name = match run.has_trouble {
        true => "Araya-Hermanos",
        false => "araya-hermanos",
    };
    let tenants = [("bozi300", "key-of-bozi"), (name, "key-of-araya")];
    store.put("config", "main", &config(4, "desk-b", &tenants));
    let confirmed = run.record.now();
    run.record.line(format!("version 4 is confirmed: tenant {name}, route /open/ to desk-b"));
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        sender.send(&mut client, "/open/a", "", b"{}");
        sender.send(&mut client, "/keyed/a", "key-of-bozi", b"{}");
        sender.send(&mut client, "/keyed/a", "key-of-araya", b"{}");
        thread::sleep(PAUSE);
    }
    judge(run, &sender.sent.lock().unwrap(), &runs, confirmed)
}

/// CONFIG: a request sent later than the bound after the confirmation is run by the old service.
fn judge(run: &Run, sent: &[plain::Sent], runs: &plain::Runs, confirmed: f64) -> i32 {
    let runs = runs.lock().unwrap();
    let late: Vec<_> = sent.iter().filter(|s| s.at > confirmed + CONFIG_DEADLINE).collect();
    let is_old = |s: &&&plain::Sent| {
        let mut ran = runs.get(&s.id).into_iter().flatten();
        s.path == "/open/a" && ran.any(|ran| ran.service == "desk-a")
    };
    let old = late.iter().filter(is_old).count();
    let of = |path: &str, status| {
        let found = late.iter().filter(|s| s.path == path && s.ended.status() == status);
        found.count()
    };
    run.record.line(format!(
        "sent later than {CONFIG_DEADLINE} s after the confirmation: {} requests; /open/: {} served, \
         {old} of them by the old service; /keyed/: {} served, {} refused with 401, {} with 503",
        late.len(),
        of("/open/a", 200),
        of("/keyed/a", 200),
        of("/keyed/a", 401),
        of("/keyed/a", 503)
    ));
    i32::from(old > 0)
}
