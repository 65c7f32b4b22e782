//! What a gateway tells operators of itself.

use laburnumcart::{
    id,
    unit, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Path on a gateway's admin port.
pub const STATE: &str = "/state";

/// What one gateway knows and does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Name of its instance.
    pub instance: id::InstanceName,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration in force.
    pub version: Option<u64>,
    /// Age of the configuration.
    pub age: Option<unit::Period>,
    /// How late it gets to its work, in the mean.
    #[serde(default)]
    pub late: unit::Period,
    /// Gateways that it knows, itself included.
    pub members: usize,
    /// Gateways that follow the store, as it sees them.
    pub readers: Vec<id::InstanceName>,
    /// Data centres that get no work; nothing before that is known.
    pub evacuated: Option<Vec<Evacuated>>,
    /// Queues of stages.
    pub queues: Vec<Queue>,
    /// Targets that get less than others, or nothing.
    pub held: Vec<Restricted>,
    /// Number of all targets.
    pub targets: usize,
}

/// A data centre that is evacuated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evacuated {
    /// Its name.
    pub data_centre: id::DataCentre,
    /// Time for which the gateway has known it.
    pub known: unit::Period,
}

/// The queue of a service's pieces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Service.
    pub service: id::ServiceName,
    /// Gateway that jobs are sent to.
    pub owner: Option<id::InstanceName>,
    /// Pieces that wait here.
    pub waiting: usize,
}

/// A target that gets less than others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Restricted {
    /// Its name.
    pub target: id::TargetName,
    /// Service that it belongs to.
    pub service: id::ServiceName,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Why.
    pub causes: Vec<Cause>,
    /// Requests in a second that this gateway may send to it; any number without one.
    pub part: Option<unit::Rate>,
}

/// Why a target gets less than others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It takes no new work.
    Leaving,
    /// Its data centre is evacuated.
    Evacuated,
    /// It has just started; for so long.
    Cold(unit::Period),
    /// It has named a limit.
    Limit(unit::Rate),
    /// It wants nothing from this process; for so long.
    Backoff(unit::Period),
}
