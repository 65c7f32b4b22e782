//! Decisions on hedges and early refusals, on a paused clock.

use std::{
    sync::Arc,
    time, //
};

use laburnumcart::{
    hedge,
    id,
    unit,
    verdict, //
};
use laburnumcart_entry::{
    control,
    policy,
    request, //
};
use tokio::time as clock;

use crate::bench;

const TYPICAL: time::Duration = time::Duration::from_millis(20);

fn head(ratio: f64, deadline: &str) -> request::Head {
    let mut bundle = bench::bundle();
    bundle.limits.hedge_ratio = unit::Share(ratio);
    let rules = control::Rules::new(id::Generation(1), bundle);
    let asked = request::Asked {
        pipeline: "echo".to_owned(),
        token: Some(bench::TOKEN.to_owned()),
        deadline: Some(deadline.to_owned()),
        ..request::Asked::default()
    };
    request::Head::check(asked, Arc::new(rules), clock::Instant::now()).unwrap()
}

async fn measured(head: &request::Head) -> Arc<policy::Policy> {
    let policy = Arc::new(policy::Policy::default());
    let stage = &head.stages().stages[0].name;
    for _ in 0..100 {
        policy.took(head, stage, TYPICAL, TYPICAL);
    }
    policy
}

#[tokio::test(start_paused = true)]
async fn hedges_stragglers_only() {
    let head = head(0.05, "20s");
    let policy = measured(&head).await;
    let stage = &head.stages().stages[0];
    let decide = |elapsed, expected| policy.hedge(&head, stage, elapsed, expected);
    let slow = 10 * TYPICAL;
    assert_eq!(decide(slow, TYPICAL), hedge::Decision::Never, "not warm");
    clock::advance(time::Duration::from_secs(11)).await;
    assert!(matches!(
        decide(TYPICAL / 2, TYPICAL),
        hedge::Decision::Wait(_)
    ));
    assert!(
        matches!(decide(slow, slow), hedge::Decision::Wait(_)),
        "waits as expected"
    );
    assert_eq!(decide(slow, TYPICAL), hedge::Decision::Hedge);
}

#[tokio::test(start_paused = true)]
async fn no_share_no_hedges() {
    let head = head(0.0, "20s");
    let policy = measured(&head).await;
    clock::advance(time::Duration::from_secs(11)).await;
    let stage = &head.stages().stages[0];
    let decision = policy.hedge(&head, stage, 10 * TYPICAL, TYPICAL);
    assert_eq!(decision, hedge::Decision::Never);
}

#[tokio::test(start_paused = true)]
async fn refuses_what_cannot_finish() {
    let head = head(0.05, "5ms");
    let policy = measured(&head).await;
    let refusal = policy.admit(&head).unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::DeadlineTooShort);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry.is_some());
}

// A pipeline goes away with one bundle and a new one of the same name comes with the next. Refusals
// are judged by what the new one takes, and nothing of the old one is kept.
#[tokio::test(start_paused = true)]
async fn gone_stages_are_forgotten() {
    let head = head(0.05, "5ms");
    let policy = measured(&head).await;
    let rest = |index| policy.rest(&head, index);
    policy.prune(&head.rules.bundle);
    assert!(rest(0) > time::Duration::ZERO, "still there");
    let mut without = bench::bundle();
    without.pipelines.remove(&head.pipeline);
    policy.prune(&without);
    assert_eq!(rest(0), time::Duration::ZERO);
    assert!(policy.admit(&head).is_ok());
}
