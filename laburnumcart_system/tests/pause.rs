//! Processes that tests pause.

use serde_json::Value;

use laburnumcart_system::fleet;

/// Number of times that the process is paused.
const ROUNDS: usize = 50;

// On a busy host a thread may still read requests until it receives the stop of the process.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_stands_still() {
    let plan = fleet::Plan::new(Vec::new(), Value::Null).entries(1);
    let fleet = fleet::Fleet::start_without_bundle(plan).await;
    let process = &fleet.entries[0].process;
    for _ in 0..ROUNDS {
        process.pause().await;
        assert!(process.is_paused());
        process.resume();
    }
}
