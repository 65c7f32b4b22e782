//! Ages of what processes tell each other of the store.

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

fn at(millis: u64) -> freshness::Moment {
    freshness::Moment(time::Duration::from_millis(millis))
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
    copy.update(&snapshot(revision, "{}"), at(read), at(read));
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
fn a_change_is_told_at_once_and_nothing_waits() {
    let mut copy = copy(6, 900);
    copy.update(&snapshot(7, "{}"), at(1000), at(1000));
    let Some(Answer::Changes(changes)) = copy.answer(&ask(Some(6), 1200), at(1000), at(1000))
    else {
        panic!("a change");
    };
    assert_eq!(changes.events.len(), 1);
    let same = copy.answer(&ask(Some(7), 1200), at(1000), at(1000));
    assert_eq!(same, None);
    // Of deletions before the first listing nothing is known.
    let older = copy.answer(&ask(Some(5), 1200), at(1000), at(1000));
    assert_eq!(older, Some(Answer::Compacted));
}

// A reader has lost its way to the store, and has not heard that a key was taken away. Those that ask
// it hear that it knows nothing young enough, and turn to others, rather than go on with the key.
#[rstest]
#[case(1200, true)]
#[case(1201, false)]
fn what_is_older_than_the_limit_is_not_told(#[case] later: u64, #[case] told: bool) {
    let copy = copy(7, 1000);
    let answer = copy.answer(&ask(None, 1200), at(1000 + later), at(1000 + later));
    assert_eq!(answer != Some(Answer::Stale), told);
    let hold = FollowRequest {
        wait_fresh: true,
        ..ask(None, 1200)
    };
    let answer = copy.answer(&hold, at(1000 + later), at(1000 + later));
    assert_eq!(answer.is_some(), told, "one that holds waits");
}

#[test]
fn the_age_is_that_of_the_moment_when_the_question_came() {
    let mut copy = copy(7, 1000);
    assert_eq!(
        age(copy.answer(&ask(None, 1200), at(1400), at(1400))).as_millis(),
        400
    );
    // It has waited since 1.4 s; what was read at 1.6 s is younger than the question.
    copy.update(&snapshot(8, "{}"), at(1600), at(1610));
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
fn an_older_read_never_makes_a_copy_older() {
    let mut copy = copy(7, 1000);
    copy.update(&snapshot(7, "{}"), at(400), at(1100));
    assert_eq!(
        age(copy.answer(&ask(None, 1200), at(1100), at(1100))).as_millis(),
        100
    );
}

// A configuration of hundreds of kilobytes changes. Sent to all that ask in one moment it would fill
// the reader's link for seconds, while they hold the reader to be gone; they fetch it themselves.
#[test]
fn large_changes_are_left_to_the_store() {
    let mut copy = copy(6, 900);
    let value = format!("\"{}\"", "x".repeat(20_000));
    copy.update(&snapshot(7, &value), at(1000), at(1000));
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
    /// Knowledge goes through a chain of processes, with pauses of any length before, on and after
    /// each exchange. However long they are, the last one never holds it for younger than the read
    /// that it comes from: keys that are taken away would work for longer than is promised.
    #[test]
    fn ages_never_shrink(pauses in prop::collection::vec(prop::array::uniform4(0u64..3000), 1..6)) {
        let read = 10_000;
        let mut now = read;
        let mut known = read;
        for [before, way, held, back] in pauses {
            let mut copy = cache::CachedTopic::default();
            copy.update(&snapshot(7, "{}"), at(known), at(now));
            let asked = now + before;
            let arrived = asked + way;
            let told = arrived + held;
            let age = age(copy.answer(&ask(None, 1_000_000), at(arrived), at(told)));
            now = told + back;
            // As a process takes in an answer: its own question counts, not the answer's arrival.
            let moment = at(asked).before(age.0);
            prop_assert!(moment <= at(read), "{moment} of a read at {read}");
            known = moment.0.as_millis() as u64;
        }
    }
}
