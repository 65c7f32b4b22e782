//! Writes whose answer was lost.

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

fn soon() -> Instant {
    Instant::now() + time::Duration::from_secs(10)
}

fn faults(memory: &memory::Memory, set: impl FnOnce(&mut memory::Faults)) {
    let mut faults = memory::Faults::default();
    set(&mut faults);
    memory.set_faults(faults);
}

async fn value(memory: &memory::Memory) -> (store::Version, String) {
    let object = memory.get("a").await.unwrap().unwrap();
    (object.version, object.value)
}

// The caller sees one success. The write takes effect and its answer is lost, once or several times
// in a row; the object is read again and shows the caller's own value, so it is not written twice.
#[rstest]
#[case::fresh(0)]
#[case::stale(5)]
#[tokio::test(start_paused = true)]
async fn lost_answer_is_settled_as_written(#[case] stale: u64) {
    let memory = memory::Memory::new();
    faults(&memory, |faults| {
        faults.lose_answers = 1;
        faults.stale = unit::Period::from_secs(stale);
    });
    let outcome = settle::put(&memory, OURS, soon(), settle::judge_created(OURS)).await;
    faults(&memory, |_| ());
    let (version, text) = value(&memory).await;
    assert_eq!(outcome, Ok(settle::Outcome::Written(version)));
    assert_eq!(text, OURS.value);
    assert_eq!(memory.revision(), store::Revision(1));
}

// The caller sees one success. The first call is lost on its way; the object is still as expected,
// which does not prove that the call is gone, so the same conditional write goes out again.
#[tokio::test(start_paused = true)]
async fn lost_call_is_sent_again() {
    let memory = memory::Memory::new();
    faults(&memory, |faults| faults.lose_calls = 3);
    let outcome = settle::put(&memory, OURS, soon(), settle::judge_created(OURS)).await;
    let (version, _) = value(&memory).await;
    assert_eq!(outcome, Ok(settle::Outcome::Written(version)));
    assert_eq!(memory.revision(), store::Revision(1));
}

// The caller learns that it has lost a race. Its call is lost on its way, another writer creates
// the object, and the read shows a value that is not the caller's.
#[tokio::test(start_paused = true)]
async fn lost_call_behind_another_writer_is_not_written() {
    let memory = memory::Memory::new();
    faults(&memory, |faults| faults.lose_calls = 1);
    let first = memory.put(OURS.key, OURS.expect, OURS.value).await;
    assert_eq!(first, Err(store::Failure::Unanswered));
    memory.put("a", store::Expect::Absent, "2").await.unwrap();
    let outcome = settle::resolve(&memory, OURS, soon(), settle::judge_created(OURS)).await;
    assert_eq!(outcome, settle::Outcome::NotWritten);
    assert_eq!(value(&memory).await.1, "2");
}

// The caller is not told "not written" on a mere guess. Its write may have taken effect and been
// overwritten by another operator before the object was read again; only a judge that knows the
// values can tell.
#[tokio::test(start_paused = true)]
async fn overwritten_object_leaves_it_open_unless_the_values_tell() {
    let memory = memory::Memory::new();
    let version = memory.put("a", store::Expect::Absent, "0").await.unwrap();
    let expect = store::Expect::Version(version);
    let write = settle::Write { expect, ..OURS };
    memory.put("a", expect, "{\"nonce\":2}").await.unwrap();
    let outcome = settle::resolve(&memory, write, soon(), settle::judge_replaced(write)).await;
    assert_eq!(outcome, settle::Outcome::Unclear);
    let judge = |_: &store::Object| settle::Judgement::NotOurs;
    let outcome = settle::resolve(&memory, write, soon(), judge).await;
    assert_eq!(outcome, settle::Outcome::NotWritten);
}

// The caller learns in bounded time that nothing can be told. The answer is lost and the service
// goes down before the object is read again.
#[tokio::test(start_paused = true)]
async fn outage_during_doubt_is_reported_as_unclear() {
    let memory = memory::Memory::new();
    faults(&memory, |faults| faults.down = true);
    let until = soon();
    let outcome = settle::resolve(&memory, OURS, until, settle::judge_created(OURS)).await;
    assert_eq!(outcome, settle::Outcome::Unclear);
    assert!(Instant::now() <= until + time::Duration::from_millis(1));
}

// The caller sees a success after a short outage. The answer is lost, the service is down for a
// while, and the object shows the caller's value when it is back.
#[tokio::test(start_paused = true)]
async fn doubt_outlasts_a_short_outage() {
    let memory = memory::Memory::new();
    memory.put(OURS.key, OURS.expect, OURS.value).await.unwrap();
    faults(&memory, |faults| faults.down = true);
    let back = async {
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        faults(&memory, |_| ());
    };
    let settled = settle::resolve(&memory, OURS, soon(), settle::judge_created(OURS));
    let (outcome, ()) = tokio::join!(settled, back);
    assert_eq!(outcome, settle::Outcome::Written(store::Version(1)));
}

#[tokio::test(start_paused = true)]
async fn conflict_and_refusal_are_final_at_once() {
    let memory = memory::Memory::new();
    memory.put("a", store::Expect::Absent, "0").await.unwrap();
    let outcome = settle::put(&memory, OURS, soon(), settle::judge_created(OURS)).await;
    assert_eq!(outcome, Ok(settle::Outcome::NotWritten));
    faults(&memory, |faults| faults.down = true);
    let outcome = settle::put(&memory, OURS, soon(), settle::judge_created(OURS)).await;
    assert!(matches!(outcome, Err(store::Failure::Unavailable { .. })));
}
