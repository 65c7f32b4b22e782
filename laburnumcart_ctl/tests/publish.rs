//! Publication of head changes to an object service that loses calls and responses.

use rstest::rstest;
use tokio::task;

use laburnumcart::{
    head,
    id,
    unit, //
};
use laburnumcart_ctl::{
    error,
    publish, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

const LIMIT: unit::Period = unit::Period::from_secs(10);

type Outcome = Result<head::Head, error::Error>;

async fn accept(store: &memory::Memory, text: &str) -> Outcome {
    let change = head::Change::Accept(format!("{{\"bundle\":{text:?}}}"));
    let change = head::Publish::new(change, id::Nonce::random());
    publish::publish(store, change, LIMIT).await
}

async fn restore(store: &memory::Memory, generation: u64) -> Outcome {
    let change = head::Change::Restore(id::Generation(generation));
    let change = head::Publish::new(change, id::Nonce::random());
    publish::publish(store, change, LIMIT).await
}

async fn stored_head(store: &memory::Memory) -> head::Head {
    let object = store.get(head::KEY).await.expect("read").expect("a head");
    head::Head::parse(&object.value).expect("a head")
}

/// After lost calls, an accepted change could be reported as rejected, or the reverse.
#[rstest]
#[tokio::test(start_paused = true)]
async fn every_racing_operator_is_told_the_truth(#[values(0, 1, 3)] losses: u32) {
    let store = memory::Memory::new();
    accept(&store, "base").await.expect("accepted");
    store.set_faults(memory::Faults {
        slow: unit::Period::from_millis(5),
        lose_answers: losses,
        lose_calls: losses,
        ..Default::default()
    });
    let mut operators = task::JoinSet::new();
    for number in 0..12 {
        let store = store.clone();
        operators.spawn(async move { accept(&store, &format!("bundle {number}")).await });
    }
    let mut won = Vec::new();
    let mut lost = Vec::new();
    while let Some(outcome) = operators.join_next().await {
        match outcome.expect("no panic") {
            Ok(head) => won.push(head.accepted),
            Err(error::Error::Publish(head::PublishError::Conflict { winner })) => {
                lost.push(winner)
            }
            Err(error) => panic!("{error}"),
        }
    }
    // The accepted changes are exactly those in the history; each other one reports its winner.
    let head = stored_head(&store).await;
    let mut history: Vec<_> = head.history().copied().collect();
    history.reverse();
    won.sort_by_key(|accepted| accepted.generation);
    assert_eq!(
        won,
        history[1..],
        "changes reported as accepted differ from the history"
    );
    assert_eq!(won.len() + lost.len(), 12);
    assert!(lost.iter().all(|winner| history.contains(winner)));
}

/// After lost responses, the existing object and the nonce in the head must count as success.
#[tokio::test(start_paused = true)]
async fn lost_answers_do_not_accept_twice() {
    let store = memory::Memory::new();
    store.set_faults(memory::Faults {
        // The writes of the object and of the head.
        lose_answers: 2,
        ..Default::default()
    });
    let head = accept(&store, "a").await.expect("accepted");
    assert_eq!(head.accepted.generation, id::Generation(1));
    assert_eq!(stored_head(&store).await, head);
}

#[tokio::test(start_paused = true)]
async fn lost_calls_are_retried() {
    let store = memory::Memory::new();
    store.set_faults(memory::Faults {
        lose_calls: 2,
        ..Default::default()
    });
    let head = accept(&store, "a").await.expect("accepted");
    assert_eq!(stored_head(&store).await, head);
}

/// A restored bundle needs a new generation, so that every process switches to it.
#[tokio::test(start_paused = true)]
async fn rollback_creates_a_new_generation() {
    let store = memory::Memory::new();
    let first = accept(&store, "good").await.expect("accepted");
    let second = accept(&store, "bad").await.expect("accepted");
    let third = restore(&store, 1).await.expect("accepted");
    assert_eq!(third.accepted.generation, id::Generation(3));
    assert_eq!(third.accepted.digest, first.accepted.digest);
    // The replaced generation 2 can be restored in the same way.
    let fourth = restore(&store, 2).await.expect("accepted");
    assert_eq!(fourth.accepted.generation, id::Generation(4));
    assert_eq!(fourth.accepted.digest, second.accepted.digest);
}

/// The service rejects the envelope as invalid: the error is returned without retries.
#[tokio::test(start_paused = true)]
async fn rejected_object_is_reported_as_refused() {
    let store = memory::Memory::new();
    let change = head::Change::Accept("not JSON".into());
    let change = head::Publish::new(change, id::Nonce::random());
    let error = publish::publish(&store, change, LIMIT).await;
    assert_eq!(error.expect_err("refused").exit_code(), 5);
}

/// The service is down all the time: the error states that nothing was changed.
#[tokio::test(start_paused = true)]
async fn outage_is_reported_as_unavailable() {
    let store = memory::Memory::new();
    store.set_faults(memory::Faults {
        down: true,
        ..Default::default()
    });
    let error = accept(&store, "a").await.expect_err("down");
    assert_eq!(error.exit_code(), 4);
    assert!(matches!(error, error::Error::Unavailable), "{error}");
}

/// The bundle may be in force after a lost response; the error must not say that nothing changed.
#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_answer_leaves_doubt() {
    let store = FailingStore(memory::Memory::new());
    let change = head::Change::Accept("{}".into());
    let change = head::Publish::new(change, id::Nonce::random());
    let error = publish::publish(&store, change, LIMIT).await;
    let error = error.expect_err("down");
    assert!(matches!(error, error::Error::InDoubt), "{error}");
}

/// An object service that goes down after the first write of the head.
struct FailingStore(memory::Memory);

impl Store for FailingStore {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.0.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        let written = self.0.put(key, expect, value).await;
        if key != head::KEY {
            return written;
        }
        self.0.set_faults(memory::Faults {
            down: true,
            ..Default::default()
        });
        Err(store::Failure::Unanswered)
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.0.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.0.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: std::time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.0.watch(prefix, after, wait).await
    }
}
