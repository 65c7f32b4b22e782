//! Answers and ages of the relay cache.

use std::time;

use proptest::prelude::*;
use rstest::rstest;

use laburnumcart::{
    freshness,
    unit, //
};
use laburnumcart_gateway::relay::{
    Answer,
    FollowRequest,
    Topic,
    cache, //
};
use laburnumcart_platform::{
    follow,
    store, //
};

fn at(millis: u64) -> freshness::BootTime {
    freshness::BootTime(time::Duration::from_millis(millis))
}

fn ask(after: Option<u64>, limit: u64) -> FollowRequest {
    FollowRequest {
        topic: Topic::Table,
        after: after.map(store::Revision),
        wait: unit::Period::from_millis(500),
        max_age: unit::Period::from_millis(limit),
        wait_fresh: false,
        allow_large: false,
        signals: None,
        accept: None,
    }
}

fn snapshot(revision: u64, value: &str) -> follow::Snapshot {
    let object = store::Object {
        key: "table".into(),
        version: store::Version(revision),
        value: value.into(),
    };
    let mut snapshot = follow::Snapshot::default();
    let listing = store::Listing {
        revision: store::Revision(revision),
        objects: vec![object],
        ..Default::default()
    };
    snapshot.apply(listing).unwrap();
    snapshot
}

fn copy(revision: u64, read: u64) -> cache::CachedTopic {
    let mut copy = cache::CachedTopic::default();
    copy.update(&snapshot(revision, "{}"), at(read));
    copy
}

fn age(answer: Option<Answer>) -> unit::Period {
    match answer {
        Some(Answer::Changes(changes)) => changes.age,
        Some(Answer::Listing(listing)) => listing.age,
        answer => panic!("{answer:?}"),
    }
}

#[test]
fn a_change_is_answered_at_once_and_the_current_revision_waits() {
    let mut copy = copy(6, 900);
    copy.update(&snapshot(7, "{}"), at(1000));
    let Some(Answer::Changes(changes)) = copy.answer(&ask(Some(6), 1200), at(1000), at(1000))
    else {
        panic!("a change");
    };
    assert_eq!(changes.events.len(), 1);
    let same = copy.answer(&ask(Some(7), 1200), at(1000), at(1000));
    assert_eq!(same, None);
    // Deletions before the first listing are unknown.
    let older = copy.answer(&ask(Some(5), 1200), at(1000), at(1000));
    assert_eq!(older, Some(Answer::Compacted));
}

// A reader that lost the store misses revocations of keys, so others must ask elsewhere.
#[rstest]
#[case(1200, true)]
#[case(1201, false)]
fn data_older_than_the_limit_is_stale(#[case] later: u64, #[case] is_fresh: bool) {
    let copy = copy(7, 1000);
    let answer = copy.answer(&ask(None, 1200), at(1000 + later), at(1000 + later));
    assert_eq!(answer != Some(Answer::Stale), is_fresh);
    let hold = FollowRequest {
        wait_fresh: true,
        ..ask(None, 1200)
    };
    let answer = copy.answer(&hold, at(1000 + later), at(1000 + later));
    assert_eq!(answer.is_some(), is_fresh, "a request for fresh data waits");
}

#[test]
fn the_age_is_that_at_the_arrival_of_the_request() {
    let mut copy = copy(7, 1000);
    assert_eq!(
        age(copy.answer(&ask(None, 1200), at(1400), at(1400))).as_millis(),
        400
    );
    // The request has waited since 1.4 s, so that data read at 1.6 s has no age.
    copy.update(&snapshot(8, "{}"), at(1600));
    assert_eq!(
        age(copy.answer(&ask(Some(7), 1200), at(1400), at(1610))).as_millis(),
        0
    );
    assert_eq!(
        age(copy.answer(&ask(Some(7), 1200), at(1650), at(1700))).as_millis(),
        50
    );
}

#[test]
fn an_older_read_never_ages_the_cache() {
    let mut copy = copy(7, 1000);
    copy.update(&snapshot(7, "{}"), at(400));
    assert_eq!(
        age(copy.answer(&ask(None, 1200), at(1100), at(1100))).as_millis(),
        100
    );
}

// Sent to all processes at once, a large change would fill the reader's link until it seems down.
#[test]
fn large_changes_are_left_to_the_store() {
    let mut copy = copy(6, 900);
    let value = format!("\"{}\"", "x".repeat(20_000));
    copy.update(&snapshot(7, &value), at(1000));
    let small = ask(Some(6), 1200);
    let answer = copy.answer(&small, at(1000), at(1000));
    assert_eq!(answer, Some(Answer::TooLarge));
    let large = FollowRequest {
        allow_large: true,
        ..small
    };
    let answer = copy.answer(&large, at(1000), at(1000));
    assert!(matches!(answer, Some(Answer::Changes(_))));
}

proptest! {
    /// If data seemed younger than the read it comes from, revoked keys would be accepted too long.
    #[test]
    fn ages_never_shrink(pauses in prop::collection::vec(prop::array::uniform4(0u64..3000), 1..6)) {
        let read = 10_000;
        let mut now = read;
        let mut known = read;
        // Each process gets the data from the one before, with pauses anywhere.
        for [before, request, held, response] in pauses {
            let mut copy = cache::CachedTopic::default();
            copy.update(&snapshot(7, "{}"), at(known));
            let asked = now + before;
            let arrived = asked + request;
            let answered = arrived + held;
            let age = age(copy.answer(&ask(None, 1_000_000), at(arrived), at(answered)));
            now = answered + response;
            // A process subtracts the age from the time of its request, not of the answer.
            let moment = at(asked).before(age.0);
            prop_assert!(moment <= at(read), "{moment} of a read at {read}");
            known = moment.0.as_millis() as u64;
        }
    }
}
