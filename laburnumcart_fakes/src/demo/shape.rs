//! Services, pipelines and teams of the demo, with the number of targets by size.

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

/// Output tokens of an engine's call.
pub(super) const OUTPUT_TOKENS: u32 = 20;

/// Prefill time of a prompt whose prefix is not cached.
pub(super) const PREFILL_TIME: time::Duration = time::Duration::from_millis(20);

/// Selection of the services and teams of a demo.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Shape {
    /// Legal aid eligibility.
    Araya,
    /// Race timing.
    Quetzal,
    /// Both in one system.
    Both,
}

/// Number of targets of a demo.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Size {
    /// One to three targets for each service.
    Small,
    /// The number of targets in the described deployments.
    #[display("brief")]
    Full,
}

/// Error of an unknown shape or size.
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

    /// Returns the services of all users and the shared pools.
    pub fn services(self) -> Vec<&'static Service> {
        let own = self.users().into_iter().flat_map(|user| user.services);
        own.chain(&common::POOLS).collect()
    }

    /// Returns the share of all requests that call a service.
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

/// Services, pipelines and teams of one user of the system.
#[derive(Debug)]
pub struct User {
    /// Services of this user only.
    pub services: &'static [Service],
    /// Pipelines that all its teams may call.
    pub pipelines: &'static [Pipeline],
    /// Teams.
    pub teams: &'static [Team],
}

/// A service and its fake targets.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Protocol.
    pub kind: bundle::Kind,
    /// Whether its targets fence orders.
    pub orders: bundle::Orders,
    /// Models that its targets load.
    pub models: &'static [&'static str],
    /// Number of targets in a small demo.
    pub small: usize,
    /// Number of targets in a full demo.
    pub full: usize,
    /// Mean time of a pool's call or an engine's token.
    pub time: &'static str,
}

impl Service {
    /// Returns the mean time of a pool's call or an engine's token.
    pub fn step_time(&self, pace: u32) -> time::Duration {
        let step: Result<unit::Period, _> = self.time.parse();
        step.map_or(time::Duration::ZERO, |step| step.0 * pace)
    }

    /// Returns the mean time of a call at full speed with a cached prefix.
    pub fn call_time(&self, pace: u32) -> time::Duration {
        let step = self.step_time(pace);
        match self.kind {
            bundle::Kind::Pool => step,
            bundle::Kind::Engine => step * OUTPUT_TOKENS + PREFILL_TIME * pace / 10,
        }
    }

    /// Returns the number of targets for a size.
    pub fn target_count(&self, size: Size) -> usize {
        match size {
            Size::Small => self.small,
            Size::Full => self.full,
        }
    }
}

/// A pipeline with its objectives and its share of the load.
#[derive(Debug)]
pub struct Pipeline {
    /// Name.
    pub name: &'static str,
    /// Stage names with their services.
    pub stages: &'static [(&'static str, &'static str)],
    /// Whether a request may execute more than once.
    pub idempotent: bool,
    /// Deadline.
    pub deadline: &'static str,
    /// Priority.
    pub priority: bundle::Priority,
    /// Share of a team's requests in percent.
    pub percent: u32,
}

/// A team.
#[derive(Debug)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// Weight of its guaranteed share and of its offered load.
    pub weight: u32,
}
