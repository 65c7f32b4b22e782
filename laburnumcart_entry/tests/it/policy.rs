//! Tests of the policy's decisions on hedges and admission, with a paused clock.

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

use crate::fixture;

const TYPICAL: time::Duration = time::Duration::from_millis(20);

fn head(ratio: f64, deadline: &str) -> request::Head {
    let mut bundle = fixture::bundle();
    bundle.limits.hedge_ratio = unit::Share(ratio);
    let rules = control::Rules::new(id::Generation(1), bundle);
    let unchecked = request::Unchecked {
        pipeline: "echo".to_owned(),
        token: Some(fixture::TOKEN.to_owned()),
        deadline: Some(deadline.to_owned()),
        ..request::Unchecked::default()
    };
    request::Head::check(unchecked, Arc::new(rules), clock::Instant::now()).unwrap()
}

async fn policy_with_samples(head: &request::Head) -> Arc<policy::Policy> {
    let policy = Arc::new(policy::Policy::default());
    let stage = &head.definition().stages[0].name;
    for _ in 0..100 {
        policy.record_duration(head, stage, TYPICAL, TYPICAL);
    }
    policy
}

#[tokio::test(start_paused = true)]
async fn hedges_stragglers_only() {
    let head = head(0.05, "20s");
    let policy = policy_with_samples(&head).await;
    let stage = &head.definition().stages[0];
    let decide = |elapsed, expected| policy.decide_hedge(&head, stage, elapsed, expected);
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
async fn zero_ratio_disables_hedging() {
    let head = head(0.0, "20s");
    let policy = policy_with_samples(&head).await;
    clock::advance(time::Duration::from_secs(11)).await;
    let stage = &head.definition().stages[0];
    let decision = policy.decide_hedge(&head, stage, 10 * TYPICAL, TYPICAL);
    assert_eq!(decision, hedge::Decision::Never);
}

#[tokio::test(start_paused = true)]
async fn deadline_below_the_expected_time_is_refused() {
    let head = head(0.05, "5ms");
    let policy = policy_with_samples(&head).await;
    let refusal = policy.admit(&head).unwrap_err();
    assert_eq!(refusal.reason, verdict::Reason::DeadlineTooShort);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert!(refusal.retry.is_some());
}

// A new pipeline of the same name must not be refused by the durations of a removed one.
#[tokio::test(start_paused = true)]
async fn durations_of_removed_stages_are_dropped() {
    let head = head(0.05, "5ms");
    let policy = policy_with_samples(&head).await;
    let rest = |index| policy.expected_rest(&head, index);
    policy.prune(&head.rules.bundle);
    assert!(rest(0) > time::Duration::ZERO, "still there");
    let mut without = fixture::bundle();
    without.pipelines.remove(&head.pipeline);
    policy.prune(&without);
    assert_eq!(rest(0), time::Duration::ZERO);
    assert!(policy.admit(&head).is_ok());
}
