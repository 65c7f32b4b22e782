//! Combined failures while requests of both pipelines are in flight.

use std::collections;

use laburnumcart_system::{
    fleet,
    process,
    relay,
    reply,
    text_requests,
    wait, //
};
use nix::sys::signal;
use serde_json::{
    Value,
    json, //
};

/// Requests of each pipeline in one round.
const COUNT: usize = 6;

/// Pieces of text of one answer.
const TOKENS: u32 = 40;

async fn start_fleet(targets: usize, relays: bool) -> fleet::Fleet {
    let plan = fleet::Plan::new(
        vec![text_requests::service(targets, "300ms")],
        text_requests::bundle("20s"),
    );
    let plan = if relays { plan.with_relays() } else { plan };
    let fleet = fleet::Fleet::start(plan).await;
    text_requests::wait_all_targets_used(&fleet).await;
    fleet
}

/// Returns the non-idempotent ones of mixed requests.
fn non_idempotent(requests: &[text_requests::TextRequest]) -> Vec<text_requests::TextRequest> {
    requests.iter().skip(1).step_by(2).cloned().collect()
}

/// Restarts a killed agent once its address is free.
async fn restart_agent_process(fleet: &fleet::Fleet, node: usize) -> process::Process {
    let node = &fleet.nodes[node];
    wait::until("the agent's address to be free", || async {
        let answer = fleet.http.get(node.admin_addr, "/healthz").await;
        answer.is_err().then_some(())
    })
    .await;
    let process = fleet.restart_daemon(&format!("agent-{}", node.name), "laburnum-agent");
    fleet.wait_ready().await;
    process
}

// Without durable claims requests must be refused while an agent is dead and another is stalled.
#[tokio::test(flavor = "multi_thread")]
async fn object_service_down_agent_killed_connections_silent() {
    let mut fleet = start_fleet(3, true).await;
    text_requests::slow_targets(&fleet, 10.0).await;
    let first = text_requests::mixed_requests("first", COUNT, TOKENS, 2);
    let second = text_requests::mixed_requests("second", COUNT, TOKENS, 2);
    let faults = async {
        let killed = text_requests::wait_claimed_execution(&fleet).await;
        text_requests::wait_executing(&fleet, &[0, 1, 2]).await;
        fleet.set_store_faults(&json!({"down": true})).await;
        fleet.nodes[killed].agent.signal(signal::Signal::SIGKILL);
        fleet.nodes[(killed + 1) % 3].relay().stall(relay::Stall {
            to_server: true,
            to_client: true,
        });
        text_requests::slow_targets(&fleet, 1.0).await;
        let replies = text_requests::send_all(&fleet, &second).await;
        (replies, killed, restart_agent_process(&fleet, killed).await)
    };
    let (in_flight, (during, killed, agent)) =
        tokio::join!(text_requests::send_all(&fleet, &first), faults);
    fleet.nodes[killed].agent = agent;
    println!("in flight: {}", reply::summarize(&in_flight));
    println!("during the faults: {}", reply::summarize(&during));
    let before = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&first, &in_flight, &before);
    text_requests::check_replies(&second, &during, &before);
    for reply in during.iter().skip(1).step_by(2) {
        let reply::Reply::Refused { retry_after, .. } = reply else {
            panic!("executed without a claim: {reply:?}");
        };
        assert!(reply.is_not_run() && retry_after.is_some(), "{reply:?}");
    }
    fleet.set_store_faults(&json!({})).await;
    fleet.nodes.iter().for_each(|node| node.relay().resume());
    text_requests::wait_serving(&fleet, "healed", 2).await;
    let after = fleet.service_executions(text_requests::SERVICE).await;
    reply::check_no_new_executions(in_flight.iter().chain(&during), &before, &after);
}

/// Returns the ids of the non-idempotent requests among executions.
fn non_idempotent_ids(rows: &[Value]) -> collections::HashSet<String> {
    let rows = rows.iter().filter(|row| row["idempotent"] == false);
    rows.map(|row| row["request"].to_string()).collect()
}

// A resend through the other entry must not execute a key that the dead entry has executed.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_target_crashed() {
    let mut fleet = start_fleet(2, false).await;
    text_requests::slow_targets(&fleet, 5.0).await;
    let sent = text_requests::mixed_requests("first", COUNT, TOKENS, 2);
    let faults = async {
        let crashed = text_requests::wait_claimed_execution(&fleet).await;
        let record = fleet.target_executions(crashed).await;
        fleet.nodes[crashed].target.signal(signal::Signal::SIGKILL);
        fleet.entries[0].process.signal(signal::Signal::SIGKILL);
        fleet
            .set_target_behaviour(1 - crashed, &json!({"slow": 1.0}))
            .await;
        (crashed, record)
    };
    let (replies, (crashed, lost)) = tokio::join!(text_requests::send_all(&fleet, &sent), faults);
    println!("first: {}", reply::summarize(&replies));
    // The crashed target has lost its record, so the copy read before the crash is added.
    let rows = [fleet.target_executions(1 - crashed).await, lost.clone()].concat();
    text_requests::check_replies(&sent, &replies, &rows);
    let resent: Vec<_> = non_idempotent(&sent)
        .into_iter()
        .map(|l| l.entry(1))
        .collect();
    let again = text_requests::send_all(&fleet, &resent).await;
    println!("resent: {}", reply::summarize(&again));
    fleet.nodes[crashed].target.kill();
    fleet.entries[0].process.kill();
    fleet.restart_target(crashed);
    fleet.restart_entry(0);
    fleet.wait_ready().await;
    let after = [fleet.service_executions(text_requests::SERVICE).await, lost].concat();
    text_requests::check_replies(&resent, &again, &after);
    reply::check_no_new_executions(&replies, &rows, &after);
    let executed = non_idempotent_ids(&after).len();
    assert!(
        executed <= resent.len(),
        "{executed} executions of {COUNT} keys"
    );
    text_requests::wait_serving(&fleet, "restarted", 2).await;
}

// A resumed agent must not execute calls that were settled without it, nor keep the old bundle.
#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen_bundle_accepted_other_agent_leaving() {
    let mut fleet = start_fleet(3, false).await;
    text_requests::slow_targets(&fleet, 5.0).await;
    let first = text_requests::mixed_requests("first", COUNT, TOKENS, 2);
    let second = text_requests::mixed_requests("second", COUNT, TOKENS, 2);
    let mut bundle = text_requests::bundle("20s");
    bundle["title"] = json!("letters, second edition");
    let faults = async {
        let paused = text_requests::wait_claimed_execution(&fleet).await;
        let left = (paused + 1) % 3;
        text_requests::wait_executing(&fleet, &[left]).await;
        fleet.nodes[paused].agent.pause().await;
        fleet.accept_bundle(&bundle);
        let (code, text) = fleet.run_ctl(&["drain", &fleet.nodes[left].peer_addr.to_string()]);
        assert_eq!(code, 0, "{text}");
        text_requests::slow_targets(&fleet, 1.0).await;
        let idempotent: Vec<_> = second.iter().step_by(2).cloned().collect();
        let claimed = non_idempotent(&second);
        let claimed = async { text_requests::send_all(&fleet, &claimed).await };
        let idempotent = async {
            let replies = text_requests::send_all(&fleet, &idempotent).await;
            fleet.nodes[paused].agent.resume();
            replies
        };
        let (idempotent, claimed) = tokio::join!(idempotent, claimed);
        (paused, left, idempotent, claimed)
    };
    let (in_flight, (paused, left, idempotent, claimed)) =
        tokio::join!(text_requests::send_all(&fleet, &first), faults);
    println!("in flight: {}", reply::summarize(&in_flight));
    println!(
        "during the faults, idempotent: {}",
        reply::summarize(&idempotent)
    );
    println!("during the faults, claimed: {}", reply::summarize(&claimed));
    wait::until("the agent to exit", || async {
        let answer = fleet
            .http
            .get(fleet.nodes[left].admin_addr, "/healthz")
            .await;
        answer.is_err().then_some(())
    })
    .await;
    let before = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&first, &in_flight, &before);
    let during: Vec<_> = second.iter().step_by(2).cloned().collect();
    text_requests::check_replies(&during, &idempotent, &before);
    text_requests::check_replies(&non_idempotent(&second), &claimed, &before);
    wait::until("the new bundle", || async {
        let admin = fleet.nodes[paused].admin_addr;
        let generation = fleet
            .sum_metric(admin, "laburnum_bundle_generation", "")
            .await;
        (generation >= 2.0).then_some(())
    })
    .await;
    text_requests::wait_serving(&fleet, "after", 2).await;
    let after = fleet.service_executions(text_requests::SERVICE).await;
    let old = in_flight.iter().chain(&idempotent).chain(&claimed);
    reply::check_no_new_executions(old, &before, &after);
    let mut ended = None;
    for _ in 0..500 {
        ended = fleet.nodes[left].agent.exit_status();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}
