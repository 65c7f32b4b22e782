//! Tests of the admission of requests by the estimates of their stages.

use std::time;

use laburnumcart::{
    forecast,
    unit, //
};
use rstest::rstest;

const MS: time::Duration = time::Duration::from_millis(1);

/// Returns a stage that takes 300 ms and is done after these estimated milliseconds in its queue.
///
/// `by_rank` holds for a job served in its order, `after_on_time` for one served after all others
/// that are on time.
fn stage(after: &[usize], by_rank: u32, after_on_time: u32) -> forecast::Stage {
    forecast::Stage {
        after: after.to_vec(),
        duration: 300 * MS,
        estimate: Some(forecast::Estimate {
            by_rank: unit::Period(by_rank * MS),
            after_on_time: unit::Period(after_on_time * MS),
        }),
    }
}

/// Stages that take at most 900 ms are on time: 1100 ms of slack less 200 ms after the last stage.
const TIME: forecast::TimeBudget = forecast::TimeBudget {
    slack: time::Duration::from_millis(1100),
    remaining: time::Duration::from_millis(6000),
    rest: time::Duration::from_millis(200),
    is_repeat: false,
};

// Queues shrink during earlier stages; the sum of all waits would refuse requests that are on time.
#[rstest]
#[case(&[300, 300, 300], true)]
#[case(&[300, 550, 300], true)]
#[case(&[300, 560, 300], false)]
#[case(&[300, 300, 800], true)]
#[case(&[300, 300, 810], false)]
#[case(&[600, 600, 600], false)]
fn the_longest_queue_counts(#[case] turns: &[u32; 3], #[case] on_time: bool) {
    let after: [&[usize]; 3] = [&[], &[0], &[1]];
    let stages: Vec<_> = after
        .iter()
        .zip(turns)
        .map(|(a, t)| stage(a, *t, *t))
        .collect();
    // A margin of a fifth is added to each wait.
    let judged = forecast::judge(&stages, TIME) == forecast::Judgement::OnTime;
    assert_eq!(judged, on_time);
}

// An admitted request would wait in the congested second queue until its deadline.
#[test]
fn a_congested_later_stage_refuses() {
    let stages = [stage(&[], 300, 300), stage(&[0], 2000, 9000)];
    let judged = forecast::judge(&stages, TIME);
    // 2000 ms + a fifth of the wait of 1700 ms + 200 ms after the stages - 1100 ms of slack.
    assert_eq!(judged, forecast::Judgement::Refused(1440 * MS));
}

#[test]
fn a_late_request_is_admitted_if_it_ends_well_before_its_deadline() {
    let stages = [stage(&[], 300, 300), stage(&[0], 2000, 2700)];
    assert_eq!(forecast::judge(&stages, TIME), forecast::Judgement::Late);
    // Served after all that are on time, it would take more than half of the time to its deadline.
    let stages = [stage(&[], 300, 300), stage(&[0], 2000, 2900)];
    let judged = forecast::judge(&stages, TIME);
    assert!(matches!(judged, forecast::Judgement::Refused(_)));
    // A second refusal would make the wait of the caller useless.
    let repeat = forecast::TimeBudget {
        is_repeat: true,
        ..TIME
    };
    assert_eq!(forecast::judge(&stages, repeat), forecast::Judgement::Late);
}

#[test]
fn a_missing_estimate_does_not_refuse() {
    let mut stages = [stage(&[], 300, 300), stage(&[0], 9000, 9000)];
    stages[1].estimate = None;
    assert_eq!(forecast::judge(&stages, TIME), forecast::Judgement::OnTime);
    // The duration of the stage itself still counts.
    stages[1].duration = 800 * MS;
    assert_ne!(forecast::judge(&stages, TIME), forecast::Judgement::OnTime);
}

#[test]
fn parallel_stages_take_as_long_as_the_longest_one() {
    let stages = [
        stage(&[], 300, 300),
        stage(&[], 300, 300),
        stage(&[0, 1], 300, 300),
    ];
    assert_eq!(forecast::judge(&stages, TIME), forecast::Judgement::OnTime);
    let none: [forecast::Stage; 0] = [];
    assert_eq!(forecast::judge(&none, TIME), forecast::Judgement::OnTime);
}
