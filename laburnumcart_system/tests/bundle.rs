//! Bundles that come into force in separate processes, with races and an outage.

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

/// Returns the generation in force in each process that answers.
fn generations(fleet: &fleet::Fleet) -> Vec<u64> {
    let (code, text) = fleet.run_ctl(&["status", "--json"]);
    let status: Value = serde_json::from_str(&text).expect("JSON");
    let processes = status["processes"].as_array().expect("processes");
    let silent = |process: &Value| process["state"]["Err"].is_string();
    let expected = if processes.iter().any(silent) { 4 } else { 0 };
    assert_eq!(code, expected, "{text}");
    let states = processes.iter().map(|process| &process["state"]["Ok"]);
    let generation = |state: &Value| {
        let entry = state["generation"].as_u64();
        entry.or(state["facts"]["generation"].as_u64())
    };
    states.filter_map(generation).collect()
}

async fn in_force_everywhere(fleet: &fleet::Fleet, generation: u64) {
    let count = fleet.peer_addrs().len();
    let what = format!("generation {generation} in force everywhere");
    wait::until(&what, || async {
        let found = generations(fleet);
        assert!(found.iter().all(|found| *found <= generation), "{found:?}");
        (found == vec![generation; count]).then_some(())
    })
    .await;
}

/// Two operators accept at the same moment on top of the same generation: one is told that it has won,
/// the other that it has lost, and every process comes under the winner's generation. Then the object
/// service dies, and an entry dies too. Its successor has never reached the service; it asks the other
/// entry and serves under the same generation.
#[tokio::test]
async fn an_accepted_bundle_outlives_the_object_service() {
    let services = sample::services(1);
    let mut fleet = fleet::Fleet::start(fleet::Plan::new(services, sample::bundle())).await;
    in_force_everywhere(&fleet, 1).await;

    let mut bundle = sample::bundle();
    bundle["title"] = json!("second");
    fleet.accept_bundle(&bundle);
    in_force_everywhere(&fleet, 2).await;

    let accept = || fleet.run_ctl(&["accept", "bundle.signed", "--on", "2"]);
    let mut codes = thread::scope(|scope| {
        let operators = [scope.spawn(accept), scope.spawn(accept)];
        operators.map(|operator| operator.join().expect("no panic").0)
    });
    codes.sort_unstable();
    assert_eq!(codes, [0, 3]);
    in_force_everywhere(&fleet, 3).await;

    fleet.store.kill();
    fleet.entries[1].process.kill();
    fleet.entries[1].process = fleet.restart_daemon("entry-1", "laburnum-entry");
    in_force_everywhere(&fleet, 3).await;
}
