//! Stalled connections between entries and agents, and agents and engines that crash or are paused
//! while requests are in flight.

use laburnumcart_system::{
    fleet,
    relay,
    reply,
    text_requests,
    wait, //
};
use nix::sys::signal;
use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

/// Requests of each pipeline in one round.
const COUNT: usize = 4;

/// Pieces of text of a long generation.
const TOKENS: u32 = 60;

/// Phase of a request in which connections stall.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Before the entry writes the call.
    Before,
    /// After the target has started the execution.
    After,
    /// In the middle of the streamed text.
    Middle,
    /// Before the end mark reaches the entry.
    End,
}

const PHASES: [Phase; 4] = [Phase::Before, Phase::After, Phase::Middle, Phase::End];

async fn start_fleet(relays: bool) -> fleet::Fleet {
    let plan = fleet::Plan::new(
        vec![text_requests::service(2, "300ms")],
        text_requests::bundle("20s"),
    );
    let plan = if relays { plan.with_relays() } else { plan };
    let fleet = fleet::Fleet::start(plan).await;
    text_requests::wait_all_targets_used(&fleet).await;
    fleet
}

/// Returns the number of connections to agents that the entries have closed as broken.
async fn count_lane_breaks(fleet: &fleet::Fleet) -> f64 {
    let mut sum = 0.0;
    for entry in &fleet.entries {
        let name = "laburnum_entry_lane_breaks_total";
        sum += fleet.sum_metric(entry.caller_addr, name, "").await;
    }
    sum
}

/// Returns the number of calls of fenced sessions that the agents have refused.
async fn count_fenced(fleet: &fleet::Fleet) -> f64 {
    let mut sum = 0.0;
    for node in &fleet.nodes {
        let name = "laburnum_agent_refused_total";
        sum += fleet.sum_metric(node.admin_addr, name, "fenced").await;
    }
    sum
}

/// Waits until targets have started `count` attempts beyond `before`.
async fn wait_executions(fleet: &fleet::Fleet, before: usize, count: usize) {
    wait::until("executions", || async {
        let rows = fleet.service_executions(text_requests::SERVICE).await;
        (rows.len() >= before + count).then_some(())
    })
    .await;
}

/// Stalls the connections in a phase.
async fn stall_connections(fleet: &fleet::Fleet, phase: Phase, stall: relay::Stall, before: usize) {
    let text = match phase {
        Phase::Before => return,
        Phase::After => {
            wait_executions(fleet, before, COUNT).await;
            for node in &fleet.nodes {
                node.relay().stall(stall);
            }
            return;
        }
        Phase::Middle => "\"number\":20,",
        Phase::End => "\"state\":\"done\"",
    };
    for node in &fleet.nodes {
        node.relay().stall_at_text(text, stall);
    }
    wait::until("stalled connections", || async {
        let is_stalled = |node: &fleet::Node| node.relay().is_stalled();
        fleet.nodes.iter().any(is_stalled).then_some(())
    })
    .await;
}

/// Resumes the connections and checks that the bytes held back cause no execution.
async fn resume_and_check(fleet: &fleet::Fleet, name: &str, replies: &[reply::Reply]) {
    let before = fleet.service_executions(text_requests::SERVICE).await;
    for node in &fleet.nodes {
        node.relay().resume();
    }
    wait::until("held bytes to arrive", || async {
        let is_drained = |node: &fleet::Node| !node.relay().is_holding_bytes();
        fleet.nodes.iter().all(is_drained).then_some(())
    })
    .await;
    text_requests::check_serving(fleet, &format!("{name}-fresh"), fleet.entries.len()).await;
    let after = fleet.service_executions(text_requests::SERVICE).await;
    reply::check_no_new_executions(replies, &before, &after);
}

// A stalled connection may deliver a call after the verdict; the agent must have fenced it by then.
#[rstest]
#[case::both(true, true)]
#[case::forth(true, false)]
#[case::back(false, true)]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections(#[case] forth: bool, #[case] back: bool) {
    let stall = relay::Stall {
        to_server: forth,
        to_client: back,
    };
    let fleet = start_fleet(true).await;
    for phase in PHASES {
        let name = format!("{phase:?}");
        let (broken, refused) = (count_lane_breaks(&fleet).await, count_fenced(&fleet).await);
        let before = fleet.service_executions(text_requests::SERVICE).await.len();
        if matches!(phase, Phase::Before) {
            fleet.nodes.iter().for_each(|n| n.relay().stall(stall));
        }
        let sent = text_requests::mixed_requests(&name, COUNT, TOKENS, fleet.entries.len());
        let (replies, ()) = tokio::join!(
            text_requests::send_all(&fleet, &sent),
            stall_connections(&fleet, phase, stall, before),
        );
        println!("{phase:?} {stall:?}: {}", reply::summarize(&replies));
        let rows = fleet.service_executions(text_requests::SERVICE).await;
        text_requests::check_replies(&sent, &replies, &rows);
        // A lane that has not noticed the stall may still deliver a call and execute it, such as
        // the slower attempt of a hedge; lanes whose connection is closed have been fenced.
        let stalled = fleet
            .nodes
            .iter()
            .filter(|n| n.relay().is_stalled())
            .count();
        let lanes = (stalled * fleet.entries.len()) as f64;
        wait::until("connections closed", || async {
            (count_lane_breaks(&fleet).await >= broken + lanes).then_some(())
        })
        .await;
        resume_and_check(&fleet, &name, &replies).await;
        if forth && matches!(phase, Phase::Before) {
            wait::until("late calls to be refused", || async {
                (count_fenced(&fleet).await > refused).then_some(())
            })
            .await;
            let after = fleet.service_executions(text_requests::SERVICE).await;
            reply::check_no_new_executions(&replies, &rows, &after);
        }
    }
}

/// Splits replies into those of idempotent and those of non-idempotent requests.
fn split_by_pipeline(replies: &[reply::Reply]) -> (Vec<reply::Reply>, Vec<reply::Reply>) {
    let every = |first: usize| replies.iter().skip(first).step_by(2).cloned().collect();
    (every(0), every(1))
}

// A new agent process does not know the attempts of the old one and must not report "not run".
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_killed_and_replaced() {
    let mut fleet = start_fleet(false).await;
    // Slow enough that no execution ends before the kill.
    text_requests::slow_targets(&fleet, 20.0).await;
    let sent = text_requests::mixed_requests("killed", COUNT, TOKENS, fleet.entries.len());
    let caught = async {
        let node = text_requests::wait_claimed_execution(&fleet).await;
        fleet.nodes[node].agent.signal(signal::Signal::SIGKILL);
        text_requests::slow_targets(&fleet, 1.0).await;
        node
    };
    let (replies, killed) = tokio::join!(text_requests::send_all(&fleet, &sent), caught);
    println!("agent killed: {}", reply::summarize(&replies));
    let (idempotent, non_idempotent) = split_by_pipeline(&replies);
    let lost = non_idempotent
        .iter()
        .filter(|reply| !reply.is_complete())
        .count();
    assert!(
        lost > 0,
        "none was lost: {}",
        reply::summarize(&non_idempotent)
    );
    assert!(
        idempotent.iter().all(reply::Reply::is_complete),
        "{idempotent:?}"
    );
    fleet.nodes[killed].agent.kill();
    fleet.restart_agent(killed);
    fleet.wait_ready().await;
    let before = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&sent, &replies, &before);
    let resent: Vec<_> = sent.iter().skip(1).step_by(2).cloned().collect();
    let resent: Vec<_> = resent.into_iter().map(|request| request.entry(1)).collect();
    let again = text_requests::send_all(&fleet, &resent).await;
    println!("resent: {}", reply::summarize(&again));
    let after = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&resent, &again, &after);
    reply::check_no_new_executions(&replies, &before, &after);
    for (first, second) in non_idempotent.iter().zip(&again) {
        assert_eq!(
            first.is_complete(),
            second.is_complete(),
            "{first:?} {second:?}"
        );
    }
    text_requests::check_serving(&fleet, "killed-after", 2).await;
}

// A resumed agent finds calls in its old connections that were repeated or settled without it.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_agent_settles_its_attempts() {
    let fleet = start_fleet(false).await;
    let sent = text_requests::mixed_requests("frozen", COUNT, TOKENS, fleet.entries.len());
    let idempotent: Vec<_> = sent.iter().step_by(2).cloned().collect();
    let non_idempotent: Vec<_> = sent.iter().skip(1).step_by(2).cloned().collect();
    text_requests::slow_targets(&fleet, 5.0).await;
    let paused = async {
        let node = text_requests::wait_claimed_execution(&fleet).await;
        fleet.nodes[node].agent.pause().await;
        text_requests::slow_targets(&fleet, 1.0).await;
        node
    };
    let idempotent_then_resume = async {
        let (replies, node) = tokio::join!(text_requests::send_all(&fleet, &idempotent), paused);
        fleet.nodes[node].agent.resume();
        replies
    };
    let (first, second) = tokio::join!(
        idempotent_then_resume,
        text_requests::send_all(&fleet, &non_idempotent)
    );
    println!("agent frozen, idempotent: {}", reply::summarize(&first));
    println!("agent frozen, claimed: {}", reply::summarize(&second));
    assert!(first.iter().all(reply::Reply::is_complete), "{first:?}");
    fleet.wait_ready().await;
    let before = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&idempotent, &first, &before);
    text_requests::check_replies(&non_idempotent, &second, &before);
    text_requests::check_serving(&fleet, "frozen-after", 2).await;
    let after = fleet.service_executions(text_requests::SERVICE).await;
    reply::check_no_new_executions(first.iter().chain(&second), &before, &after);
}

// The caller must read one text without a gap or a repetition when the engine crashes midway.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_engine() {
    let fleet = start_fleet(false).await;
    let request =
        text_requests::TextRequest::new(text_requests::IDEMPOTENT, "crashed", 100).events(true);
    text_requests::slow_targets(&fleet, 5.0).await;
    let crash = async {
        let node = wait::until("text at a target", || async {
            for node in 0..fleet.nodes.len() {
                let has_text = |row: &Value| row["busy"].as_f64().is_some_and(|busy| busy > 0.15);
                if fleet.target_executions(node).await.iter().any(has_text) {
                    return Some(node);
                }
            }
            None
        })
        .await;
        fleet.nodes[node].target.signal(signal::Signal::SIGKILL);
        fleet
            .set_target_behaviour(1 - node, &json!({"slow": 1.0}))
            .await;
        node
    };
    let (reply, crashed) = tokio::join!(request.send(&fleet), crash);
    let rows = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&[request], std::slice::from_ref(&reply), &rows);
    assert!(reply.is_complete(), "{reply:?}");
    let other = fleet.target_executions(1 - crashed).await;
    let done =
        |row: &Value| row["outcome"] == "done" && row["request"].as_str() == reply.request_id();
    assert!(other.iter().any(done), "{other:?}");
}

// The kept answer was generated for the first request; its pieces must still join to its text.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_reads_the_same_pieces() {
    let fleet = start_fleet(false).await;
    let request =
        text_requests::TextRequest::new(text_requests::NON_IDEMPOTENT, "again", 5).events(true);
    let first = request.send(&fleet).await;
    let second = request.clone().entry(1).send(&fleet).await;
    assert!(
        first.is_complete() && second.is_complete(),
        "{first:?} {second:?}"
    );
    assert_eq!(first.request_id(), second.request_id());
    let rows = fleet.service_executions(text_requests::SERVICE).await;
    text_requests::check_replies(&[request.clone(), request], &[first, second], &rows);
}
