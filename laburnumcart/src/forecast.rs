//! Admission of a multi-stage request by completion estimates, before any work is done for it.
//!
//! Each stage has a queue of its own. A request that is admitted by the queue of its first stage
//! alone may wait at a congested later one, often until its deadline, and the work already done for
//! it is lost.

use std::time;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unit;

/// Share of the time until the deadline within which a late request must end to be admitted.
///
/// A late answer still helps the caller; one right before the deadline seldom does.
const LATE_SHARE: f64 = 0.5;

/// Margin added to the estimated wait in a queue, as a share of that wait.
///
/// The queue owner counts only the jobs that it knows. More urgent ones may still arrive, and calls
/// end slightly later than expected. Without a margin, requests would be admitted until the queue
/// is as long as the objective, and many of them would end just after it: late answers whose work
/// also delays the requests behind them.
const WAIT_MARGIN: f64 = 0.2;

/// The same share for a caller that was refused before.
///
/// A second refusal would make its wait useless.
const REPEAT_SHARE: f64 = 0.9;

/// Estimated time from now until a job of a queue is done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// If the job is served by its rank and due time.
    #[serde(rename = "turn")]
    pub by_rank: unit::Period,
    /// If the job is served after all jobs that are on time.
    #[serde(rename = "behind")]
    pub after_on_time: unit::Period,
}

/// A stage of a request.
#[derive(Clone, Debug, Default)]
pub struct Stage {
    /// Indices of the stages that it depends on, all of them earlier in the list.
    pub after: Vec<usize>,
    /// Duration of the stage without any wait.
    pub duration: time::Duration,
    /// Estimate of the queue owner; `None` if it was not asked or did not answer.
    pub estimate: Option<Estimate>,
}

/// Admission decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The request can be on time.
    OnTime,
    /// The request will be late and is served after those that are on time.
    Late,
    /// The request would be too late and is refused; a retry after this time may be on time.
    Refused(time::Duration),
}

/// Time limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// Time until the answer is late.
    pub slack: time::Duration,
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Time needed after the last stage.
    pub rest: time::Duration,
    /// Whether the caller was refused before.
    pub is_repeat: bool,
}

/// Decides whether a request is admitted, by the estimates of its stages.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{forecast, unit};
///
/// let ms = Duration::from_millis;
/// let stage = |after: &[usize], queue| forecast::Stage {
///     after: after.to_vec(),
///     duration: ms(300),
///     estimate: Some(forecast::Estimate {
///         by_rank: unit::Period(ms(queue)),
///         after_on_time: unit::Period(ms(9000)),
///     }),
/// };
/// let time = forecast::TimeBudget {
///     slack: ms(1000),
///     remaining: ms(6000),
///     rest: ms(200),
///     is_repeat: false,
/// };
/// let idle = [stage(&[], 300), stage(&[0], 300)];
/// assert_eq!(forecast::judge(&idle, time), forecast::Judgement::OnTime);
/// let congested = [stage(&[], 300), stage(&[0], 1500)];
/// assert!(matches!(forecast::judge(&congested, time), forecast::Judgement::Refused(_)));
/// ```
pub fn judge(stages: &[Stage], time: TimeBudget) -> Judgement {
    let on_time = completion_time(stages, with_margin).saturating_add(time.rest);
    if on_time <= time.slack {
        return Judgement::OnTime;
    }
    let share = if time.is_repeat {
        REPEAT_SHARE
    } else {
        LATE_SHARE
    };
    let late =
        completion_time(stages, |_, estimate| estimate.after_on_time.0).saturating_add(time.rest);
    if late <= time.remaining.mul_f64(share) {
        return Judgement::Late;
    }
    Judgement::Refused(on_time - time.slack)
}

/// Returns the estimated time of a stage, with the margin added to its wait.
fn with_margin(stage: &Stage, estimate: &Estimate) -> time::Duration {
    let by_rank = estimate.by_rank.0;
    by_rank.saturating_add(by_rank.saturating_sub(stage.duration).mul_f64(WAIT_MARGIN))
}

/// Returns the time until the last stage ends.
///
/// The queue of a stage shrinks while the earlier stages are executed, so the longer of both times
/// counts, not their sum.
fn completion_time(
    stages: &[Stage],
    queue_time: impl Fn(&Stage, &Estimate) -> time::Duration,
) -> time::Duration {
    let mut ends: Vec<time::Duration> = Vec::new();
    for stage in stages {
        let start = stage.after.iter().filter_map(|k| ends.get(*k)).max();
        let unqueued = start
            .copied()
            .unwrap_or_default()
            .saturating_add(stage.duration);
        let estimate = stage.estimate.as_ref();
        let queued = estimate.map(|estimate| queue_time(stage, estimate));
        let queued = queued.unwrap_or_default();
        ends.push(unqueued.max(queued));
    }
    ends.into_iter().max().unwrap_or_default()
}
