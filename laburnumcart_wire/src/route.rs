//! Route page of a gateway: where a request would go, and why.

use std::{
    fmt,
    str, //
};

use derive_more::{
    Display,
    Error, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    id,
    unit,
    verdict, //
};

use crate::gateway;

/// Path of the route page on a gateway's admin port.
pub const PATH: &str = "/route";

/// A question that cannot be answered; the text says which part is at fault.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{_0}")]
pub struct Invalid(#[error(not(source))] pub String);

/// Part of a prompt, written as `ID:TOKENS` with a hexadecimal ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}:{}", self.id, self.tokens)
    }
}

impl str::FromStr for Part {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let parse = || {
            let (id, tokens) = text.split_once(':')?;
            Some(Self {
                id: u64::from_str_radix(id, 16).ok()?,
                tokens: tokens.parse().ok()?,
            })
        };
        let malformed = || {
            Invalid(format!(
                "malformed part `{text}`: a hexadecimal ID, a colon and a number of tokens are \
                 expected"
            ))
        };
        parse().ok_or_else(malformed)
    }
}

/// Description of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Question {
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// HTTP method; POST if there is none.
    pub method: Option<String>,
    /// Team of the caller.
    pub team: Option<id::TeamName>,
    /// Tokens of the prompt.
    pub tokens: Option<u64>,
    /// Parts of the prompt in order; the last one is specific to the request.
    pub parts: Vec<Part>,
}

impl Question {
    /// Encodes the question as the query of a URI.
    pub fn to_query(&self) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        query.append_pair("host", &self.host);
        query.append_pair("path", &self.path);
        if let Some(method) = &self.method {
            query.append_pair("method", method);
        }
        if let Some(team) = &self.team {
            query.append_pair("team", team.as_str());
        }
        if let Some(tokens) = self.tokens {
            query.append_pair("tokens", &tokens.to_string());
        }
        for part in &self.parts {
            query.append_pair("part", &part.to_string());
        }
        query.finish()
    }

    /// Parses the query of a URI.
    pub fn parse(query: &str) -> Result<Self, Invalid> {
        let mut question = Self::default();
        for (key, value) in form_urlencoded::parse(query.as_bytes()) {
            let invalid = |error: &dyn fmt::Display| Invalid(format!("{key}: {error}"));
            match &*key {
                "host" => question.host = value.into_owned(),
                "path" => question.path = value.into_owned(),
                "method" => question.method = Some(value.into_owned()),
                "team" => question.team = Some(value.parse().map_err(|e| invalid(&e))?),
                "tokens" => question.tokens = Some(value.parse().map_err(|e| invalid(&e))?),
                "part" => question.parts.push(value.parse()?),
                _ => return Err(Invalid(format!("unknown key `{key}`"))),
            }
        }
        let missing = |key: &str| Err(Invalid(format!("{key} is missing")));
        match (question.host.is_empty(), question.path.is_empty()) {
            (true, _) => missing("host"),
            (_, true) => missing("path"),
            _ => Ok(question),
        }
    }
}

/// Where a request would go, as one gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Instance name of the gateway.
    pub instance: id::InstanceName,
    /// Data centre of the gateway.
    pub data_centre: id::DataCentre,
    /// Version of the configuration in force.
    pub version: u64,
    /// Age of the configuration in force.
    pub age: Option<unit::Period>,
    /// Name of the matched route.
    pub route: String,
    /// HTTP method of the request.
    pub method: String,
    /// Rank that targets would be told.
    pub rank: u8,
    /// What would happen to the request at the service that gets the largest share of the route.
    pub outcome: Outcome,
    /// Queues of the route's stages, in the order of the stages.
    pub queues: Vec<gateway::Queue>,
    /// Services of the route, the one with the largest share first.
    pub services: Vec<Service>,
}

/// What would happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request would be sent to a target immediately.
    Sent,
    /// The request would wait for the results of its stages, and then for a target.
    Waits,
    /// The request would be refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason of the refusal.
        reason: verdict::Reason,
        /// Value of the `Retry-After` header, which contains random jitter.
        retry_after: Option<unit::Period>,
    },
}

/// A service of the route with its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub service: id::ServiceName,
    /// Share of the route's requests that the service gets.
    pub share: unit::Share,
    /// What would happen to the request at this service.
    pub outcome: Outcome,
    /// Targets that can get the request, in the order of preference.
    pub candidates: Vec<Candidate>,
    /// Other targets of the service.
    pub excluded: Vec<Excluded>,
}

/// A target that can get the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the target.
    pub target: id::TargetName,
    /// Data centre of the target.
    pub data_centre: id::DataCentre,
    /// Probability that the request is sent to it.
    pub share: unit::Share,
    /// Figures that decide.
    pub figures: Figures,
}

/// Figures that decide about a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Figures {
    /// Figures of a model engine; the one with the least cost is chosen.
    Engine {
        /// Cost of placing the request there, in milliseconds; negative with affinity.
        cost_ms: f64,
        /// Prompt tokens that the engine would have to prefill.
        uncached_tokens: u64,
        /// Requests of this gateway that run there.
        running: u32,
        /// Requests of all gateways that run there, by a report that is still valid.
        reported: Option<u32>,
        /// Requests of all gateways that wait there, by the same report.
        waiting: Option<u32>,
        /// Whether all gateways prefer the engine for the prompt's shared parts.
        affine: bool,
        /// Time left of the pause after a failure; such an engine is used if there is no other.
        paused: Option<unit::Period>,
    },
    /// Figures of a target of a plain service; of two drawn ones, the sooner is chosen.
    Plain {
        /// Expected time until the request would complete.
        expected: unit::Period,
        /// Requests of this gateway in flight to the target.
        in_flight: u32,
        /// Whether the target is excluded as an outlier after failures.
        ejected: bool,
    },
}

/// A target that cannot get the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Excluded {
    /// Name of the target.
    pub target: id::TargetName,
    /// Data centre of the target.
    pub data_centre: id::DataCentre,
    /// First reason that excludes it.
    pub cause: Cause,
}

/// Reason that excludes a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The target accepts no new work because it is draining.
    Leaving,
    /// The data centre of the target is evacuated.
    Evacuated,
    /// The request must not run in the data centre of the target.
    DataCentre,
    /// The target answers nothing, not even status checks.
    Silent,
    /// The target asked this gateway to back off; with the remaining time.
    Backoff(unit::Period),
    /// This gateway has used up its part of the target's rate; with the remaining time, if known.
    Limit(Option<unit::Period>),
    /// The target is paused after failures; with the remaining time, if known.
    Paused(Option<unit::Period>),
    /// No new stream should begin at the target's software version.
    Version,
    /// The target was listed just now and gets requests from the next update on.
    New,
}
