//! Retry policy: decides whether a failed attempt is retried, resumed or reported to the caller.

use std::time;

use derive_more::Display;
use tokio::time::Instant;

use crate::{
    budget,
    verdict, //
};

/// Failed attempts of a stage that used no target and whose retries cost no budget.
const FREE_RETRIES: u32 = 3;

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send a new attempt to another target.
    Retry,
    /// Send a new attempt to another target, which continues after the text received so far.
    Resume,
    /// Answer the caller with this refusal.
    GiveUp(verdict::Refusal),
}

/// Reason for a decision.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// The failed attempt used no target, so a retry is free.
    #[default]
    Unused,
    /// The retry budget allowed or denied another attempt.
    Budget,
    /// A retry could execute the request twice, or would fail the same way.
    Unsafe,
    /// Too little time is left before the deadline.
    Time,
    /// No other target is left.
    Exhausted,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Reason, and whether the request may have been executed.
    pub refusal: verdict::Refusal,
    /// Whether any target has received the request, in this attempt or an earlier one.
    pub reached: bool,
    /// Whether another target can continue after the text received so far.
    pub resumable: bool,
}

/// Time that a request has left.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Least time that another attempt and the stages after it need.
    pub needed: time::Duration,
    /// Current time.
    pub now: Instant,
}

/// Retry state of one stage of a request.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{budget, retry, unit, verdict};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = budget::Budget::new(unit::Share(0.1), now);
/// let time = retry::TimeBudget {
///     remaining: Duration::from_secs(2),
///     needed: Duration::from_millis(100),
///     now,
/// };
/// let mut attempts = retry::Attempts::new(false, verdict::Verdict::NotRun);
/// let refusal = verdict::Refusal::not_run(verdict::Reason::Leaving);
/// let failure = retry::Failure { refusal, reached: false, resumable: false };
/// assert_eq!(attempts.decide(&failure, time, &mut budget), retry::Decision::Retry);
///
/// let refusal = verdict::Refusal::may_have_run(verdict::Reason::Lost);
/// let failure = retry::Failure { refusal, reached: true, resumable: false };
/// let decision = attempts.decide(&failure, time, &mut budget);
/// assert_eq!(decision, retry::Decision::GiveUp(refusal));
/// ```
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    verdict: verdict::Verdict,
    failures: u32,
    cause: Cause,
    /// Whether the next repeat has been charged to the budget.
    granted: bool,
}

impl Attempts {
    /// Creates the state of a stage; `earlier` is the verdict on the earlier stages of the request.
    pub fn new(idempotent: bool, earlier: verdict::Verdict) -> Self {
        Self {
            idempotent,
            verdict: earlier,
            failures: 0,
            cause: Cause::default(),
            granted: false,
        }
    }

    /// Returns whether the request as a whole may have been executed.
    ///
    /// The verdict on the last attempt is not enough: an earlier attempt may have run, and the
    /// caller would be told "not run" of a request that ran.
    pub fn verdict(&self) -> verdict::Verdict {
        self.verdict
    }

    /// Returns the reason for the last decision.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Returns whether a repeat of an attempt in progress is safe, in time and within the budget.
    pub fn may_repeat(&self, time: TimeBudget, budget: &mut budget::Budget) -> bool {
        self.idempotent
            && time.remaining >= time.needed
            && (self.granted || budget.can_spend(1, time.now))
    }

    /// Charges the repeat of an attempt in progress, which may be given up then; returns whether it
    /// was granted.
    ///
    /// An attempt that is given up first is lost if its repeat is denied.
    pub fn try_grant(&mut self, time: TimeBudget, budget: &mut budget::Budget) -> bool {
        if !self.may_repeat(time, budget) {
            return false;
        }
        self.granted = self.granted || budget.try_spend(time.now);
        self.granted
    }

    /// Returns whether the next repeat has been charged to the budget.
    pub fn is_granted(&self) -> bool {
        self.granted
    }

    /// Records a failure when no other target is left; returns the refusal for the caller.
    pub fn record_failure(
        &mut self,
        refusal: verdict::Refusal,
        now: Instant,
        budget: &mut budget::Budget,
    ) -> verdict::Refusal {
        self.cause = Cause::Exhausted;
        self.failures += 1;
        self.verdict = self.verdict.combine(refusal.verdict);
        if is_overload(refusal.reason) {
            budget.record_refusal(now);
        }
        verdict::Refusal {
            verdict: self.verdict,
            ..refusal
        }
    }

    /// Records a failure and decides on the next step.
    pub fn decide(
        &mut self,
        failure: &Failure,
        time: TimeBudget,
        budget: &mut budget::Budget,
    ) -> Decision {
        let refusal = failure.refusal;
        self.record_failure(refusal, time.now, budget);
        self.cause = Cause::Unsafe;
        if !self.can_retry(refusal) {
            return self.give_up(refusal);
        }
        self.cause = Cause::Time;
        if time.remaining.is_zero() {
            return self.give_up(verdict::Refusal::not_run(verdict::Reason::DeadlineExceeded));
        }
        if time.remaining < time.needed {
            return self.give_up(verdict::Refusal::not_run(verdict::Reason::DeadlineTooShort));
        }
        let is_free = !failure.reached && self.is_free(refusal);
        self.cause = match is_free {
            true => Cause::Unused,
            false => Cause::Budget,
        };
        let is_granted = std::mem::take(&mut self.granted);
        if !is_free && !is_granted && !budget.try_spend(time.now) {
            return self.give_up(refusal);
        }
        if failure.resumable && refusal.reason != verdict::Reason::Corrupt {
            Decision::Resume
        } else {
            Decision::Retry
        }
    }

    /// Reports whether another attempt is safe and can have another outcome.
    fn can_retry(&self, refusal: verdict::Refusal) -> bool {
        // A non-idempotent attempt that is not proven "not run" may still be executing. Another
        // attempt would repeat its side effects.
        let safe = self.idempotent || refusal.verdict == verdict::Verdict::NotRun;
        safe && !is_final(refusal.reason)
    }

    /// Reports whether a retry costs no budget because the failed attempt used no target.
    fn is_free(&self, refusal: verdict::Refusal) -> bool {
        let unused = refusal.verdict == verdict::Verdict::NotRun;
        unused && !is_overload(refusal.reason) && self.failures <= FREE_RETRIES
    }

    fn give_up(&self, mut refusal: verdict::Refusal) -> Decision {
        refusal.verdict = self.verdict;
        Decision::GiveUp(refusal)
    }
}

/// Reports whether a target refused for lack of capacity.
pub fn is_overload(reason: verdict::Reason) -> bool {
    use verdict::Reason;
    matches!(
        reason,
        Reason::OverShare | Reason::Overloaded | Reason::DeadlineTooShort
    )
}

/// Reports whether any other target would refuse for the same reason.
fn is_final(reason: verdict::Reason) -> bool {
    use verdict::Reason;
    match reason {
        Reason::Invalid
        | Reason::Unauthorized
        | Reason::UnknownPipeline
        | Reason::TooLarge
        | Reason::KeyMissing
        | Reason::KeyReused
        | Reason::AlreadyClaimed
        | Reason::ClaimUnavailable
        | Reason::DeadlineExceeded
        | Reason::Quarantined
        | Reason::TargetRefused
        | Reason::Cancelled
        | Reason::NoBundle
        | Reason::ConfigUnreadable
        | Reason::VersionGone
        | Reason::OriginUnknown => true,
        Reason::DeadlineTooShort
        | Reason::OverShare
        | Reason::Overloaded
        | Reason::Leaving
        // Sent by an agent whose own target is down; other targets may work.
        | Reason::NoTarget
        | Reason::WrongIncarnation
        | Reason::Fenced
        | Reason::TargetFailed
        | Reason::Lost
        | Reason::Corrupt => false,
    }
}
