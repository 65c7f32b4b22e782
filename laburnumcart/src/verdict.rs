//! Refusals of requests: the reason, and whether the request may have executed.

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::unit;

/// Whether a request that failed may have executed at a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proven not to have executed and never to execute later.
    #[display("not-run")]
    NotRun,
    /// Executed, is executing, or may do so later.
    #[display("may-have-run")]
    MayHaveRun,
}

impl Verdict {
    /// Combines the verdicts of two parts of one request; `NotRun` only if both are.
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}

/// Reason for which a request was refused or failed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Reason {
    /// The call is malformed.
    Invalid,
    /// The caller's token belongs to no team.
    Unauthorized,
    /// The team has no such pipeline.
    UnknownPipeline,
    /// A body, header or deadline exceeds its limit.
    TooLarge,
    /// A non-idempotent request came without an idempotency key.
    KeyMissing,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The request with this key may have executed, and its answer is no longer stored.
    AlreadyClaimed,
    /// The claim could not be made durable.
    ClaimUnavailable,
    /// The rest of the pipeline cannot finish within the remaining time.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlineExceeded,
    /// The team exceeds its share while there is contention.
    OverShare,
    /// Queues are full.
    Overloaded,
    /// The process or target is shutting down.
    Leaving,
    /// No target of the service is reachable.
    NoTarget,
    /// The request crashed several targets and is quarantined.
    Quarantined,
    /// The call is addressed to another incarnation than the one that received it.
    WrongIncarnation,
    /// The call arrived over a session that a newer one has fenced.
    Fenced,
    /// The target failed while executing the request.
    TargetFailed,
    /// The target rejected the request as invalid.
    TargetRefused,
    /// The connection to the process that held the attempt was lost permanently.
    Lost,
    /// A result was incomplete or failed its checksum.
    Corrupt,
    /// The caller abandoned the request.
    Cancelled,
    /// No bundle is in force yet.
    NoBundle,
    /// A part of the configuration that concerns the request cannot be read.
    ConfigUnreadable,
    /// No target is left of the software version that began the stream.
    VersionGone,
    /// It is not known which software version began the stream.
    OriginUnknown,
}

/// Final refusal or failure of a request or of one attempt.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[display("{reason} ({verdict})")]
pub struct Refusal {
    /// Whether the request may have executed.
    pub verdict: Verdict,
    /// Reason for it.
    pub reason: Reason,
    /// Suggested delay before a retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<unit::Period>,
}

impl Refusal {
    /// Creates a refusal of a request that is proven not to have executed.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry: None,
        }
    }

    /// Creates a refusal of a request that may have executed.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry: None,
        }
    }

    /// Sets the suggested delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, period: unit::Period) -> Self {
        self.retry = Some(period);
        self
    }
}
