//! Requests that execute at most once, over two entries that share an object service.

use laburnumcart::{
    unit,
    verdict, //
};
use laburnumcart_entry::driver;
use laburnumcart_platform::memory;

use crate::{
    agent,
    bench, //
};

fn gated() -> agent::Plan {
    agent::Plan {
        gated: true,
        ..agent::Plan::default()
    }
}

fn request(outcome: &driver::Outcome) -> String {
    let answer: serde_json::Value = serde_json::from_str(outcome.as_ref().unwrap()).unwrap();
    answer["request"].as_str().unwrap().to_owned()
}

// A caller sends its request again through another entry while the first still runs, and once more
// after it has ended. It sees the one answer each time: the claim names the entry that runs the
// request, and the others wait for its answer or fetch it.
#[tokio::test]
async fn resend_joins() {
    let pool = agent::start("pool", gated()).await;
    let store = memory::Memory::new();
    let agents = [("pool", pool.addr)];
    let one = bench::Bench::start_on(store.clone(), &agents).await;
    let two = bench::Bench::start_on(store, &agents).await;
    let first = one.run("post", serde_json::json!(7));
    bench::within(pool.fake.called(1)).await;
    let again = two.run("post", serde_json::json!(7));
    pool.fake.gate.add_permits(9);
    let (_, first) = bench::finish(first).await;
    let (_, again) = bench::finish(again).await;
    let (_, late) = bench::finish(two.run("post", serde_json::json!(7))).await;
    assert_eq!(request(&first), request(&again));
    assert_eq!(request(&first), request(&late));
    assert_eq!(pool.fake.calls().len(), 1);
}

// A caller uses a key a second time for another content. It is refused as not run: an answer to the
// first request would be taken for one to the second.
#[tokio::test]
async fn key_reused_is_refused() {
    let pool = agent::start("pool", agent::Plan::default()).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let (_, first) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    assert!(first.is_ok());
    let (_, second) = bench::finish(bench.run("post", serde_json::json!(2))).await;
    let refusal = second.unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::KeyReused);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(pool.fake.calls().len(), 1);
}

// The object service is down when a caller sends a non-idempotent request. It is refused at once as
// not run and told when to come again; nothing reaches a target without a durable claim.
#[tokio::test]
async fn store_down_is_refused() {
    let pool = agent::start("pool", agent::Plan::default()).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    bench.store.set_faults(memory::Faults {
        down: true,
        ..memory::Faults::default()
    });
    let (_, outcome) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    let refusal = outcome.unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::ClaimUnavailable);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry.is_some());
    assert!(pool.fake.calls().is_empty());
}

// All attempts of a claimed request are refused as not run, and its caller is told so. It sends
// again with the same key, as it was told to, and the request runs: the claim was given back.
#[tokio::test]
async fn not_run_gives_back() {
    let plan = agent::Plan {
        refuse: 4,
        ..agent::Plan::default()
    };
    let pool = agent::start("pool", plan).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    let (_, refused) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    assert_eq!(refused.unwrap_err().verdict, verdict::Verdict::NotRun);
    let (_, outcome) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    assert_eq!(bench::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
}

// The caller of a non-idempotent request goes away while it runs. The request is completed all the
// same, so that the caller finds its answer when it sends again.
#[tokio::test]
async fn caller_gone_completes() {
    let pool = agent::start("pool", gated()).await;
    let bench = bench::Bench::start(&[("pool", pool.addr)]).await;
    drop(bench.run("post", serde_json::json!(1)));
    bench::within(pool.fake.called(1)).await;
    pool.fake.gate.add_permits(9);
    let (_, outcome) = bench::finish(bench.run("post", serde_json::json!(1))).await;
    assert_eq!(bench::output(outcome)["post"]["input"], 1);
    assert_eq!(pool.fake.calls().len(), 1);
    let stopped = bench.running.drain().wait(unit::Period(bench::LIMIT)).await;
    assert_eq!(stopped.unfinished, 0);
}
