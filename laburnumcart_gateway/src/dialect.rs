//! What a platform tells the gateway: names of headers, calls of targets, entries of the store.

use std::{
    net,
    time, //
};

use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use http::{
    HeaderMap,
    Request,
    response, //
};

use laburnumcart::{
    batch,
    id,
    ingress,
    placement,
    quota, //
};

use crate::view;

/// A message that breaks the platform's protocol.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("malformed {_0}")]
pub struct Malformed(#[error(not(source))] pub &'static str);

/// Prompt of a request for a model engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order.
    pub parts: Vec<placement::Part>,
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub output: u64,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Identity of this attempt of the caller.
    pub attempt: String,
    /// How long the caller will wait.
    pub timeout: Option<time::Duration>,
    /// Key that tells the caller's team.
    pub api_key: Option<String>,
    /// Last event that the caller has, when it continues a stream.
    pub last_event: Option<u64>,
    /// Prompt, for model engines.
    pub prompt: Option<Prompt>,
    /// Number of pieces of each stage; 0 leaves the stage out.
    pub pieces: Vec<u32>,
    /// What the pieces of first stages work on.
    pub input_key: Option<String>,
}

/// What a target is told beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct TargetHeaders<'a> {
    /// Target that is meant; another one refuses.
    pub target: &'a id::TargetName,
    /// Team of the caller.
    pub team: Option<&'a id::TeamName>,
    /// Time left.
    pub remaining: time::Duration,
    /// Results of the last stages.
    pub inputs: Option<&'a [batch::Handle]>,
    /// Last event that was forwarded, when a stream is resumed.
    pub last_event: Option<u64>,
    /// Rank of the request.
    pub rank: u8,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Attempt that it answers.
    pub attempt: Option<String>,
    /// Whether the target vouches for the answer.
    pub stamped: bool,
    /// Whether the target proves that it has not run the request.
    pub not_run: bool,
    /// Whether another target has the address.
    pub misdirected: bool,
    /// Load that the target reports.
    pub load: Option<placement::Report>,
    /// Requests that the target runs at once.
    pub slots: Option<u32>,
    /// How long the target keeps an idle connection.
    pub idle_timeout: Option<time::Duration>,
    /// Requests that the target takes.
    pub limit: quota::Limit,
    /// Whether the target says that it is leaving.
    pub leaving: bool,
    /// Time for which the target wants no requests from this process.
    pub backoff: Option<time::Duration>,
}

/// Input of a piece.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// The caller's own key.
    Key(String),
    /// Results of the stages before.
    Results(Vec<batch::Handle>),
}

impl Input {
    /// Reports whether a result that it reads has gone with an earlier life of its target.
    pub fn is_lost(&self, targets: &view::Targets, dialect: &dyn Dialect) -> bool {
        let Self::Results(handles) = self else {
            return false;
        };
        handles.iter().any(|handle| {
            let addr = dialect.result_addr(handle);
            addr.is_some_and(|addr| targets.is_replaced(&addr, handle.life))
        })
    }
}

/// A piece in a call of a target.
#[derive(Clone, Debug)]
pub struct BatchItem<'a> {
    /// Attempt of the caller.
    pub attempt: &'a str,
    /// Number of the stage.
    pub stage: u32,
    /// Number of the piece.
    pub piece: u32,
    /// Time that is left.
    pub remaining: time::Duration,
    /// Input.
    pub input: &'a Input,
}

/// How the platform's callers and targets speak HTTP.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHead, Malformed>;

    /// Removes what only the system may set or what concerns only the caller's connection, and
    /// sets what the target is told.
    fn rewrite_headers(&self, headers: &mut HeaderMap, onward: &TargetHeaders<'_>);

    /// Reads the head of a target's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Writes a call of a batch; the target echoes `label`.
    fn encode_batch(
        &self,
        target: &id::TargetName,
        label: &str,
        items: &[BatchItem<'_>],
    ) -> Request<Bytes>;

    /// Reads the answer to [`Dialect::batch`], which must tell of `count` pieces; `life` is that of
    /// the target.
    fn decode_batch(
        &self,
        body: &[u8],
        count: usize,
        life: id::Life,
    ) -> Result<Vec<batch::Outcome>, Malformed>;

    /// Writes the call that frees results.
    fn encode_free(&self, target: &id::TargetName, handles: &[batch::Handle]) -> Request<Bytes>;

    /// Returns the address of the target that holds a result.
    fn result_addr(&self, handle: &batch::Handle) -> Option<net::SocketAddr>;
}

/// Entry of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// The target that it names.
    pub target: view::Target,
    /// Time for which the target stays cold.
    pub cold_for: time::Duration,
}

/// What the platform's store holds.
pub trait Directory: Send + Sync + 'static {
    /// Key of the configuration.
    fn table_key(&self) -> &'static str;

    /// Prefix of the targets.
    fn targets_prefix(&self) -> &'static str;

    /// Prefix of this system's own members.
    fn members_prefix(&self) -> &'static str;

    /// Prefix of the entries that each evacuate the data centre whose name they bear.
    fn evacuations_prefix(&self) -> &'static str;

    /// Reads the configuration.
    fn parse_table(&self, value: &str) -> Result<ingress::Table, Malformed>;

    /// Reads a target's entry; `name` is the last part of its key.
    fn parse_target(&self, name: &str, value: &str) -> Result<TargetEntry, Malformed>;
}
