//! Outliers are ejected within the cap, and restored by probes.

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

const FAST: Outcome = Outcome::Success(time::Duration::from_millis(20));
const SLOW: Outcome = Outcome::Success(time::Duration::from_millis(200));

fn detector(count: usize, now: Instant) -> (outlier::Detector, Vec<outlier::TargetKey>) {
    let mut detector = outlier::Detector::new(unit::Share(0.3), now);
    let keys = (0..count).map(|_| detector.add()).collect();
    (detector, keys)
}

proptest! {
    #[test]
    fn ejected_targets_stay_within_the_cap(
        count in 1usize..20,
        steps in prop::collection::vec((0usize..20, 0u8..8, 0u64..2000), 1..500),
    ) {
        let mut now = Instant::now();
        let (mut detector, mut keys) = detector(count, now);
        for (i, step, millis) in steps {
            now += time::Duration::from_millis(millis);
            let key = keys[i % keys.len()];
            match step {
                0 if keys.len() > 1 => detector.remove(keys.swap_remove(i % keys.len())),
                1 => detector.record_send(key, now),
                2 => detector.record_outcome(key, FAST, now),
                3 => detector.record_outcome(key, SLOW, now),
                _ => detector.record_outcome(key, Outcome::Failure, now),
            }
            let ejected = keys.iter().filter(|k| detector.state(**k) != State::Ready).count();
            prop_assert_eq!(ejected, detector.ejected_count());
            prop_assert!(ejected as f64 <= 0.3 * keys.len() as f64);
        }
    }
}

/// One of ten targets is far slower than the others, or fails half of its calls.
#[rstest]
#[case::slow(SLOW, SLOW)]
#[case::failing(FAST, Outcome::Failure)]
fn only_the_outlier_is_ejected(#[case] even: Outcome, #[case] odd: Outcome) {
    let mut now = Instant::now();
    let (mut detector, keys) = detector(10, now);
    for step in 0..20 {
        now += time::Duration::from_millis(300);
        detector.record_outcome(keys[0], if step % 2 == 0 { even } else { odd }, now);
        keys[1..]
            .iter()
            .for_each(|key| detector.record_outcome(*key, FAST, now));
    }
    assert_ne!(detector.state(keys[0]), State::Ready);
    assert_eq!(detector.ejected_count(), 1);
}

/// A failed probe ejects the target for longer; three successful ones restore it.
#[test]
fn probes_decide_on_recovery() {
    let mut now = Instant::now();
    let (mut detector, keys) = detector(10, now);
    let bad = keys[0];
    (0..5).for_each(|_| detector.record_outcome(bad, Outcome::Failure, now));
    let State::Ejected(first) = detector.state(bad) else {
        panic!("not ejected");
    };
    // The outcome of a call sent before the ejection is not a probe.
    detector.record_outcome(bad, FAST, now);
    assert!(!detector.can_send(bad, now));

    now = first;
    detector.record_send(bad, now);
    assert!(!detector.can_send(bad, now));
    detector.record_outcome(bad, Outcome::Failure, now);
    let State::Ejected(second) = detector.state(bad) else {
        panic!("not ejected again");
    };
    assert!(second - first > time::Duration::from_secs(5));

    now = second;
    for _ in 0..3 {
        assert!(detector.can_send(bad, now));
        detector.record_send(bad, now);
        detector.record_outcome(bad, FAST, now);
    }
    assert_eq!(
        (detector.state(bad), detector.ejected_count()),
        (State::Ready, 0)
    );
}

/// The outcome of a probe is never recorded because its caller is gone.
#[test]
fn lost_probe_is_given_up() {
    let now = Instant::now();
    let (mut detector, keys) = detector(10, now);
    (0..5).for_each(|_| detector.record_outcome(keys[0], Outcome::Failure, now));
    let probe = now + time::Duration::from_secs(5);
    detector.record_send(keys[0], probe);
    assert!(detector.can_send(keys[0], probe + time::Duration::from_secs(31)));
}
