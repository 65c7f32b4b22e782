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
/// A late answer earns a part. Mean worth of ten kinds of day when the first stage judged alone:
/// 0.500 with 0.2, 0.508 with 0.5, 0.506 with 0.8, and 0.448 with 0.
const LATE_SHARE: f64 = 0.5;

/// The same share for a caller that was refused before and has come again.
///
/// Refused twice, it would have waited for nothing.
const AGAIN_SHARE: f64 = 0.9;

/// When a job of a queue will be done, counted from now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outlook {
    /// In its turn.
    pub turn: unit::Period,
    /// When it goes behind all jobs that are on time.
    pub behind: unit::Period,
}

/// A stage of a request.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Stages that it waits for, all of them earlier in the list.
    pub after: Vec<usize>,
    /// Time that it takes by itself.
    pub own: time::Duration,
    /// What the owner of its queue expects; nothing when it was not asked or did not answer.
    pub outlook: Option<Outlook>,
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
pub struct Time {
    /// Until its answer is late.
    pub slack: time::Duration,
    /// Until its answer is of no use.
    pub left: time::Duration,
    /// Needed after the last stage.
    pub rest: time::Duration,
    /// Whether the caller was refused before.
    pub again: bool,
}

/// Judges a request by its stages.
///
/// ```
/// use std::time::Duration;
/// use laburnumcart::{forecast, unit};
///
/// let ms = Duration::from_millis;
/// let stage = |after: &[usize], queue| forecast::Step {
///     after: after.to_vec(),
///     own: ms(300),
///     outlook: Some(forecast::Outlook {
///         turn: unit::Period(ms(queue)),
///         behind: unit::Period(ms(9000)),
///     }),
/// };
/// let time = forecast::Time { slack: ms(1000), left: ms(6000), rest: ms(200), again: false };
/// let calm = [stage(&[], 300), stage(&[0], 300)];
/// assert_eq!(forecast::judge(&calm, time), forecast::Judgement::OnTime);
/// let congested = [stage(&[], 300), stage(&[0], 1500)];
/// assert_eq!(forecast::judge(&congested, time), forecast::Judgement::Refused(ms(700)));
/// ```
pub fn judge(steps: &[Step], time: Time) -> Judgement {
    let on_time = end(steps, |outlook| outlook.turn.0).saturating_add(time.rest);
    if on_time <= time.slack {
        return Judgement::OnTime;
    }
    let share = if time.again { AGAIN_SHARE } else { LATE_SHARE };
    let late = end(steps, |outlook| outlook.behind.0).saturating_add(time.rest);
    if late <= time.left.mul_f64(share) {
        return Judgement::Late;
    }
    Judgement::Refused(on_time - time.slack)
}

/// Returns when the last stage ends.
///
/// What waits in a queue now is worked on while the stages before it go on, so that the longer of
/// both counts, not their sum.
fn end(steps: &[Step], queue: impl Fn(&Outlook) -> time::Duration) -> time::Duration {
    let mut ends: Vec<time::Duration> = Vec::new();
    for step in steps {
        let before = step.after.iter().filter_map(|k| ends.get(*k)).max();
        let alone = before.copied().unwrap_or_default().saturating_add(step.own);
        let queued = step.outlook.as_ref().map(&queue).unwrap_or_default();
        ends.push(alone.max(queued));
    }
    ends.into_iter().max().unwrap_or_default()
}
