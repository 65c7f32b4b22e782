//! Several failures at once, under requests of both pipelines.

use std::collections;

use laburnumcart_system::{
    fleet,
    letters,
    process,
    relay,
    reply,
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
        vec![letters::service(targets, "300ms")],
        letters::bundle("20s"),
    );
    let plan = if relays { plan.relays() } else { plan };
    let fleet = fleet::Fleet::start(plan).await;
    letters::wait_spread(&fleet).await;
    fleet
}

/// Returns the requests that execute at most once.
fn sends(letters: &[letters::Letter]) -> Vec<letters::Letter> {
    letters.iter().skip(1).step_by(2).cloned().collect()
}

/// Starts a killed agent again, in place of the old one once its address is free.
async fn replace_agent(fleet: &fleet::Fleet, node: usize) -> process::Process {
    let node = &fleet.nodes[node];
    wait::until("the agent's address to be free", || async {
        let answer = fleet.http.get(node.admin, "/healthz").await;
        answer.is_err().then_some(())
    })
    .await;
    let process = fleet.restart(&format!("agent-{}", node.name), "laburnum-agent");
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
    letters::slow(&fleet, 10.0).await;
    let first = letters::mixed("first", COUNT, TOKENS, 2);
    let second = letters::mixed("second", COUNT, TOKENS, 2);
    let faults = async {
        let killed = letters::wait_claimed(&fleet).await;
        letters::wait_running(&fleet, &[0, 1, 2]).await;
        fleet.store_faults(&json!({"down": true})).await;
        fleet.nodes[killed].agent.signal(signal::Signal::SIGKILL);
        fleet.nodes[(killed + 1) % 3]
            .relay()
            .silence(relay::Silence {
                forth: true,
                back: true,
            });
        letters::slow(&fleet, 1.0).await;
        let replies = letters::send_all(&fleet, &second).await;
        (replies, killed, replace_agent(&fleet, killed).await)
    };
    let (in_flight, (during, killed, agent)) =
        tokio::join!(letters::send_all(&fleet, &first), faults);
    fleet.nodes[killed].agent = agent;
    println!("in flight: {}", reply::counts(&in_flight));
    println!("during the faults: {}", reply::counts(&during));
    let before = fleet.executions(letters::SERVICE).await;
    letters::check(&first, &in_flight, &before);
    letters::check(&second, &during, &before);
    for reply in during.iter().skip(1).step_by(2) {
        let reply::Reply::Refused { retry, .. } = reply else {
            panic!("executed without a claim: {reply:?}");
        };
        assert!(reply.is_not_run() && retry.is_some(), "{reply:?}");
    }
    fleet.store_faults(&json!({})).await;
    fleet.nodes.iter().for_each(|node| node.relay().heal());
    letters::wait_works(&fleet, "healed", 2).await;
    let after = fleet.executions(letters::SERVICE).await;
    reply::check_still(in_flight.iter().chain(&during), &before, &after);
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
    letters::slow(&fleet, 5.0).await;
    let sent = letters::mixed("first", COUNT, TOKENS, 2);
    let faults = async {
        let crashed = letters::wait_claimed(&fleet).await;
        let record = fleet.executed(crashed).await;
        fleet.nodes[crashed].target.signal(signal::Signal::SIGKILL);
        fleet.entries[0].process.signal(signal::Signal::SIGKILL);
        fleet.behave(1 - crashed, &json!({"slow": 1.0})).await;
        (crashed, record)
    };
    let (replies, (crashed, lost)) = tokio::join!(letters::send_all(&fleet, &sent), faults);
    println!("first: {}", reply::counts(&replies));
    // The crashed target's own record is gone; what it showed just before counts as well.
    let rows = [fleet.executed(1 - crashed).await, lost.clone()].concat();
    letters::check(&sent, &replies, &rows);
    let resent: Vec<_> = sends(&sent).into_iter().map(|l| l.entry(1)).collect();
    let again = letters::send_all(&fleet, &resent).await;
    println!("sent again: {}", reply::counts(&again));
    fleet.nodes[crashed].target.kill();
    fleet.entries[0].process.kill();
    fleet.restart_target(crashed);
    fleet.restart_entry(0);
    fleet.wait_ready().await;
    let after = [fleet.executions(letters::SERVICE).await, lost].concat();
    letters::check(&resent, &again, &after);
    reply::check_still(&replies, &rows, &after);
    let executed = claimed(&after).len();
    assert!(
        executed <= resent.len(),
        "{executed} executions of {COUNT} keys"
    );
    letters::wait_works(&fleet, "restarted", 2).await;
}

// One agent stands still, operators have a bundle accepted, and another agent is told to leave, while
// requests are in flight and more come. The third target carries on, the leaving agent finishes
// what it has and exits with success. When the first agent goes on it comes under the new bundle,
// tells what became of its attempts, and executes nothing that was decided without it.
#[tokio::test(flavor = "multi_thread")]
async fn agent_frozen_bundle_accepted_other_agent_leaving() {
    let mut fleet = start(3, false).await;
    letters::slow(&fleet, 5.0).await;
    let first = letters::mixed("first", COUNT, TOKENS, 2);
    let second = letters::mixed("second", COUNT, TOKENS, 2);
    let mut bundle = letters::bundle("20s");
    bundle["title"] = json!("letters, second edition");
    let faults = async {
        let frozen = letters::wait_claimed(&fleet).await;
        let left = (frozen + 1) % 3;
        letters::wait_running(&fleet, &[left]).await;
        fleet.nodes[frozen].agent.pause().await;
        fleet.accept(&bundle);
        let (code, text) = fleet.ctl(&["drain", &fleet.nodes[left].peer.to_string()]);
        assert_eq!(code, 0, "{text}");
        letters::slow(&fleet, 1.0).await;
        let drafts: Vec<_> = second.iter().step_by(2).cloned().collect();
        let claimed = sends(&second);
        let claimed = async { letters::send_all(&fleet, &claimed).await };
        let drafts = async {
            let replies = letters::send_all(&fleet, &drafts).await;
            fleet.nodes[frozen].agent.resume();
            replies
        };
        let (drafts, claimed) = tokio::join!(drafts, claimed);
        (frozen, left, drafts, claimed)
    };
    let (in_flight, (frozen, left, drafts, claimed)) =
        tokio::join!(letters::send_all(&fleet, &first), faults);
    println!("in flight: {}", reply::counts(&in_flight));
    println!("during the faults, idempotent: {}", reply::counts(&drafts));
    println!("during the faults, claimed: {}", reply::counts(&claimed));
    wait::until("the agent to leave", || async {
        let answer = fleet.http.get(fleet.nodes[left].admin, "/healthz").await;
        answer.is_err().then_some(())
    })
    .await;
    let before = fleet.executions(letters::SERVICE).await;
    letters::check(&first, &in_flight, &before);
    let during: Vec<_> = second.iter().step_by(2).cloned().collect();
    letters::check(&during, &drafts, &before);
    letters::check(&sends(&second), &claimed, &before);
    wait::until("the new bundle", || async {
        let admin = fleet.nodes[frozen].admin;
        let generation = fleet.metric(admin, "laburnum_bundle_generation", "").await;
        (generation >= 2.0).then_some(())
    })
    .await;
    letters::wait_works(&fleet, "after", 2).await;
    let after = fleet.executions(letters::SERVICE).await;
    let old = in_flight.iter().chain(&drafts).chain(&claimed);
    reply::check_still(old, &before, &after);
    let mut ended = None;
    for _ in 0..500 {
        ended = fleet.nodes[left].agent.ended();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(ended.and_then(|status| status.code()), Some(0));
}
