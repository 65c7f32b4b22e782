//! Limits that targets advertise in their responses, and that other processes report.

use derive_more::Display;
use tokio::time::Instant;

use crate::unit;

/// Limit that a response of a target advertises.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Limit {
    /// The response advertises no limit.
    #[default]
    #[display("none")]
    None,
    /// Requests per second that the target accepts from all processes together.
    #[display("{_0}")]
    Advertised(unit::Rate),
    /// The response advertises a limit that cannot be parsed.
    #[display("unreadable")]
    Unreadable,
}

/// Limit seen in a response, with what is needed to judge it.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Limit in the response.
    pub limit: Limit,
    /// Whether the response is a success and certainly answers the request that was sent.
    pub trusted: bool,
    /// When the request was sent.
    pub sent: Instant,
}

/// A limit that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advertised {
    /// Requests per second that the target accepts.
    pub rate: unit::Rate,
    /// When the limit was first seen.
    pub since: Instant,
    /// When the limit was last confirmed.
    pub confirmed: Instant,
    /// Random number from 0 to 1 that spreads the first probes of different processes.
    pub jitter: f64,
}

/// Limit and leaving state of one run of a target, as known to this process.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{quota, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut target = quota::TargetLimit::default();
/// let limit = quota::Limit::Advertised(unit::Rate(2.0));
/// let observation = quota::Observation { limit, trusted: true, sent: now };
/// target.record_answer(observation, 0.5, now + Duration::from_millis(80));
/// // The request of this response was sent before the limit was seen.
/// let none = quota::Observation { limit: quota::Limit::None, trusted: true, sent: now };
/// assert!(!target.record_answer(none, 0.5, now + Duration::from_millis(90)));
/// assert_eq!(target.advertised().unwrap().rate, unit::Rate(2.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLimit {
    advertised: Option<Advertised>,
    /// When the last limit was seen to have ended.
    ended: Option<Instant>,
    unreadable: bool,
    /// When the target last announced that it is leaving.
    leaving_since: Option<Instant>,
}

impl TargetLimit {
    /// Returns the limit in force.
    pub fn advertised(&self) -> Option<&Advertised> {
        self.advertised.as_ref()
    }

    /// Returns the current limit in the form of a response.
    pub fn limit(&self) -> Limit {
        match self.advertised {
            Some(limit) => Limit::Advertised(limit.rate),
            None if self.unreadable => Limit::Unreadable,
            None => Limit::None,
        }
    }

    /// Returns when the limit in force was last confirmed, or when the last one ended.
    pub fn confirmed_at(&self) -> Option<Instant> {
        let confirmed = self.advertised.map(|limit| limit.confirmed);
        confirmed.or(self.ended)
    }

    /// Returns when the target last announced that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// Records that the target announced at `at` that it is leaving; returns whether this is new.
    ///
    /// A target that is leaving stays so until it is restarted.
    pub fn record_leaving(&mut self, at: Instant) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since = self.leaving_since.max(Some(at));
        is_new
    }

    /// Records the limit in a response; returns whether the limit has changed. `jitter` is a random
    /// number from 0 to 1.
    ///
    /// Responses can overtake each other. A response without a limit ends the limit in force only
    /// if its request was sent after the limit was last confirmed and the response is trusted.
    pub fn record_answer(&mut self, observation: Observation, jitter: f64, now: Instant) -> bool {
        match observation.limit {
            Limit::Advertised(rate) => self.set_limit(rate, jitter, now),
            Limit::Unreadable => !std::mem::replace(&mut self.unreadable, true),
            Limit::None => {
                let is_newer = |limit: Advertised| observation.sent > limit.confirmed;
                let ends = self.advertised.is_some_and(is_newer);
                observation.trusted && (ends || self.unreadable) && self.end_limit(now)
            }
        }
    }

    /// Merges the limit that another process knew at `at`; returns whether the limit has changed.
    pub fn merge(&mut self, rate: Option<unit::Rate>, at: Instant, jitter: f64) -> bool {
        if self.confirmed_at().is_some_and(|known| known >= at) {
            return false;
        }
        match rate {
            Some(rate) => self.set_limit(rate, jitter, at),
            None => self.end_limit(at),
        }
    }

    fn set_limit(&mut self, rate: unit::Rate, jitter: f64, at: Instant) -> bool {
        self.unreadable = false;
        if let Some(limit) = self.advertised.as_mut().filter(|limit| limit.rate == rate) {
            limit.confirmed = at;
            return false;
        }
        self.advertised = Some(Advertised {
            rate,
            since: at,
            confirmed: at,
            jitter,
        });
        true
    }

    fn end_limit(&mut self, at: Instant) -> bool {
        let has_changed = self.advertised.is_some() || self.unreadable;
        self.advertised = None;
        self.unreadable = false;
        self.ended = Some(at);
        has_changed
    }
}
