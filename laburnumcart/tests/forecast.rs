//! Whether a request can be on time, by the queues of its stages.

use std::time;

use laburnumcart::{
    forecast,
    unit, //
};
use rstest::rstest;

const MS: time::Duration = time::Duration::from_millis(1);

/// A stage of 300 ms whose queue is done with it after `turn` or `behind` milliseconds.
fn step(after: &[usize], turn: u32, behind: u32) -> forecast::Stage {
    forecast::Stage {
        after: after.to_vec(),
        duration: 300 * MS,
        estimate: Some(forecast::Estimate {
            turn: unit::Period(turn * MS),
            behind: unit::Period(behind * MS),
        }),
    }
}

const TIME: forecast::TimeBudget = forecast::TimeBudget {
    slack: time::Duration::from_millis(1100),
    remaining: time::Duration::from_millis(6000),
    rest: time::Duration::from_millis(200),
    is_repeat: false,
};

// Three stages wait at a time, so that only the longest queue counts and what comes after it. A sum
// would refuse requests that could be on time. A fifth is added to what a queue takes beside the
// call itself.
#[rstest]
#[case(&[300, 300, 300], true)]
#[case(&[300, 550, 300], true)]
#[case(&[300, 560, 300], false)]
#[case(&[300, 300, 800], true)]
#[case(&[300, 300, 810], false)]
#[case(&[600, 600, 600], false)]
fn the_longest_queue_counts(#[case] turns: &[u32; 3], #[case] on_time: bool) {
    let after: [&[usize]; 3] = [&[], &[0], &[1]];
    let steps: Vec<_> = after
        .iter()
        .zip(turns)
        .map(|(a, t)| step(a, *t, *t))
        .collect();
    let judged = forecast::judge(&steps, TIME) == forecast::Judgement::OnTime;
    assert_eq!(judged, on_time);
}

// The first queue is short and the second far behind. Begun, the request would wait there to its
// deadline; it is told at once how long to wait before a new try.
#[test]
fn a_queue_behind_the_first_one_refuses() {
    let steps = [step(&[], 300, 300), step(&[0], 2000, 9000)];
    let judged = forecast::judge(&steps, TIME);
    // 2000 ms and a fifth of the wait, less what fits.
    assert_eq!(judged, forecast::Judgement::Refused(1440 * MS));
}

#[test]
fn a_late_request_is_taken_when_there_is_capacity_left() {
    let steps = [step(&[], 300, 300), step(&[0], 2000, 2700)];
    assert_eq!(forecast::judge(&steps, TIME), forecast::Judgement::Late);
    // Behind the others it would take more than half of its time.
    let steps = [step(&[], 300, 300), step(&[0], 2000, 2900)];
    let judged = forecast::judge(&steps, TIME);
    assert!(matches!(judged, forecast::Judgement::Refused(_)));
    // Refused before, it would have waited for nothing.
    let again = forecast::TimeBudget {
        is_repeat: true,
        ..TIME
    };
    assert_eq!(forecast::judge(&steps, again), forecast::Judgement::Late);
}

#[test]
fn an_owner_that_does_not_answer_refuses_nothing() {
    let mut steps = [step(&[], 300, 300), step(&[0], 9000, 9000)];
    steps[1].estimate = None;
    assert_eq!(forecast::judge(&steps, TIME), forecast::Judgement::OnTime);
    // What the stage takes by itself still counts.
    steps[1].duration = 800 * MS;
    assert_ne!(forecast::judge(&steps, TIME), forecast::Judgement::OnTime);
}

#[test]
fn stages_side_by_side_take_the_longer_time() {
    let steps = [
        step(&[], 300, 300),
        step(&[], 300, 300),
        step(&[0, 1], 300, 300),
    ];
    assert_eq!(forecast::judge(&steps, TIME), forecast::Judgement::OnTime);
    let none: [forecast::Stage; 0] = [];
    assert_eq!(forecast::judge(&none, TIME), forecast::Judgement::OnTime);
}
