//! Bundles that come into force in separate processes, with racing operators and an outage.

use std::thread;

use serde_json::{
    Value,
    json, //
};

use laburnumcart_system::{
    fleet,
    sample,
    wait, //
};

/// Returns the generation in force in each process that responds.
fn generations(fleet: &fleet::Fleet) -> Vec<u64> {
    let (code, text) = fleet.run_ctl(&["status", "--json"]);
    let status: Value = serde_json::from_str(&text).expect("JSON");
    let processes = status["processes"].as_array().expect("processes");
    let is_silent = |process: &Value| process["state"]["Err"].is_string();
    let expected = if processes.iter().any(is_silent) {
        4
    } else {
        0
    };
    assert_eq!(code, expected, "{text}");
    let states = processes.iter().map(|process| &process["state"]["Ok"]);
    let generation = |state: &Value| {
        let entry = state["generation"].as_u64();
        entry.or(state["facts"]["generation"].as_u64())
    };
    states.filter_map(generation).collect()
}

/// Waits until a generation is in force in all processes, and checks that none is ahead of it.
async fn wait_in_force(fleet: &fleet::Fleet, generation: u64) {
    let count = fleet.peer_addrs().len();
    let what = format!("generation {generation} in force everywhere");
    wait::until(&what, || async {
        let found = generations(fleet);
        assert!(found.iter().all(|found| *found <= generation), "{found:?}");
        (found == vec![generation; count]).then_some(())
    })
    .await;
}

// A restarted entry that cannot reach the object service must get the bundle from its peer.
#[tokio::test]
async fn an_accepted_bundle_outlives_the_object_service() {
    let services = sample::services(1);
    let mut fleet = fleet::Fleet::start(fleet::Plan::new(services, sample::bundle())).await;
    wait_in_force(&fleet, 1).await;

    let mut bundle = sample::bundle();
    bundle["title"] = json!("second");
    fleet.accept_bundle(&bundle);
    wait_in_force(&fleet, 2).await;

    let accept = || fleet.run_ctl(&["accept", "bundle.signed", "--on", "2"]);
    let mut codes = thread::scope(|scope| {
        let operators = [scope.spawn(accept), scope.spawn(accept)];
        operators.map(|operator| operator.join().expect("no panic").0)
    });
    codes.sort_unstable();
    assert_eq!(codes, [0, 3]);
    wait_in_force(&fleet, 3).await;

    fleet.store.kill();
    fleet.entries[1].process.kill();
    fleet.entries[1].process = fleet.restart_daemon("entry-1", "laburnum-entry");
    wait_in_force(&fleet, 3).await;
}
