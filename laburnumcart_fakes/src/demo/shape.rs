//! The users' services, pipelines and teams, by size.

use std::{
    str,
    time, //
};

use derive_more::{
    Display,
    Error, //
};
use laburnumcart::{
    bundle,
    unit, //
};

mod araya;
mod common;
mod quetzal;

/// Tokens of an engine's answer.
pub(super) const TOKENS: u32 = 20;

/// Time in which an engine reads a prompt that is not in its cache.
pub(super) const PREFILL: time::Duration = time::Duration::from_millis(20);

/// Whose services and teams a demo has.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Shape {
    /// Legal aid eligibility.
    Araya,
    /// Race timing.
    Quetzal,
    /// Both users in one system.
    Both,
}

/// How many targets a demo has.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Size {
    /// One to three targets for each service.
    Small,
    /// As many as the users run today.
    #[display("brief")]
    Full,
}

/// A text that names no shape or size.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("unknown {kind}")]
pub struct ParseError {
    kind: &'static str,
}

impl str::FromStr for Shape {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "araya" => Ok(Self::Araya),
            "quetzal" => Ok(Self::Quetzal),
            "both" => Ok(Self::Both),
            _ => Err(ParseError { kind: "shape" }),
        }
    }
}

impl str::FromStr for Size {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "small" => Ok(Self::Small),
            "brief" => Ok(Self::Full),
            _ => Err(ParseError { kind: "size" }),
        }
    }
}

impl Shape {
    /// Returns the users of the shape.
    pub fn users(self) -> Vec<&'static User> {
        match self {
            Self::Araya => vec![&araya::USER],
            Self::Quetzal => vec![&quetzal::USER],
            Self::Both => vec![&araya::USER, &quetzal::USER],
        }
    }

    /// Returns all services, those of every user and the pools that they share.
    pub fn services(self) -> Vec<&'static Service> {
        let own = self.users().into_iter().flat_map(|user| user.services);
        own.chain(&common::POOLS).collect()
    }

    /// Returns the part of all requests that call a service.
    pub fn call_share(self, service: &str) -> f64 {
        let users = self.users();
        let load = |user: &User| user.teams.iter().map(|team| team.weight).sum::<u32>();
        let calls = |user: &User| {
            let pipelines = user.pipelines.iter();
            let calling = pipelines.filter(|p| p.stages.iter().any(|(_, s)| *s == service));
            calling.map(|p| p.percent).sum::<u32>() * load(user)
        };
        let called: u32 = users.iter().map(|user| calls(user)).sum();
        let all: u32 = users.iter().map(|user| load(user)).sum();
        f64::from(called) / f64::from(100 * all)
    }
}

/// One of the users.
#[derive(Debug)]
pub struct User {
    /// Services of its own.
    pub services: &'static [Service],
    /// Pipelines, each open to all its teams.
    pub pipelines: &'static [Pipeline],
    /// Teams.
    pub teams: &'static [Team],
}

/// A service and its stand-ins.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Protocol.
    pub kind: bundle::Kind,
    /// What its targets do with an order's number.
    pub orders: bundle::Orders,
    /// Models that its targets load.
    pub models: &'static [&'static str],
    /// Targets in a small demo.
    pub small: usize,
    /// Targets that the users run today.
    pub full: usize,
    /// Mean time of a pool's call, or of an engine's token.
    pub time: &'static str,
}

impl Service {
    /// Returns the mean time of a pool's call, or of an engine's token.
    pub fn step_time(&self, pace: u32) -> time::Duration {
        let step: Result<unit::Period, _> = self.time.parse();
        step.map_or(time::Duration::ZERO, |step| step.0 * pace)
    }

    /// Returns the mean time of a call at full speed, with its prefix in the cache.
    pub fn call_time(&self, pace: u32) -> time::Duration {
        let step = self.step_time(pace);
        match self.kind {
            bundle::Kind::Pool => step,
            bundle::Kind::Engine => step * TOKENS + PREFILL * pace / 10,
        }
    }

    /// Returns the number of targets.
    pub fn target_count(&self, size: Size) -> usize {
        match size {
            Size::Small => self.small,
            Size::Full => self.full,
        }
    }
}

/// A pipeline with its promise and its part of the load.
#[derive(Debug)]
pub struct Pipeline {
    /// Name.
    pub name: &'static str,
    /// Stages with their services.
    pub stages: &'static [(&'static str, &'static str)],
    /// Whether a request may execute more than once.
    pub idempotent: bool,
    /// Promised time.
    pub deadline: &'static str,
    /// Priority.
    pub priority: bundle::Priority,
    /// Part of a team's requests, in hundredths.
    pub percent: u32,
}

/// A team.
#[derive(Debug)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// Weight of its share, also of the offered load.
    pub weight: u32,
}
