//! What follows the failure of an attempt.

use std::time;

use derive_more::Display;
use tokio::time::Instant;

use crate::{
    budget,
    verdict, //
};

/// Attempts that may fail as "not run" before further ones are charged to the budget.
const FREE: u32 = 3;

/// What follows the failure of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Dispatch a new attempt to another target.
    Retry,
    /// Dispatch a new attempt to another target, which goes on after the text received.
    Resume,
    /// Answer the caller.
    GiveUp(verdict::Refusal),
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum Cause {
    /// No target was used, so that another attempt costs nothing.
    #[default]
    Unused,
    /// The budget.
    Budget,
    /// Another attempt could execute the request twice, or would end the same.
    Unsafe,
    /// The time that is left.
    Time,
    /// No other target or attempt is left.
    Exhausted,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// What is known of it.
    pub refusal: verdict::Refusal,
    /// Whether a target has received the request, in this attempt or before, whatever came of it.
    pub reached: bool,
    /// Whether text was received that another target can go on after.
    pub resumable: bool,
}

/// Time of a request.
#[derive(Clone, Copy, Debug)]
pub struct TimeBudget {
    /// Left until the deadline.
    pub remaining: time::Duration,
    /// Least that another attempt and the stages after it need.
    pub needed: time::Duration,
    /// Present time.
    pub now: Instant,
}

/// Attempts of one stage.
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
    failed: u32,
    cause: Cause,
}

impl Attempts {
    /// Starts a stage; `before` tells whether an earlier part of the request may have run.
    pub fn new(idempotent: bool, before: verdict::Verdict) -> Self {
        Self {
            idempotent,
            verdict: before,
            failed: 0,
            cause: Cause::default(),
        }
    }

    /// Returns what is known of the request as a whole.
    ///
    /// The last attempt alone does not tell: an earlier one may have run, and the caller would be
    /// told "not run" of a request that ran.
    pub fn verdict(&self) -> verdict::Verdict {
        self.verdict
    }

    /// Returns what the last decision rests on.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Takes in a failure after which there is no other target; returns the answer for the caller.
    pub fn record_failure(
        &mut self,
        refusal: verdict::Refusal,
        now: Instant,
        budget: &mut budget::Budget,
    ) -> verdict::Refusal {
        self.cause = Cause::Exhausted;
        self.failed += 1;
        self.verdict = self.verdict.combine(refusal.verdict);
        if is_overload(refusal.reason) {
            budget.record_refusal(now);
        }
        verdict::Refusal {
            verdict: self.verdict,
            ..refusal
        }
    }

    /// Takes in a failure and decides what follows.
    pub fn decide(
        &mut self,
        failure: &Failure,
        time: TimeBudget,
        budget: &mut budget::Budget,
    ) -> Decision {
        let refusal = failure.refusal;
        self.record_failure(refusal, time.now, budget);
        self.cause = Cause::Unsafe;
        if !self.may_repeat(refusal) {
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
        if !is_free && !budget.try_spend(time.now) {
            return self.give_up(refusal);
        }
        if failure.resumable && refusal.reason != verdict::Reason::Corrupt {
            Decision::Resume
        } else {
            Decision::Retry
        }
    }

    /// Reports whether another attempt is safe and can end otherwise.
    fn may_repeat(&self, refusal: verdict::Refusal) -> bool {
        // A non-idempotent attempt without proof of "not run" may be executing now: another one
        // would open a second file or post a second finish.
        let safe = self.idempotent || refusal.verdict == verdict::Verdict::NotRun;
        safe && !is_final(refusal.reason)
    }

    /// Reports whether an attempt costs the fleet nothing, as the failed one used no target.
    fn is_free(&self, refusal: verdict::Refusal) -> bool {
        let unused = refusal.verdict == verdict::Verdict::NotRun;
        unused && !is_overload(refusal.reason) && self.failed <= FREE
    }

    fn give_up(&self, mut refusal: verdict::Refusal) -> Decision {
        refusal.verdict = self.verdict;
        Decision::GiveUp(refusal)
    }
}

/// Reports whether a refusal was for lack of room.
pub fn is_overload(reason: verdict::Reason) -> bool {
    use verdict::Reason;
    matches!(
        reason,
        Reason::OverShare | Reason::Overloaded | Reason::DeadlineTooShort
    )
}

/// Reports whether any target would answer the same.
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
        | Reason::NoBundle => true,
        Reason::DeadlineTooShort
        | Reason::OverShare
        | Reason::Overloaded
        | Reason::Leaving
        // Told by an agent whose own target is down; another may work.
        | Reason::NoTarget
        | Reason::WrongIncarnation
        | Reason::Fenced
        | Reason::TargetFailed
        | Reason::Lost
        | Reason::Corrupt => false,
    }
}
