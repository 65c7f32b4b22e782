//! Rollout of bundles by racing operators, during outages and with stale reads.

use std::{
    thread,
    time, //
};

use laburnumcart_system::{
    fleet,
    rollout,
    sample,
    wait, //
};
use serde_json::{
    Value,
    json, //
};

/// Exit code of `laburnumctl` when another operator changed the head first.
const EXIT_LOST: i32 = 3;

/// Number of polls in which no process may report an older generation.
const POLLS: usize = 25;

async fn start_fleet(entries: usize) -> fleet::Fleet {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(entries);
    let fleet = fleet::Fleet::start(plan).await;
    rollout::wait_in_force(&fleet, 1).await;
    fleet
}

fn bundle_with_title(title: &str) -> Value {
    let mut bundle = sample::bundle();
    bundle["title"] = json!(title);
    bundle
}

/// Signs a bundle into a file of the fleet's folder.
fn sign_bundle(fleet: &fleet::Fleet, bundle: &Value, out: &str) {
    let file = format!("{out}.json");
    fleet.write_file(&file, &bundle.to_string());
    let (code, text) = fleet.run_ctl(&["sign", &file, "--key", "key.json", "--out", out]);
    assert_eq!(code, 0, "{text}");
}

/// Returns what `laburnumctl status` shows of the accepted head.
fn accepted_head(fleet: &fleet::Fleet) -> Value {
    let (code, text) = fleet.run_ctl(&["status", "--json"]);
    assert_eq!(code, 0, "{text}");
    let status: Value = serde_json::from_str(&text).expect("JSON");
    status["head"]["Ok"].clone()
}

/// Polls every process and checks that none reports a generation below `least`.
async fn check_never_below(fleet: &fleet::Fleet, least: u64) {
    for _ in 0..POLLS {
        let found = rollout::generations(fleet).await;
        let below = |found: &Option<u64>| found.is_some_and(|found| found < least);
        assert!(!found.iter().any(below), "{found:?}, was at {least}");
        assert!(found.iter().all(Option::is_some), "{found:?}");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

// Of concurrent accepts one may win; a rollback must not lower the generation anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() {
    let fleet = start_fleet(2).await;
    let files: Vec<_> = (0..6).map(|n| format!("race-{n}.signed")).collect();
    for file in &files {
        sign_bundle(&fleet, &bundle_with_title(file), file);
    }
    let accept = |file: &str| fleet.run_ctl(&["accept", file, "--on", "1"]);
    let results: Vec<_> = thread::scope(|scope| {
        let operators = files.iter().map(|file| scope.spawn(move || accept(file)));
        let operators: Vec<_> = operators.collect();
        operators
            .into_iter()
            .map(|o| o.join().expect("no panic"))
            .collect()
    });
    let won: Vec<_> = (0..6).filter(|n| results[*n].0 == 0).collect();
    let lost = results
        .iter()
        .filter(|(code, _)| *code == EXIT_LOST)
        .count();
    assert_eq!((won.len(), lost), (1, 5), "{results:?}");
    rollout::wait_in_force(&fleet, 2).await;
    let digest = accepted_head(&fleet)["digest"]
        .as_str()
        .expect("a digest")
        .to_owned();
    assert!(
        results[won[0]].1.contains(&digest),
        "{results:?}, head {digest}"
    );

    let (code, text) = fleet.run_ctl(&["rollback", "1", "--on", "2"]);
    assert_eq!(code, 0, "{text}");
    rollout::wait_in_force(&fleet, 3).await;
    let restored = accepted_head(&fleet);
    let first = restored["earlier"]
        .as_array()
        .expect("a history")
        .last()
        .cloned();
    assert_eq!(first.expect("the first")["digest"], restored["digest"]);
}

// A bundle that was altered, signed by an untrusted key or not signed must not be accepted.
#[tokio::test(flavor = "multi_thread")]
async fn bad_bundles_change_nothing() {
    let fleet = start_fleet(1).await;
    let before = accepted_head(&fleet);
    sign_bundle(&fleet, &bundle_with_title("honest"), "good.signed");
    let good = fleet.read_file("good.signed");
    let tampered = good.replace("honest", "forged");
    assert_ne!(good, tampered);
    fleet.write_file("tampered.signed", &tampered);
    let (code, text) = fleet.run_ctl(&["keygen", "--name", "stranger", "--out", "stranger.json"]);
    assert_eq!(code, 0, "{text}");
    fleet.write_file("plain.json", &bundle_with_title("stranger").to_string());
    let stranger = [
        "sign",
        "plain.json",
        "--key",
        "stranger.json",
        "--out",
        "stranger.signed",
    ];
    let (code, text) = fleet.run_ctl(&stranger);
    assert_eq!(code, 0, "{text}");
    for (file, expected) in [
        ("tampered.signed", 5),
        ("stranger.signed", 5),
        ("plain.json", 5),
    ] {
        let (code, text) = fleet.run_ctl(&["accept", file]);
        assert_eq!(code, expected, "{file}: {text}");
        assert_eq!(accepted_head(&fleet), before, "{file}");
    }
    check_never_below(&fleet, 1).await;
    rollout::wait_in_force(&fleet, 1).await;
    let (code, text) = fleet.run_ctl(&["accept", "good.signed", "--on", "1"]);
    assert_eq!(code, 0, "{text}");
    rollout::wait_in_force(&fleet, 2).await;
}

// Whoever can write to the object service must not put a bundle in force without a signature.
#[tokio::test(flavor = "multi_thread")]
async fn processes_refuse_what_is_written_past_the_operators() {
    let fleet = start_fleet(2).await;
    let (_, text) = fleet.get_object("bundle/head").await.expect("the head");
    let mut forged: Value = serde_json::from_str(&text).expect("JSON");
    let digest = forged["digest"].as_str().expect("a digest").to_owned();
    let (_, envelope) = fleet
        .get_object(&format!("bundle/objects/{digest}"))
        .await
        .expect("a bundle");
    let altered = envelope.replace("sample", "forged");
    assert_ne!(envelope, altered);
    let digit = if digest.starts_with('0') { '1' } else { '0' };
    let names = [
        digest.chars().rev().collect(),
        format!("{digit}{}", &digest[1..]),
    ];
    for (generation, (name, text)) in (9..).zip(names.iter().zip([&altered, &envelope])) {
        assert_ne!(*name, digest);
        let before = refusals(&fleet).await;
        fleet
            .put_object(&format!("bundle/objects/{name}"), None, text)
            .await;
        forged["generation"] = json!(generation);
        forged["digest"] = json!(name);
        let (version, _) = fleet.get_object("bundle/head").await.expect("the head");
        fleet
            .put_object("bundle/head", Some(&version), &forged.to_string())
            .await;
        wait_refused_everywhere(&fleet, &before).await;
        check_never_below(&fleet, 1).await;
        rollout::wait_in_force(&fleet, 1).await;
    }
    fleet.accept_bundle(&bundle_with_title("after the forged head"));
    rollout::wait_in_force(&fleet, 11).await;

    let (version, text) = fleet.get_object("bundle/head").await.expect("the head");
    let version = fleet
        .put_object("bundle/head", Some(&version), "{\"generation\":13}")
        .await;
    check_never_below(&fleet, 11).await;
    rollout::wait_in_force(&fleet, 11).await;
    // Operators cannot replace an invalid head; they restore it, as `laburnumctl` advises.
    fleet.put_object("bundle/head", Some(&version), &text).await;
    fleet.accept_bundle(&bundle_with_title("after the broken head"));
    rollout::wait_in_force(&fleet, 12).await;
}

/// Returns the number of bundles that each process has refused for their signature or digest.
async fn refusals(fleet: &fleet::Fleet) -> Vec<u64> {
    let mut counts = Vec::new();
    for page in rollout::metrics_addrs(fleet) {
        let page = fleet.http.get(page, "/metrics").await;
        let body = page.expect("metrics").body;
        let mut lines = body.lines();
        let count = lines.find_map(|line| {
            let (labels, count) = line.split_once(' ')?;
            let failure = labels.starts_with("laburnum_bundle_failures_total");
            (failure && labels.contains("signature")).then(|| count.parse().expect("a count"))
        });
        counts.push(count.unwrap_or(0));
    }
    counts
}

/// Waits until every process has refused one more bundle than before.
async fn wait_refused_everywhere(fleet: &fleet::Fleet, before: &[u64]) {
    wait::until("refusals counted everywhere", || async {
        let now = refusals(fleet).await;
        let more = now.iter().zip(before).all(|(now, before)| now > before);
        more.then_some(())
    })
    .await;
}

// Processes that cannot reach the object service must get the bundle by heartbeats or from peers.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_bundle_spreads_during_an_outage() {
    let mut fleet = start_fleet(2).await;
    let accepted = tokio::time::Instant::now();
    fleet.accept_bundle(&bundle_with_title("with the service up"));
    let called = accepted.elapsed();
    let waited = rollout::wait_in_force(&fleet, 2).await;
    println!("service up: {waited:?} after laburnumctl, which took {called:?}");

    // The paused processes lose the object service before they can read the new head.
    let stopped: Vec<_> = fleet.daemons().skip(1).collect();
    for process in &stopped {
        process.pause().await;
    }
    let first = &fleet.nodes[0];
    fleet.accept_bundle(&bundle_with_title("with the service down"));
    wait::until("the first process has it", || async {
        let found = rollout::generation(&fleet, first.admin_addr).await;
        (found == Some(3)).then_some(())
    })
    .await;
    fleet.set_store_faults(&json!({"down": true})).await;
    for process in &stopped {
        process.resume();
    }
    let waited = rollout::wait_in_force(&fleet, 3).await;
    println!("service down, one process had it: {waited:?}");

    fleet.entries[1].process.kill();
    let restarted = tokio::time::Instant::now();
    fleet.entries[1].process = fleet.restart_daemon("entry-1", "laburnum-entry");
    rollout::wait_in_force(&fleet, 3).await;
    println!("started during the outage: {:?}", restarted.elapsed());
}

// Stale reads, an empty object service or an old head must not bring an older bundle into force.
#[tokio::test(flavor = "multi_thread")]
async fn no_process_reverts_with_the_object_service() {
    let mut fleet = start_fleet(2).await;
    let (_, old) = fleet.get_object("bundle/head").await.expect("the head");
    let mut objects = fleet.list_objects("bundle/objects/").await;
    objects.extend(fleet.list_objects("platform/instances/").await);
    for (generation, title) in [(2, "second"), (3, "third")] {
        fleet.accept_bundle(&bundle_with_title(title));
        rollout::wait_in_force(&fleet, generation).await;
    }
    fleet.set_store_faults(&json!({"stale": "10m"})).await;
    check_never_below(&fleet, 3).await;

    fleet.store.kill();
    fleet.restart_store_empty().await;
    check_never_below(&fleet, 3).await;

    for (key, value) in objects {
        fleet.put_object(&key, None, &value).await;
    }
    fleet.put_object("bundle/head", None, &old).await;
    check_never_below(&fleet, 3).await;
    fleet.entries[1].process.kill();
    fleet.entries[1].process = fleet.restart_daemon("entry-1", "laburnum-entry");
    rollout::wait_in_force(&fleet, 3).await;
    check_never_below(&fleet, 3).await;
}
