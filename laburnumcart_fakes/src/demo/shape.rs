//! Customers of the demo with their services, pipelines and teams, and the size of the demo.

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

/// Customers whose services, pipelines and teams make up a demo (`--shape`).
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Shape {
    /// Only `araya`, a legal aid organisation.
    Araya,
    /// Only `quetzal`, a race timing company.
    Quetzal,
    /// Both customers in one system.
    Both,
}

/// Size of a demo, which sets the number of targets of each service (`--size`).
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum Size {
    /// One to three targets for each service.
    Small,
    /// As many targets as in the deployments that the demo represents.
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
    /// Returns the customers of the demo.
    pub fn customers(self) -> Vec<&'static Customer> {
        match self {
            Self::Araya => vec![&araya::CUSTOMER],
            Self::Quetzal => vec![&quetzal::CUSTOMER],
            Self::Both => vec![&araya::CUSTOMER, &quetzal::CUSTOMER],
        }
    }

    /// Returns the services of all customers and the shared pools.
    pub fn services(self) -> Vec<&'static Service> {
        let own = self
            .customers()
            .into_iter()
            .flat_map(|customer| customer.services);
        own.chain(&common::SHARED_POOLS).collect()
    }

    /// Returns the share of all requests that call a service.
    pub fn call_share(self, service: &str) -> f64 {
        let customers = self.customers();
        let load = |customer: &Customer| customer.teams.iter().map(|team| team.weight).sum::<u32>();
        let calls = |customer: &Customer| {
            let pipelines = customer.pipelines.iter();
            let calling = pipelines.filter(|p| p.stages.iter().any(|(_, s)| *s == service));
            calling.map(|p| p.percent).sum::<u32>() * load(customer)
        };
        let called: u32 = customers.iter().map(|customer| calls(customer)).sum();
        let all: u32 = customers.iter().map(|customer| load(customer)).sum();
        f64::from(called) / f64::from(100 * all)
    }
}

/// Services, pipelines and teams of one customer of the platform.
#[derive(Debug)]
pub struct Customer {
    /// Services of this customer only.
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
    /// How its targets treat orders (to load or unload models) with a stale number.
    pub order_fencing: bundle::Orders,
    /// Models that its targets load.
    pub models: &'static [&'static str],
    /// Number of targets in a small demo.
    pub small_targets: usize,
    /// Number of targets in a full demo.
    pub full_targets: usize,
    /// Mean time of a pool's call or an engine's token.
    pub mean_time: &'static str,
}

impl Service {
    /// Returns the mean time of a pool's call or an engine's token, multiplied by a factor.
    pub fn step_time(&self, time_factor: u32) -> time::Duration {
        let step: Result<unit::Period, _> = self.mean_time.parse();
        step.map_or(time::Duration::ZERO, |step| step.0 * time_factor)
    }

    /// Returns the mean time of a call at full speed with a cached prefix, multiplied by a factor.
    pub fn call_time(&self, time_factor: u32) -> time::Duration {
        let step = self.step_time(time_factor);
        match self.kind {
            bundle::Kind::Pool => step,
            bundle::Kind::Engine => step * OUTPUT_TOKENS + PREFILL_TIME * time_factor / 10,
        }
    }

    /// Returns the number of targets for a size.
    pub fn target_count(&self, size: Size) -> usize {
        match size {
            Size::Small => self.small_targets,
            Size::Full => self.full_targets,
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
