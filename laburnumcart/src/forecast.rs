//! Whether a request can be on time, told before any work is done for it.
//!
//! Each stage has a queue of its own. A request that is admitted by the first one alone waits at a
//! later one that is congested, often to its deadline, and the work that was done for it is lost.

use std::time;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unit;

/// Share of its time within which a request is taken although it will be late.
///
/// A late answer still helps its caller, one that comes at the deadline seldom does.
const LATE_SHARE: f64 = 0.5;

/// Share by which the wait in a queue is taken to be longer than the owner of the queue says.
///
/// The owner counts the jobs that it knows. More urgent ones still come, and calls end a little
/// later than promised. If requests are begun until their turn comes just in time, a full queue is
/// as long as their objective, and a good part of them ends right after it: late answers, and work
/// that is lost for those behind.
const MARGIN: f64 = 0.2;

/// The same share of time for a caller that was refused before and has come again.
///
/// Refused twice, it would have waited for nothing.
const AGAIN_SHARE: f64 = 0.9;

/// When a job of a queue will be done, counted from now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// In its turn.
    pub turn: unit::Period,
    /// When it goes behind all jobs that are on time.
    pub behind: unit::Period,
}

/// A stage of a request.
#[derive(Clone, Debug, Default)]
pub struct Stage {
    /// Stages that it waits for, all of them earlier in the list.
    pub after: Vec<usize>,
    /// Time that it takes by itself.
    pub duration: time::Duration,
    /// What the owner of its queue expects; nothing when it was not asked or did not answer.
    pub estimate: Option<Estimate>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// It can be on time.
    OnTime,
    /// It will be late, and is served behind those that are on time.
    Late,
    /// It will be so late that it is not begun; after this time a new one may be on time.
    Refused(time::Duration),
}

/// Time that a caller has for a request.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// Until its answer is late.
    pub slack: time::Duration,
    /// Until its answer is of no use.
    pub remaining: time::Duration,
    /// Needed after the last stage.
    pub rest: time::Duration,
    /// Whether the caller was refused before.
    pub is_repeat: bool,
}

/// Judges a request by its stages.
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
///         turn: unit::Period(ms(queue)),
///         behind: unit::Period(ms(9000)),
///     }),
/// };
/// let time = forecast::TimeBudget { slack: ms(1000), remaining: ms(6000), rest: ms(200), is_repeat: false };
/// let calm = [stage(&[], 300), stage(&[0], 300)];
/// assert_eq!(forecast::judge(&calm, time), forecast::Judgement::OnTime);
/// let congested = [stage(&[], 300), stage(&[0], 1500)];
/// assert!(matches!(forecast::judge(&congested, time), forecast::Judgement::Refused(_)));
/// ```
pub fn judge(steps: &[Stage], time: TimeBudget) -> Judgement {
    let on_time = end(steps, with_margin).saturating_add(time.rest);
    if on_time <= time.slack {
        return Judgement::OnTime;
    }
    let share = if time.is_repeat {
        AGAIN_SHARE
    } else {
        LATE_SHARE
    };
    let late = end(steps, |_, outlook| outlook.behind.0).saturating_add(time.rest);
    if late <= time.remaining.mul_f64(share) {
        return Judgement::Late;
    }
    Judgement::Refused(on_time - time.slack)
}

/// Returns when a queue is done with a request in its turn, with a margin on the wait alone.
fn with_margin(step: &Stage, outlook: &Estimate) -> time::Duration {
    let turn = outlook.turn.0;
    turn.saturating_add(turn.saturating_sub(step.duration).mul_f64(MARGIN))
}

/// Returns when the last stage ends.
///
/// What waits in a queue now is worked on while the stages before it go on, so that the longer of
/// both counts, not their sum.
fn end(steps: &[Stage], queue: impl Fn(&Stage, &Estimate) -> time::Duration) -> time::Duration {
    let mut ends: Vec<time::Duration> = Vec::new();
    for step in steps {
        let before = step.after.iter().filter_map(|k| ends.get(*k)).max();
        let alone = before
            .copied()
            .unwrap_or_default()
            .saturating_add(step.duration);
        let queued = step.estimate.as_ref().map(|outlook| queue(step, outlook));
        let queued = queued.unwrap_or_default();
        ends.push(alone.max(queued));
    }
    ends.into_iter().max().unwrap_or_default()
}
