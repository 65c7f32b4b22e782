//! Outcome of writes whose answer was lost.

use std::time;

use rstest::rstest;
use tokio::time::Instant;

use laburnumcart::unit;
use laburnumcart_platform::{
    memory, settle,
    store::{
        self,
        Store, //
    },
};

const OURS: settle::Write<'_> = settle::Write {
    key: "a",
    expect: store::Expect::Absent,
    value: "{\"nonce\":1}",
};

fn deadline() -> Instant {
    Instant::now() + time::Duration::from_secs(10)
}

fn set_faults(memory: &memory::Memory, set: impl FnOnce(&mut memory::Faults)) {
    let mut faults = memory::Faults::default();
    set(&mut faults);
    memory.set_faults(faults);
}

async fn value(memory: &memory::Memory) -> (store::Version, String) {
    let object = memory.get("a").await.unwrap().unwrap();
    (object.version, object.value)
}

// A write whose answer is lost must not be repeated, even if the read after it is stale at first.
#[rstest]
#[case::fresh(0)]
#[case::stale(5)]
#[tokio::test(start_paused = true)]
async fn lost_answer_is_settled_as_written(#[case] stale: u64) {
    let memory = memory::Memory::new();
    set_faults(&memory, |faults| {
        faults.lose_answers = 1;
        faults.stale = unit::Period::from_secs(stale);
    });
    let outcome = settle::put(&memory, OURS, deadline(), settle::judge_created(OURS)).await;
    set_faults(&memory, |_| ());
    let (version, text) = value(&memory).await;
    assert_eq!(outcome, Ok(settle::Outcome::Written(version)));
    assert_eq!(text, OURS.value);
    assert_eq!(memory.revision(), store::Revision(1));
}

// An unchanged object does not prove that the write is lost: it may be in flight and is sent again.
#[tokio::test(start_paused = true)]
async fn lost_call_is_sent_again() {
    let memory = memory::Memory::new();
    set_faults(&memory, |faults| faults.lose_calls = 3);
    let outcome = settle::put(&memory, OURS, deadline(), settle::judge_created(OURS)).await;
    let (version, _) = value(&memory).await;
    assert_eq!(outcome, Ok(settle::Outcome::Written(version)));
    assert_eq!(memory.revision(), store::Revision(1));
}

// The write is lost on its way and another writer creates the object first.
#[tokio::test(start_paused = true)]
async fn lost_call_before_another_write_is_not_written() {
    let memory = memory::Memory::new();
    set_faults(&memory, |faults| faults.lose_calls = 1);
    let first = memory.put(OURS.key, OURS.expect, OURS.value).await;
    assert_eq!(first, Err(store::Failure::Unanswered));
    memory.put("a", store::Expect::Absent, "2").await.unwrap();
    let outcome = settle::resolve(&memory, OURS, deadline(), settle::judge_created(OURS)).await;
    assert_eq!(outcome, settle::Outcome::NotWritten);
    assert_eq!(value(&memory).await.1, "2");
}

// The write may have taken effect before it was overwritten, so "not written" would be a guess.
#[tokio::test(start_paused = true)]
async fn overwritten_object_is_unclear_unless_the_judge_can_tell() {
    let memory = memory::Memory::new();
    let version = memory.put("a", store::Expect::Absent, "0").await.unwrap();
    let expect = store::Expect::Version(version);
    let write = settle::Write { expect, ..OURS };
    memory.put("a", expect, "{\"nonce\":2}").await.unwrap();
    let outcome = settle::resolve(&memory, write, deadline(), settle::judge_replaced(write)).await;
    assert_eq!(outcome, settle::Outcome::Unclear);
    // Only a judge that knows the values can decide.
    let judge = |_: &store::Object| settle::Judgement::NotOurs;
    let outcome = settle::resolve(&memory, write, deadline(), judge).await;
    assert_eq!(outcome, settle::Outcome::NotWritten);
}

// The caller must get a result by its deadline although the object cannot be read again.
#[tokio::test(start_paused = true)]
async fn outage_until_the_deadline_leaves_the_outcome_unclear() {
    let memory = memory::Memory::new();
    set_faults(&memory, |faults| faults.down = true);
    let until = deadline();
    let outcome = settle::resolve(&memory, OURS, until, settle::judge_created(OURS)).await;
    assert_eq!(outcome, settle::Outcome::Unclear);
    assert!(Instant::now() <= until + time::Duration::from_millis(1));
}

// The answer is lost and the service is down for 3 s. Afterwards the object has the caller's value.
#[tokio::test(start_paused = true)]
async fn outcome_is_found_after_a_short_outage() {
    let memory = memory::Memory::new();
    memory.put(OURS.key, OURS.expect, OURS.value).await.unwrap();
    set_faults(&memory, |faults| faults.down = true);
    let recovery = async {
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        set_faults(&memory, |_| ());
    };
    let settled = settle::resolve(&memory, OURS, deadline(), settle::judge_created(OURS));
    let (outcome, ()) = tokio::join!(settled, recovery);
    assert_eq!(outcome, settle::Outcome::Written(store::Version(1)));
}

#[tokio::test(start_paused = true)]
async fn conflict_and_refusal_are_returned_at_once() {
    let memory = memory::Memory::new();
    memory.put("a", store::Expect::Absent, "0").await.unwrap();
    let outcome = settle::put(&memory, OURS, deadline(), settle::judge_created(OURS)).await;
    assert_eq!(outcome, Ok(settle::Outcome::NotWritten));
    set_faults(&memory, |faults| faults.down = true);
    let outcome = settle::put(&memory, OURS, deadline(), settle::judge_created(OURS)).await;
    assert!(matches!(outcome, Err(store::Failure::Unavailable { .. })));
}
