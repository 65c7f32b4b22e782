//! Processes that tests stop where they are.

use serde_json::Value;

use laburnumcart_system::fleet;

/// Times that the process is stopped.
const ROUNDS: usize = 50;

/// A test stops an entry and sends it a request that it must not read before it goes on. On a busy host
/// a thread of the entry that has the processor would read it all the same, for the moment until the
/// thread that took the signal gets a processor too. After the pause none of them runs.
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
