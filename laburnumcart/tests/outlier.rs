//! Outliers are ejected, never more than the cap, and come back by trials.

use std::time;

use laburnumcart::{
    outlier::{
        self,
        Outcome,
        State, //
    },
    unit,
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

const USUAL: Outcome = Outcome::Success(time::Duration::from_millis(20));
const SLOW: Outcome = Outcome::Success(time::Duration::from_millis(200));

fn ejector(count: usize, now: Instant) -> (outlier::Detector, Vec<outlier::TargetKey>) {
    let mut ejector = outlier::Detector::new(unit::Share(0.3), now);
    let keys = (0..count).map(|_| ejector.add()).collect();
    (ejector, keys)
}

proptest! {
    #[test]
    fn ejected_share_never_above_the_cap(
        count in 1usize..20,
        steps in prop::collection::vec((0usize..20, 0u8..8, 0u64..2000), 1..500),
    ) {
        let mut now = Instant::now();
        let (mut ejector, mut keys) = ejector(count, now);
        for (i, step, millis) in steps {
            now += time::Duration::from_millis(millis);
            let key = keys[i % keys.len()];
            match step {
                0 if keys.len() > 1 => ejector.remove(keys.swap_remove(i % keys.len())),
                1 => ejector.record_send(key, now),
                2 => ejector.record_outcome(key, USUAL, now),
                3 => ejector.record_outcome(key, SLOW, now),
                _ => ejector.record_outcome(key, Outcome::Failure, now),
            }
            let out = keys.iter().filter(|k| ejector.state(**k) != State::Ready).count();
            prop_assert_eq!(out, ejector.ejected_count());
            prop_assert!(out as f64 <= 0.3 * keys.len() as f64);
        }
    }
}

/// One of ten targets is far slower, or fails half of its calls, while the others work. It is out
/// after the next comparison, and none of the others is.
#[rstest]
#[case::slow(SLOW, SLOW)]
#[case::failing(USUAL, Outcome::Failure)]
fn outlier_is_ejected(#[case] even: Outcome, #[case] odd: Outcome) {
    let mut now = Instant::now();
    let (mut ejector, keys) = ejector(10, now);
    for step in 0..20 {
        now += time::Duration::from_millis(300);
        ejector.record_outcome(keys[0], if step % 2 == 0 { even } else { odd }, now);
        keys[1..]
            .iter()
            .for_each(|key| ejector.record_outcome(*key, USUAL, now));
    }
    assert_ne!(ejector.state(keys[0]), State::Ready);
    assert_eq!(ejector.ejected_count(), 1);
}

/// A target fails all calls, recovers later, and is tried by single calls. A failed trial keeps it
/// out for longer; three good ones bring it back.
#[test]
fn half_open_trials() {
    let mut now = Instant::now();
    let (mut ejector, keys) = ejector(10, now);
    let bad = keys[0];
    (0..5).for_each(|_| ejector.record_outcome(bad, Outcome::Failure, now));
    let State::Ejected(first) = ejector.state(bad) else {
        panic!("not ejected");
    };
    // The answer to a call from before the ejection is no trial.
    ejector.record_outcome(bad, USUAL, now);
    assert!(!ejector.can_send(bad, now));

    now = first;
    ejector.record_send(bad, now);
    assert!(!ejector.can_send(bad, now));
    ejector.record_outcome(bad, Outcome::Failure, now);
    let State::Ejected(second) = ejector.state(bad) else {
        panic!("not ejected again");
    };
    assert!(second - first > time::Duration::from_secs(5));

    now = second;
    for _ in 0..3 {
        assert!(ejector.can_send(bad, now));
        ejector.record_send(bad, now);
        ejector.record_outcome(bad, USUAL, now);
    }
    assert_eq!(
        (ejector.state(bad), ejector.ejected_count()),
        (State::Ready, 0)
    );
}

/// The caller of a trial dies, so that its end is never told. The target must be tried again.
#[test]
fn lost_trial_is_given_up() {
    let now = Instant::now();
    let (mut ejector, keys) = ejector(10, now);
    (0..5).for_each(|_| ejector.record_outcome(keys[0], Outcome::Failure, now));
    let trial = now + time::Duration::from_secs(5);
    ejector.record_send(keys[0], trial);
    assert!(ejector.can_send(keys[0], trial + time::Duration::from_secs(31)));
}
