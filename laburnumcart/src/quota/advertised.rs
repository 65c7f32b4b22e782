//! What is known of a target from its answers and from other processes.

use derive_more::Display;
use tokio::time::Instant;

use crate::unit;

/// What an answer of a target says of the requests that the target takes.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq)]
pub enum Limit {
    /// It names no limit.
    #[default]
    #[display("none")]
    None,
    /// It takes so many requests in a second from all processes together.
    #[display("{_0}")]
    Named(unit::Rate),
    /// It names one that cannot be read.
    #[display("unreadable")]
    Unreadable,
}

/// An answer, and how far it can be believed.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Limit that it names.
    pub limit: Limit,
    /// Whether it is a success and answers the request that was sent.
    pub trusted: bool,
    /// When that request was sent.
    pub sent: Instant,
}

/// A limit that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advertised {
    /// Requests in a second that the target takes.
    pub rate: unit::Rate,
    /// When it was heard first.
    pub since: Instant,
    /// When it was true last.
    pub confirmed: Instant,
    /// When trials begin, from 0 to 1.
    pub jitter: f64,
}

/// What one process knows of one life of a target.
///
/// ```
/// use std::time::Duration;
///
/// use laburnumcart::{quota, unit};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut heard = quota::TargetLimit::default();
/// let limit = quota::Limit::Named(unit::Rate(2.0));
/// heard.record_answer(quota::Observation { limit, trusted: true, sent: now }, 0.5, now + Duration::from_millis(80));
/// // This one was on its way before.
/// let none = quota::Observation { limit: quota::Limit::None, trusted: true, sent: now };
/// assert!(!heard.record_answer(none, 0.5, now + Duration::from_millis(90)));
/// assert_eq!(heard.advertised().unwrap().rate, unit::Rate(2.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLimit {
    named: Option<Advertised>,
    /// When an answer has shown last that there is no limit any more.
    ended: Option<Instant>,
    unreadable: bool,
    /// When an answer has said last that the target is leaving.
    left: Option<Instant>,
}

impl TargetLimit {
    /// Returns the limit in force.
    pub fn advertised(&self) -> Option<&Advertised> {
        self.named.as_ref()
    }

    /// Returns what is known, as an answer would say it.
    pub fn limit(&self) -> Limit {
        match self.named {
            Some(named) => Limit::Named(named.rate),
            None if self.unreadable => Limit::Unreadable,
            None => Limit::None,
        }
    }

    /// Returns when the limit in force was true last, or when it ended.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.named.map(|named| named.confirmed).or(self.ended)
    }

    /// Returns when the target has said last that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.left
    }

    /// Takes in that the target said at `at` that it is leaving; returns whether it is news.
    ///
    /// One that has begun to leave does not come back in the same life.
    pub fn record_leaving(&mut self, at: Instant) -> bool {
        let news = self.left.is_none();
        self.left = self.left.max(Some(at));
        news
    }

    /// Takes in an answer; returns whether it is news. `draw`, from 0 to 1, is a random number.
    ///
    /// Answers overtake each other: one that was on its way before the limit was named ends nothing,
    /// and neither does one that may belong to another request.
    pub fn record_answer(&mut self, word: Observation, draw: f64, now: Instant) -> bool {
        match word.limit {
            Limit::Named(rate) => self.name(rate, draw, now),
            Limit::Unreadable => !std::mem::replace(&mut self.unreadable, true),
            Limit::None => {
                let ends = self.named.is_some_and(|n| word.sent > n.confirmed);
                word.trusted && (ends || self.unreadable) && self.end(now)
            }
        }
    }

    /// Takes in what another process knew at `at`; returns whether it is news.
    pub fn merge(&mut self, rate: Option<unit::Rate>, at: Instant, draw: f64) -> bool {
        if self.confirmed_at().is_some_and(|known| known >= at) {
            return false;
        }
        match rate {
            Some(rate) => self.name(rate, draw, at),
            None => self.end(at),
        }
    }

    fn name(&mut self, rate: unit::Rate, draw: f64, at: Instant) -> bool {
        self.unreadable = false;
        if let Some(named) = self.named.as_mut().filter(|named| named.rate == rate) {
            named.confirmed = at;
            return false;
        }
        self.named = Some(Advertised {
            rate,
            since: at,
            confirmed: at,
            jitter: draw,
        });
        true
    }

    fn end(&mut self, at: Instant) -> bool {
        let news = self.named.is_some() || self.unreadable;
        self.named = None;
        self.unreadable = false;
        self.ended = Some(at);
        news
    }
}
