//! Several failures at once, under requests of both pipelines.

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

async fn start(targets: usize, relays: bool) -> fleet::Fleet {
    let plan = fleet::Plan::new(
        vec![text_requests::service(targets, "300ms")],
        text_requests::bundle("20s"),
    );
    let plan = if relays { plan.with_relays() } else { plan };
    let fleet = fleet::Fleet::start(plan).await;
    text_requests::wait_all_targets_used(&fleet).await;
    fleet
}

/// Returns the requests that execute at most once.
fn sends(letters: &[text_requests::TextRequest]) -> Vec<text_requests::TextRequest> {
    letters.iter().skip(1).step_by(2).cloned().collect()
}

/// Starts a killed agent again, in place of the old one once its address is free.
async fn replace_agent(fleet: &fleet::Fleet, node: usize) -> process::Process {
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

// The object service is down when one agent is killed and the connections to another fall silent.
// Requests are in flight and more come. What may be repeated is answered by targets that can be
// reached; claims are refused as "not run", with a time to come again, as none can be made durable;
// what the dead agent held "may have run". The agent comes back during the outage and gets the
// bundle from the entries. After the faults everything works, and what was held back runs nothing.
#[tokio::test(flavor = "multi_thread")]
async fn object_service_down_agent_killed_connections_silent() {
    let mut fleet = start(3, true).await;
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
        (replies, killed, replace_agent(&fleet, killed).await)
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

/// Returns the non-idempotent requests among executions.
fn claimed(rows: &[Value]) -> collections::HashSet<String> {
    let rows = rows.iter().filter(|row| row["idempotent"] == false);
    rows.map(|row| row["request"].to_string()).collect()
}

// An entry is killed while a target crashes under what it executes. Callers of the dead entry get
// nothing and send again through the other one under the same keys. The other entry's callers get
// whole answers or true verdicts. No key is executed a second time: whoever sends again gets the
// first answer, "may have run", or an execution if there provably was none.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_target_crashed() {
    let mut fleet = start(2, false).await;
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
    // The crashed target's own record is gone; what it showed just before counts as well.
    let rows = [fleet.target_executions(1 - crashed).await, lost.clone()].concat();
    text_requests::check_replies(&sent, &replies, &rows);
    let resent: Vec<_> = sends(&sent).into_iter().map(|l| l.entry(1)).collect();
    let again = text_requests::send_all(&fleet, &resent).await;
    println!("sent again: {}", reply::summarize(&again));
    fleet.nodes[crashed].target.kill();
    fleet.entries[0].process.kill();
    fleet.restart_target(crashed);
    fleet.restart_entry(0);
    fleet.wait_ready().await;
    let after = [fleet.service_executions(text_requests::SERVICE).await, lost].concat();
    text_requests::check_replies(&resent, &again, &after);
    reply::check_no_new_executions(&replies, &rows, &after);
    let executed = claimed(&after).len();
    assert!(
        executed <= resent.len(),
        "{executed} executions of {COUNT} keys"
    );
    text_requests::wait_serving(&fleet, "restarted", 2).await;
}

// One agent stands still, operators have a bundle accepted, and another agent is told to leave, while
// requests are in flight and more come. The third target carries on, the leaving agent finishes
// what it has and exits with success. When the first agent goes on it comes under the new bundle,
// tells what became of its attempts, and executes nothing that was decided without it.
#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen_bundle_accepted_other_agent_leaving() {
    let mut fleet = start(3, false).await;
    text_requests::slow_targets(&fleet, 5.0).await;
    let first = text_requests::mixed_requests("first", COUNT, TOKENS, 2);
    let second = text_requests::mixed_requests("second", COUNT, TOKENS, 2);
    let mut bundle = text_requests::bundle("20s");
    bundle["title"] = json!("letters, second edition");
    let faults = async {
        let frozen = text_requests::wait_claimed_execution(&fleet).await;
        let left = (frozen + 1) % 3;
        text_requests::wait_executing(&fleet, &[left]).await;
        fleet.nodes[frozen].agent.pause().await;
        fleet.accept_bundle(&bundle);
        let (code, text) = fleet.run_ctl(&["drain", &fleet.nodes[left].peer_addr.to_string()]);
        assert_eq!(code, 0, "{text}");
        text_requests::slow_targets(&fleet, 1.0).await;
        let drafts: Vec<_> = second.iter().step_by(2).cloned().collect();
        let claimed = sends(&second);
        let claimed = async { text_requests::send_all(&fleet, &claimed).await };
        let drafts = async {
            let replies = text_requests::send_all(&fleet, &drafts).await;
            fleet.nodes[frozen].agent.resume();
            replies
        };
        let (drafts, claimed) = tokio::join!(drafts, claimed);
        (frozen, left, drafts, claimed)
    };
    let (in_flight, (frozen, left, drafts, claimed)) =
        tokio::join!(text_requests::send_all(&fleet, &first), faults);
    println!("in flight: {}", reply::summarize(&in_flight));
    println!(
        "during the faults, idempotent: {}",
        reply::summarize(&drafts)
    );
    println!("during the faults, claimed: {}", reply::summarize(&claimed));
    wait::until("the agent to leave", || async {
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
    text_requests::check_replies(&during, &drafts, &before);
    text_requests::check_replies(&sends(&second), &claimed, &before);
    wait::until("the new bundle", || async {
        let admin = fleet.nodes[frozen].admin_addr;
        let generation = fleet
            .sum_metric(admin, "laburnum_bundle_generation", "")
            .await;
        (generation >= 2.0).then_some(())
    })
    .await;
    text_requests::wait_serving(&fleet, "after", 2).await;
    let after = fleet.service_executions(text_requests::SERVICE).await;
    let old = in_flight.iter().chain(&drafts).chain(&claimed);
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
