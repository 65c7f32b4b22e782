//! Tests of requests that execute at most once, over entries that share a store.

use laburnumcart::{
    unit,
    verdict, //
};
use laburnumcart_entry::driver;
use laburnumcart_platform::memory;

use crate::{
    agent,
    fixture, //
};

fn gated() -> agent::Behaviour {
    agent::Behaviour {
        gated: true,
        ..agent::Behaviour::default()
    }
}

fn request(outcome: &driver::Outcome) -> String {
    let answer: serde_json::Value = serde_json::from_str(outcome.as_ref().unwrap()).unwrap();
    answer["request"].as_str().unwrap().to_owned()
}

// A resend to another entry, during or after the execution, must get the first request's answer.
#[tokio::test]
async fn resend_joins() {
    let pool = agent::start("pool", gated()).await;
    let store = memory::Memory::new();
    let agents = [("pool", pool.addr)];
    let one = fixture::Fixture::start_with_store(store.clone(), &agents).await;
    let two = fixture::Fixture::start_with_store(store, &agents).await;
    let first = one.start_request("post", serde_json::json!(7));
    fixture::within_limit(pool.fake.wait_started(1)).await;
    let again = two.start_request("post", serde_json::json!(7));
    pool.fake.gate.add_permits(9);
    let (_, first) = fixture::collect(first).await;
    let (_, again) = fixture::collect(again).await;
    let (_, late) = fixture::collect(two.start_request("post", serde_json::json!(7))).await;
    assert_eq!(request(&first), request(&again));
    assert_eq!(request(&first), request(&late));
    assert_eq!(pool.fake.calls().len(), 1);
}

// A key that is reused for other content must not be given the answer of the first request.
#[tokio::test]
async fn key_reused_is_refused() {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let (_, first) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    assert!(first.is_ok());
    let (_, second) = fixture::collect(fixture.start_request("post", serde_json::json!(2))).await;
    let refusal = second.unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::KeyReused);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(pool.fake.calls().len(), 1);
}

// Without a durable claim, a non-idempotent request must be refused as not run and reach no target.
#[tokio::test]
async fn store_down_is_refused() {
    let pool = agent::start("pool", agent::Behaviour::default()).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    fixture.store.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let (_, outcome) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::ClaimUnavailable);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry.is_some());
    assert!(pool.fake.calls().is_empty());
}

// A request refused as not run must release its claim, or a resend with its key is not executed.
#[tokio::test]
async fn claim_of_a_refused_request_is_released() {
    let behaviour = agent::Behaviour {
        refuse: 4,
        ..agent::Behaviour::default()
    };
    let pool = agent::start("pool", behaviour).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    let (_, refused) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    assert_eq!(refused.unwrap_err().verdict, verdict::Verdict::NotRun);
    let (_, outcome) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    assert_eq!(fixture::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
}

// If the disconnect stopped a non-idempotent request, a resend could not get its answer.
#[tokio::test]
async fn disconnect_does_not_stop_a_claimed_request() {
    let pool = agent::start("pool", gated()).await;
    let fixture = fixture::Fixture::start(&[("pool", pool.addr)]).await;
    drop(fixture.start_request("post", serde_json::json!(1)));
    fixture::within_limit(pool.fake.wait_started(1)).await;
    pool.fake.gate.add_permits(9);
    let (_, outcome) = fixture::collect(fixture.start_request("post", serde_json::json!(1))).await;
    assert_eq!(fixture::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
    let stopped = fixture
        .running
        .drain()
        .wait(unit::Period(fixture::LIMIT))
        .await;
    assert_eq!(stopped.unfinished, 0);
}
