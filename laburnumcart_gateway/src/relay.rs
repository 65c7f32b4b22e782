//! One view of the store for all processes: a few read it, the others ask them.
//!
//! Each process follows several topics of the store. Followed by each for itself, that took two calls
//! a second of every process, nearly all of which told nothing. Now the readers
//! ([`laburnumcart::readers`]) make these calls, and [`source::Source`] puts an exchange with a
//! reader in the place of the others'. What is passed on is the store's own text with its versions,
//! read as strictly as what the store says, and the age of the knowledge.
//!
//! Ages are lengths of time on a clock that counts suspensions, never times of day. An age counts
//! from before a read was sent and goes on while an answer waits anywhere, so that a pause, a slow
//! link or a chain of processes makes knowledge older and never younger. Nobody has to be right
//! about who reads: an answer is as good as its age.

pub mod cache;
pub mod relayed_store;
pub mod signals;

use derive_more::Display;
use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::unit;
use laburnumcart_platform::store;

use crate::dialect;

/// What processes follow in the store.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Topic {
    /// The configuration.
    Table,
    /// The targets.
    Targets,
    /// The processes of the system.
    Members,
    /// The data centres whose targets get no work.
    Evacuations,
}

impl Topic {
    /// Returns the prefix under which the store keeps it.
    pub fn prefix(self, directory: &dyn dialect::Directory) -> &'static str {
        match self {
            Self::Table => directory.table_key(),
            Self::Targets => directory.targets_prefix(),
            Self::Members => directory.members_prefix(),
            Self::Evacuations => directory.evacuations_prefix(),
        }
    }
}

/// A question about a topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Topic.
    pub topic: Topic,
    /// Revision that the asking process has; without one it wants all objects.
    pub after: Option<store::Revision>,
    /// Longest wait for a change.
    pub wait: unit::Period,
    /// Greatest age that it takes.
    #[serde(rename = "limit")]
    pub max_age: unit::Period,
    /// Whether to wait for younger knowledge where it is older than that.
    #[serde(rename = "hold")]
    pub wait_fresh: bool,
    /// Whether an answer may be of any size.
    #[serde(rename = "large")]
    pub allow_large: bool,
    /// Version of the signals of targets that the asking process has; without one it wants none.
    pub signals: Option<u64>,
}

/// Answer to a question.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// All objects.
    Listing(store::Listing),
    /// What has changed, nothing if the wait ended first.
    Changes(store::Changes),
    /// The revision is older than all that is remembered.
    Compacted,
    /// What is known is older than the limit.
    #[serde(rename = "behind")]
    Stale,
    /// The answer is large; the store has the better connection for it.
    #[serde(rename = "large")]
    TooLarge,
}

/// Answer to a question, with the signals of targets if there is more than the asking process has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// Answer.
    pub answer: Answer,
    /// What targets have said of themselves.
    pub signals: Option<signals::SignalUpdate>,
}

/// What a process tells others of the store, and what it is told of targets.
#[rpc(server, client)]
pub trait Relay {
    /// Answers a question.
    #[method(name = "follow")]
    async fn follow(&self, ask: FollowRequest) -> RpcResult<FollowReply>;

    /// Takes in what targets have said of themselves.
    #[method(name = "tell")]
    async fn tell(&self, signals: Vec<signals::TargetSignal>) -> RpcResult<()>;
}
