//! Tests of connections and agents that fail in each phase of an attempt.

use std::time;

use rstest::rstest;

use crate::{
    agent,
    fixture,
    relay, //
};

const UP: relay::Silence = relay::Silence {
    up: true,
    down: false,
};
const DOWN: relay::Silence = relay::Silence {
    up: false,
    down: true,
};
const BOTH: relay::Silence = relay::Silence {
    up: true,
    down: true,
};

fn engine() -> agent::Behaviour {
    agent::Behaviour {
        pieces: ["one ", "two ", "three"].map(str::to_owned).to_vec(),
        gated: true,
        ..agent::Behaviour::default()
    }
}

/// Phase in which the connection goes silent.
#[derive(Clone, Copy, Debug)]
enum Phase {
    BeforeSend,
    AfterSend,
    MidStream,
    BeforeEnd,
}

// After a silence the attempt must continue, or be proven not executed: no stage may execute twice.
#[rstest]
#[tokio::test]
async fn silence_resolves(
    #[values(
        Phase::BeforeSend,
        Phase::AfterSend,
        Phase::MidStream,
        Phase::BeforeEnd
    )]
    phase: Phase,
    #[values(UP, DOWN, BOTH)] silence: relay::Silence,
) {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let engine = agent::start("engine", engine()).await;
    let relay = relay::Relay::start(engine.addr).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr), ("engine", relay.addr)]).await;
    let fake = &engine.fake;
    if let Phase::BeforeSend = phase {
        relay.silence(silence);
    }
    let execution = fixture.start_request("report", serde_json::json!({ "case": 7 }));
    let steps = match phase {
        Phase::BeforeSend => None,
        Phase::AfterSend => Some(0),
        Phase::MidStream => Some(1),
        Phase::BeforeEnd => Some(3),
    };
    if let Some(steps) = steps {
        fixture::within_limit(fake.wait_started(1)).await;
        fake.gate.add_permits(steps);
        fixture::within_limit(fake.wait_chunks(steps)).await;
        relay.silence(silence);
    }
    // After a missed heartbeat the entry reconnects, which fences the old connection, and queries.
    fixture::within_limit(relay.wait_connections(2)).await;
    fake.gate.add_permits(20);
    let (pieces, outcome) = fixture::collect(execution).await;
    assert_eq!(pieces.concat(), "one two three");
    let expected = serde_json::json!({ "text": "one two three" });
    assert_eq!(fixture::output(outcome), expected);
    assert_eq!(fake.calls().len(), 1, "executions");
}

// If an agent dies in mid-stream, another engine must resume after the text already received.
#[tokio::test]
async fn stream_resumes_elsewhere() {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let first = agent::start("engine", engine()).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr), ("engine", first.addr)]).await;
    let execution = fixture.start_request("report", serde_json::json!({}));
    fixture::within_limit(first.fake.wait_started(1)).await;
    first.fake.gate.add_permits(2);
    fixture::within_limit(first.fake.wait_chunks(2)).await;
    let mut execution = execution;
    let mut text = String::new();
    while text != "one two " {
        match fixture::within_limit(execution.events.recv())
            .await
            .unwrap()
        {
            laburnumcart_entry::driver::Event::Piece(piece) => text.push_str(&piece),
            end => panic!("{end:?}"),
        }
    }
    let addr = first.addr;
    first.kill().await;
    let second = agent::start_at("engine", engine(), addr).await;
    second.fake.gate.add_permits(20);
    let (pieces, outcome) = fixture::collect(execution).await;
    assert_eq!(pieces.concat(), "three");
    let expected = serde_json::json!({ "text": "one two three" });
    assert_eq!(fixture::output(outcome), expected);
    assert_eq!(second.fake.calls()[0].received.as_deref(), Some("one two "));
}

// A sent non-idempotent call must not go to the dead agent's successor: it could execute twice.
#[tokio::test]
async fn lost_agent_is_final() {
    let behaviour = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let first = agent::start("pool", behaviour.clone()).await;
    let fixture = fixture::Fixture::start(&[("pool", first.addr)]).await;
    let execution = fixture.start_request("post", serde_json::json!({}));
    fixture::within_limit(first.fake.wait_started(1)).await;
    let addr = first.addr;
    first.kill().await;
    let second = agent::start_at("pool", behaviour, addr).await;
    // The caller gets "may have run" at once, not at its deadline.
    let begun = tokio::time::Instant::now();
    let (_, outcome) = fixture::collect(execution).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
    assert!(refusal.retry.is_some());
    assert!(
        begun.elapsed() < time::Duration::from_secs(15),
        "waited for the deadline"
    );
    fixture::within_limit(fixture.wait_connected()).await;
    assert!(second.fake.calls().is_empty());
}

// A non-idempotent call whose connection goes silent must execute once, also if it never arrived.
#[rstest]
#[tokio::test]
async fn silence_runs_once(
    #[values(Phase::BeforeSend, Phase::AfterSend)] phase: Phase,
    #[values(UP, DOWN, BOTH)] silence: relay::Silence,
) {
    let behaviour = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let relay = relay::Relay::start(pool.addr).await;
    let fixture = fixture::Fixture::start(&[("pool", relay.addr)]).await;
    if let Phase::BeforeSend = phase {
        relay.silence(silence);
    }
    let execution = fixture.start_request("post", serde_json::json!({ "finish": 1 }));
    if let Phase::AfterSend = phase {
        fixture::within_limit(pool.fake.wait_started(1)).await;
        relay.silence(silence);
    }
    // Once fenced, an unknown attempt is proven not executed and repeated; a known one continues.
    fixture::within_limit(relay.wait_connections(2)).await;
    pool.fake.gate.add_permits(9);
    let (_, outcome) = fixture::collect(execution).await;
    assert_eq!(fixture::output(outcome)["post"]["input"]["finish"], 1);
    assert_eq!(pool.fake.calls().len(), 1, "executions");
}

// A new process at the agent's address cannot prove that its predecessor did not execute the call.
#[tokio::test]
async fn replaced_agent_is_final() {
    let behaviour = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let first = agent::start("pool", behaviour.clone()).await;
    let second = agent::start("pool", behaviour).await;
    let relay = relay::Relay::start(first.addr).await;
    let fixture = fixture::Fixture::start(&[("pool", relay.addr)]).await;
    let execution = fixture.start_request("post", serde_json::json!({}));
    fixture::within_limit(first.fake.wait_started(1)).await;
    relay.redirect(second.addr);
    relay.silence(BOTH);
    second.fake.gate.add_permits(9);
    // The caller gets "may have run" at once.
    let (_, outcome) = fixture::collect(execution).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
    assert_eq!(refusal.reason, laburnumcart::verdict::Reason::Lost);
    assert!(second.fake.calls().is_empty());
}

// Idempotent attempts at a partitioned machine must be repeated long before their deadline.
#[tokio::test]
async fn idempotent_requests_fail_over_in_a_partition() {
    let gated = agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    };
    let lost = agent::start("pool", gated).await;
    let other = agent::start("pool", agent::Behaviour::default()).await;
    let relay = relay::Relay::start(lost.addr).await;
    let fixture = fixture::Fixture::start(&[("pool", relay.addr), ("pool", other.addr)]).await;
    let mut running = Vec::new();
    while lost.fake.calls().is_empty() {
        running.push(fixture.start_request("echo", serde_json::json!(running.len())));
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    // No old or new connection to this machine answers any more.
    relay.cut_off();
    for (number, execution) in running.into_iter().enumerate() {
        let (_, outcome) = fixture::collect(execution).await;
        assert_eq!(fixture::output(outcome)["first"]["input"], number);
    }
}
