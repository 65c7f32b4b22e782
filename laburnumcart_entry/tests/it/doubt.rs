//! Connections that go silent in each phase of an attempt.

use std::time;

use rstest::rstest;

use crate::{
    agent,
    bench,
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

fn engine() -> agent::Plan {
    agent::Plan {
        pieces: ["one ", "two ", "three"].map(str::to_owned).to_vec(),
        gated: true,
        ..agent::Plan::default()
    }
}

/// Moment at which the connection goes silent.
#[derive(Clone, Copy, Debug)]
enum Phase {
    BeforeSend,
    AfterSend,
    MidStream,
    BeforeEnd,
}

// The caller sees one whole answer, although the connection to the agent goes silent for good in
// the middle of its request. The entry misses a heartbeat, opens a new connection, which fences the
// old one, and asks what became of the attempt. The agent knows it and goes on with it, or does not
// and so proves that it never runs; in no case does the stage execute twice.
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
    let pool = agent::start("pool", agent::Plan::default()).await;
    let engine = agent::start("engine", engine()).await;
    let relay = relay::Relay::start(engine.addr).await;
    let bench = bench::Bench::start(&[("pool", pool.addr), ("engine", relay.addr)]).await;
    let fake = &engine.fake;
    if let Phase::BeforeSend = phase {
        relay.silence(silence);
    }
    let driven = bench.run("report", serde_json::json!({ "case": 7 }));
    let steps = match phase {
        Phase::BeforeSend => None,
        Phase::AfterSend => Some(0),
        Phase::MidStream => Some(1),
        Phase::BeforeEnd => Some(3),
    };
    if let Some(steps) = steps {
        bench::within(fake.called(1)).await;
        fake.gate.add_permits(steps);
        bench::within(fake.made(steps)).await;
        relay.silence(silence);
    }
    bench::within(relay.reopened(2)).await;
    fake.gate.add_permits(20);
    let (pieces, outcome) = bench::finish(driven).await;
    assert_eq!(pieces.concat(), "one two three");
    let expected = serde_json::json!({ "text": "one two three" });
    assert_eq!(bench::output(outcome), expected);
    assert_eq!(fake.calls().len(), 1, "executions");
}

// The caller sees one whole answer although the agent dies in the middle of the stream. Its lane's
// address refuses connections, so the attempt stays "may have run"; the request is idempotent, and
// another engine goes on after the text that has come. No piece is sent twice or contradicted.
#[tokio::test]
async fn stream_resumes_elsewhere() {
    let pool = agent::start("pool", agent::Plan::default()).await;
    let first = agent::start("engine", engine()).await;
    let bench = bench::Bench::start(&[("pool", pool.addr), ("engine", first.addr)]).await;
    let driven = bench.run("report", serde_json::json!({}));
    bench::within(first.fake.called(1)).await;
    first.fake.gate.add_permits(2);
    bench::within(first.fake.made(2)).await;
    let mut driven = driven;
    let mut text = String::new();
    while text != "one two " {
        match bench::within(driven.events.recv()).await.unwrap() {
            laburnumcart_entry::driver::Event::Piece(piece) => text.push_str(&piece),
            end => panic!("{end:?}"),
        }
    }
    let addr = first.addr;
    first.kill().await;
    let second = agent::start_at("engine", engine(), addr).await;
    second.fake.gate.add_permits(20);
    let (pieces, outcome) = bench::finish(driven).await;
    assert_eq!(pieces.concat(), "three");
    let expected = serde_json::json!({ "text": "one two three" });
    assert_eq!(bench::output(outcome), expected);
    assert_eq!(second.fake.calls()[0].received.as_deref(), Some("one two "));
}

// The caller of a non-idempotent request sees "may have run", at once and not at its deadline,
// when the agent dies after the call was sent: nobody is left who could tell. Nothing is sent to
// the agent that takes its place, as that might run the request a second time.
#[tokio::test]
async fn lost_agent_is_final() {
    let plan = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let first = agent::start("pool", plan.clone()).await;
    let bench = bench::Bench::start(&[("pool", first.addr)]).await;
    let driven = bench.run("post", serde_json::json!({}));
    bench::within(first.fake.called(1)).await;
    let addr = first.addr;
    first.kill().await;
    let second = agent::start_at("pool", plan, addr).await;
    let begun = tokio::time::Instant::now();
    let (_, outcome) = bench::finish(driven).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
    assert!(refusal.retry.is_some());
    assert!(
        begun.elapsed() < time::Duration::from_secs(15),
        "waited for the deadline"
    );
    bench::within(bench.connected()).await;
    assert!(second.fake.calls().is_empty());
}

// The caller of a non-idempotent request sees its whole answer although the connection went silent
// before or after the call was sent. The stage executes once: what the agent does not know after the
// old connection was fenced has provably not run and is sent again; what it knows is gone on with.
#[rstest]
#[tokio::test]
async fn silence_runs_once(
    #[values(Phase::BeforeSend, Phase::AfterSend)] phase: Phase,
    #[values(UP, DOWN, BOTH)] silence: relay::Silence,
) {
    let plan = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let relay = relay::Relay::start(pool.addr).await;
    let bench = bench::Bench::start(&[("pool", relay.addr)]).await;
    if let Phase::BeforeSend = phase {
        relay.silence(silence);
    }
    let driven = bench.run("post", serde_json::json!({ "finish": 1 }));
    if let Phase::AfterSend = phase {
        bench::within(pool.fake.called(1)).await;
        relay.silence(silence);
    }
    bench::within(relay.reopened(2)).await;
    pool.fake.gate.add_permits(9);
    let (_, outcome) = bench::finish(driven).await;
    assert_eq!(bench::output(outcome)["post"]["input"]["finish"], 1);
    assert_eq!(pool.fake.calls().len(), 1, "executions");
}

// The caller of a non-idempotent request sees "may have run", at once, when another process answers
// at its agent's address. That process does not know the attempt, which proves nothing: it would
// say so of one that the process before it has executed.
#[tokio::test]
async fn replaced_agent_is_final() {
    let plan = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let first = agent::start("pool", plan.clone()).await;
    let second = agent::start("pool", plan).await;
    let relay = relay::Relay::start(first.addr).await;
    let bench = bench::Bench::start(&[("pool", relay.addr)]).await;
    let driven = bench.run("post", serde_json::json!({}));
    bench::within(first.fake.called(1)).await;
    relay.lead(second.addr);
    relay.silence(BOTH);
    second.fake.gate.add_permits(9);
    let (_, outcome) = bench::finish(driven).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.verdict, laburnumcart::verdict::Verdict::MayHaveRun);
    assert_eq!(refusal.reason, laburnumcart::verdict::Reason::Lost);
    assert!(second.fake.calls().is_empty());
}

// All callers see whole answers although one of two machines is cut off without a word, so that
// neither its old connections nor new ones answer. Whoever's attempt went there cannot be told what
// became of it; an idempotent one is made again at the other target, long before its deadline.
#[tokio::test]
async fn cut_off_fails_over() {
    let gated = agent::Plan {
        gated: true,
        ..agent::Plan::default()
    };
    let lost = agent::start("pool", gated).await;
    let other = agent::start("pool", agent::Plan::default()).await;
    let relay = relay::Relay::start(lost.addr).await;
    let bench = bench::Bench::start(&[("pool", relay.addr), ("pool", other.addr)]).await;
    let mut running = Vec::new();
    while lost.fake.calls().is_empty() {
        running.push(bench.run("echo", serde_json::json!(running.len())));
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    relay.cut_off();
    for (number, driven) in running.into_iter().enumerate() {
        let (_, outcome) = bench::finish(driven).await;
        assert_eq!(bench::output(outcome)["first"]["input"], number);
    }
}
