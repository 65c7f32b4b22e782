//! Distribution of store data: a few readers watch the store, the other processes ask them.
//!
//! Each process follows several topics of the store. If each watched them itself, that would cost
//! two calls a second per process, most without news. Instead the readers
//! ([`laburnumcart::readers`]) make these calls, and in the other processes
//! [`relayed_store::RelayedStore`] replaces them by a request to a reader. Readers pass on the
//! store's values and versions unchanged, so that they are validated like data from the store
//! itself, together with the age of the data.
//!
//! An age is a duration on a clock that counts suspended time, not a time of day. It starts before
//! the read was sent and includes every delay of an answer, so that a pause, a slow link or a chain
//! of processes makes data older, never younger. Processes need not agree on who the readers are,
//! as an answer is judged by its age alone.

pub mod cache;
mod candidates;
mod fetch;
mod flights;
pub mod packed;
mod reading;
pub mod reads;
pub mod relayed_store;
mod signal_sync;
pub mod signals;
mod sources;
mod steps;

use derive_more::Display;
use jsonrpsee::{
    core::RpcResult,
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use laburnumcart::{
    id,
    unit, //
};
use laburnumcart_platform::store;

use crate::{
    dialect,
    view, //
};

/// Part of the store that processes follow.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Topic {
    /// Configuration.
    Table,
    /// Targets.
    Targets,
    /// Processes of the system.
    Members,
    /// Evacuated data centres, whose targets get no work.
    Evacuations,
}

impl Topic {
    /// Returns the key prefix of the topic in the store.
    pub fn prefix(self, layout: &dyn dialect::StoreLayout) -> &'static str {
        match self {
            Self::Table => layout.table_key(),
            Self::Targets => layout.targets_prefix(),
            Self::Members => layout.members_prefix(),
            Self::Evacuations => layout.evacuations_prefix(),
        }
    }
}

/// Request for the changes of a topic, or for all of its objects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Requested topic.
    pub topic: Topic,
    /// Revision that the caller has; `None` requests all objects.
    pub after: Option<store::Revision>,
    /// Maximum time to wait for a change.
    pub wait: unit::Period,
    /// Maximum age of the data.
    #[serde(rename = "limit")]
    pub max_age: unit::Period,
    /// Whether to wait for fresh data if the data is older than that.
    #[serde(rename = "hold")]
    pub wait_fresh: bool,
    /// Whether the answer may be of any size.
    #[serde(rename = "large")]
    pub allow_large: bool,
    /// Version of the target signals that the caller has; `None` requests no signals.
    pub signals: Option<u64>,
    /// Whether a large answer may be packed; processes of earlier versions ignore it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accept: Option<packed::Accept>,
}

/// Answer to a [`FollowRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// All objects of the topic.
    Listing(store::Listing),
    /// Changes, empty if the wait ended first.
    Changes(store::Changes),
    /// The requested revision was compacted.
    Compacted,
    /// The data is older than `max_age`.
    #[serde(rename = "behind")]
    Stale,
    /// The answer is large and should be read from the store, which has more bandwidth.
    #[serde(rename = "large")]
    TooLarge,
    /// A packed listing or packed changes, only for callers that accept them.
    Packed(packed::Packed),
}

/// Answer to a [`FollowRequest`], with target signals that the caller doesn't have yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowReply {
    /// Store data.
    pub answer: Answer,
    /// New target signals, if any.
    pub signals: Option<signals::SignalUpdate>,
}

/// Connections by which a process requests store data from others and reports target signals.
pub trait Peers: Send + Sync + 'static {
    /// Returns whether a peer can be called, which is not so in a backoff after a failure.
    fn is_up(&self, member: &view::Member) -> bool;

    /// Requests store data from a peer and returns `None` if the connection failed.
    fn follow(
        &self,
        member: &view::Member,
        request: FollowRequest,
    ) -> impl Future<Output = Option<FollowReply>> + Send;

    /// Requests a part of a packed answer from a peer.
    fn part(
        &self,
        member: &view::Member,
        request: packed::PartRequest,
    ) -> impl Future<Output = Option<packed::Data>> + Send;

    /// Sends target signals and completions to a peer.
    fn report(
        &self,
        member: &view::Member,
        signals: Vec<signals::TargetSignal>,
        completed: Vec<signals::Completion>,
    ) -> impl Future<Output = ()> + Send;
}

/// Calls between processes that share store data and target signals.
#[rpc(server, client)]
pub trait Relay {
    /// Returns the changes of a topic, once there are any or the wait ends.
    #[method(name = "follow")]
    async fn follow(&self, request: FollowRequest) -> RpcResult<FollowReply>;

    /// Returns a part of a packed answer, or `None` if it is not kept any more.
    #[method(name = "part")]
    async fn part(&self, request: packed::PartRequest) -> RpcResult<Option<packed::Data>>;

    /// Merges target signals that the caller received.
    #[method(name = "tell")]
    async fn tell(&self, signals: Vec<signals::TargetSignal>) -> RpcResult<()>;

    /// Merges completions of content that had failed at crashed targets.
    #[method(name = "tell-completed")]
    async fn tell_completed(&self, completed: Vec<signals::Completion>) -> RpcResult<()>;

    /// Returns whether the caller may run a content that may crash its target.
    #[method(name = "begin-trial")]
    async fn begin_trial(&self, content: id::Fingerprint) -> RpcResult<bool>;

    /// Ends a run that was permitted, and merges the crashes of its content.
    #[method(name = "end-trial")]
    async fn end_trial(
        &self,
        content: id::Fingerprint,
        crashes: Vec<signals::TargetSignal>,
    ) -> RpcResult<()>;
}
