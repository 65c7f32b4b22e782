//! State page of a gateway for operators.

use laburnumcart::{
    id,
    unit, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path of the state page on a gateway's admin port.
pub const STATE: &str = "/state";

/// State of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Instance name of the gateway.
    pub instance: id::InstanceName,
    /// Data centre of the gateway.
    pub data_centre: id::DataCentre,
    /// Whether the gateway is draining.
    pub leaving: bool,
    /// Version of the configuration in force, if there is one.
    pub version: Option<u64>,
    /// Number of its parts that cannot be read.
    #[serde(default)]
    pub refused_parts: usize,
    /// Age of the configuration in force.
    pub age: Option<unit::Period>,
    /// Mean lateness of the gateway's timers.
    #[serde(default)]
    pub late: unit::Period,
    /// Number of known gateways, including this one.
    pub members: usize,
    /// Gateways that are readers of the store, as known to this one.
    pub readers: Vec<id::InstanceName>,
    /// Evacuated data centres; `None` until they are known.
    pub evacuated: Option<Vec<Evacuated>>,
    /// Queues of pieces, one for each service with batching.
    pub queues: Vec<Queue>,
    /// Targets to which traffic is restricted or stopped.
    pub held: Vec<Restricted>,
    /// Number of known targets.
    pub targets: usize,
    /// Software versions of the targets that get requests.
    #[serde(default)]
    pub versions: Vec<Version>,
}

/// Targets of a service with one software version.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Version {
    /// Service of the targets.
    pub service: id::ServiceName,
    /// Version, if their entries state one.
    pub version: Option<id::SoftwareVersion>,
    /// Number of the targets.
    pub targets: usize,
}

/// An evacuated data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evacuated {
    /// Name of the data centre.
    pub data_centre: id::DataCentre,
    /// Time for which the gateway has known of the evacuation.
    pub known: unit::Period,
}

/// Queue of pieces of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Service of the queue.
    pub service: id::ServiceName,
    /// Queue owner: the gateway to which jobs are sent.
    pub owner: Option<id::InstanceName>,
    /// Number of pieces waiting at this gateway.
    pub waiting: usize,
}

/// A target with restricted traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restricted {
    /// Name of the target.
    pub target: id::TargetName,
    /// Service of the target.
    pub service: id::ServiceName,
    /// Data centre of the target.
    pub data_centre: id::DataCentre,
    /// Reasons for the restriction.
    pub causes: Vec<Cause>,
    /// This gateway's part of the target's rate, in requests per second; unlimited if `None`.
    pub part: Option<unit::Rate>,
}

/// Reason why a target's traffic is restricted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The target accepts no new work because it is draining.
    Leaving,
    /// The data centre of the target is evacuated.
    Evacuated,
    /// The target is warming up after its start; with the remaining time.
    Cold(unit::Period),
    /// The target advertises this rate limit.
    Limit(unit::Rate),
    /// The target asked this process to back off; with the remaining time.
    Backoff(unit::Period),
}
