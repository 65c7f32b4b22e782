//! Deadlines, cancellation, target crashes, orders and graceful shutdown.

use laburnumcart::{
    bundle::Kind,
    id, unit,
    verdict::{
        Reason,
        Verdict, //
    },
};
use laburnumcart_platform::{
    memory,
    store::{
        Expect,
        Store, //
    },
};
use laburnumcart_wire::{
    agent::{
        AgentClient,
        Heartbeat, //
    },
    stage::{
        Cancel,
        State, //
    },
};
use serde_json::json;

use crate::{
    fixture::{
        self,
        Sender,
        bounded,
        refusal, //
    },
    target::{
        Finish,
        Mode,
        Target, //
    },
};

/// An attempt past its deadline may have executed, and is cancelled at the target.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_cancels_at_the_target() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let mut call = lane.call();
    call.remaining = unit::Period::from_millis(200);
    let (_, state) = bounded(lane.run(&call)).await;
    let late = refusal(&state);
    assert_eq!(
        (late.verdict, late.reason),
        (Verdict::MayHaveRun, Reason::DeadlineExceeded)
    );
    bounded(target.wait_cancelled(&call.attempt.to_string())).await;
}

/// An attempt that waits for a slot until its deadline is proven not executed.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_in_the_queue_is_not_run() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let slots = agent.shared().report(None).load.limit as usize;
    let calls: Vec<_> = (0..slots).map(|_| lane.call()).collect();
    let running = calls.iter().map(|call| lane.client.start(call.clone()));
    let running = futures_util::future::join_all(running);
    let waiting = async {
        target.wait_seen(slots).await;
        let mut call = lane.call();
        call.remaining = unit::Period::from_millis(100);
        let (_, state) = lane.run(&call).await;
        let late = refusal(&state);
        assert_eq!(
            (late.verdict, late.reason),
            (Verdict::NotRun, Reason::DeadlineExceeded)
        );
        for call in &calls {
            let attempt = call.attempt;
            lane.client.cancel(Cancel { attempt }).await.unwrap();
        }
    };
    bounded(futures_util::future::join(running, waiting)).await;
    assert_eq!(target.seen().len(), slots);
}

/// A drain must not cut off a running stream, must refuse new work as "not run" and be reported.
#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_a_stream() {
    let target = Target::start(Mode::Stream(vec!["a", "b"], Finish::Whole)).await;
    let agent = fixture::start(target.addr, Kind::Engine).await;
    let sender = Sender::new(agent.addr());
    let lane = sender.connect().await;
    let call = lane.call();
    let started = bounded(lane.client.start(call.clone())).await.unwrap();
    assert!(!started.chunks.is_empty());
    let report = bounded(lane.client.drain()).await.unwrap();
    assert!(report.leaving);
    let stopping = tokio::spawn(agent.stop());
    let beat = Heartbeat {
        peer: None,
        session: lane.session,
        facts: None,
    };
    assert!(bounded(lane.client.beat(beat)).await.unwrap().leaving);
    let (_, state) = bounded(lane.run(&lane.call())).await;
    let refused = refusal(&state);
    assert_eq!(
        (refused.verdict, refused.reason),
        (Verdict::NotRun, Reason::Leaving)
    );
    target.release();
    // The stream can also be resumed over a new connection.
    drop(lane);
    let lane = sender.connect().await;
    let query = bounded(lane.client.query(lane.query(&call, 0)))
        .await
        .unwrap();
    assert_eq!(query.request, call.request);
    let (text, state) = bounded(lane.read(&call)).await;
    assert_eq!(text, "ab");
    assert!(matches!(state, State::Done(_)));
    assert!(
        !stopping.is_finished(),
        "results are kept until they are settled"
    );
    let attempt = call.attempt;
    bounded(lane.client.cancel(Cancel { attempt }))
        .await
        .unwrap();
    assert_eq!(bounded(stopping).await.unwrap(), 0);
}

/// All attempts that run when the target restarts may have run, and the content of each is suspect.
#[tokio::test(flavor = "multi_thread")]
async fn crash_names_what_ran() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let (mut one, mut two) = (lane.call(), lane.call());
    one.fingerprint = id::Fingerprint(1);
    two.fingerprint = id::Fingerprint(2);
    let ends = futures_util::future::join(lane.run(&one), lane.run(&two));
    let crash = async {
        target.wait_seen(2).await;
        target.reboot();
    };
    let ((one, two), ()) = bounded(futures_util::future::join(ends, crash)).await;
    for state in [one.1, two.1] {
        let failed = refusal(&state);
        assert_eq!(
            (failed.verdict, failed.reason),
            (Verdict::MayHaveRun, Reason::TargetFailed)
        );
    }
    let crashes = bounded(lane.wait_facts(|facts| !facts.crashes.is_empty()))
        .await
        .crashes;
    assert_eq!(
        crashes[0].suspects,
        [id::Fingerprint(1), id::Fingerprint(2)]
    );
}

/// A target that closes its port and connections, and does not restart, has crashed too.
#[tokio::test(flavor = "multi_thread")]
async fn killed_target_names_what_ran() {
    let target = Target::start(Mode::Hold).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let call = lane.call();
    let crash = async {
        target.wait_seen(1).await;
        target.stop().await;
    };
    let ((_, state), ()) = bounded(futures_util::future::join(lane.run(&call), crash)).await;
    assert_eq!(refusal(&state).verdict, Verdict::MayHaveRun);
    let crashes = bounded(lane.wait_facts(|facts| !facts.crashes.is_empty()))
        .await
        .crashes;
    assert_eq!(crashes[0].suspects, [call.fingerprint]);
}

/// Content that crashed two targets is refused as "not run" by an agent that has the facts.
#[tokio::test(flavor = "multi_thread")]
async fn quarantined_content_is_refused() {
    let target = Target::start(Mode::Status(200, "")).await;
    let agent = fixture::start(target.addr, Kind::Pool).await;
    let lane = Sender::new(agent.addr()).connect().await;
    let call = lane.call();
    let quarantine = unit::Period::from_secs(600);
    let crash = || laburnumcart::suspects::crash_fact([call.fingerprint], quarantine);
    let facts = laburnumcart::facts::Facts {
        crashes: vec![crash(), crash()],
        ..Default::default()
    };
    let beat = Heartbeat {
        peer: None,
        session: lane.session,
        facts: Some(facts),
    };
    // Facts are sent once per lane, so the answer to this heartbeat may have them already.
    let report = bounded(lane.client.beat(beat)).await.unwrap();
    if report.facts.crashes.len() != 2 {
        bounded(lane.wait_facts(|facts| facts.crashes.len() == 2)).await;
    }
    let (_, state) = bounded(lane.run(&call)).await;
    let refused = refusal(&state);
    assert_eq!(
        (refused.verdict, refused.reason),
        (Verdict::NotRun, Reason::Quarantined)
    );
    assert!(refused.retry.is_some() && target.seen().is_empty());
}

/// Only the agent that holds the term may order the target to load the bundle's models.
#[tokio::test(flavor = "multi_thread")]
async fn orders_follow_the_bundle() {
    let target = Target::start(Mode::Status(200, "")).await;
    target.set_models(&["old@1"]);
    let store = memory::Memory::new();
    let service = json!({
        "kind": "engine",
        "orders": "unfenced",
        "models": ["new@1"],
        "order_limit": "100ms",
    });
    let addr = "127.0.0.1:0".parse().unwrap();
    let _agent = fixture::start_with(addr, target.addr, &service, store.clone()).await;
    let orders = bounded(target.wait_orders(1)).await;
    assert_eq!(
        orders[0],
        json!({"term": 1, "sequence": 1, "load": ["new@1"], "unload": ["old@1"]})
    );
    bounded(target.wait_models(&["new@1"])).await;
    target.set_models(&["old@1"]);
    assert_eq!(bounded(target.wait_orders(2)).await[1]["sequence"], 2);
    let held = store.get("agents/pool-1").await.unwrap().unwrap();
    // Another agent takes the term; this one must send no further order.
    let successor = json!({"term": 2, "incarnation": id::Incarnation(9)}).to_string();
    let expect = Expect::Version(held.version);
    store.put(&held.key, expect, &successor).await.unwrap();
    target.set_models(&["newer@1"]);
    bounded(target.wait_polls(20)).await;
    assert_eq!(target.models(), ["newer@1"]);
}
