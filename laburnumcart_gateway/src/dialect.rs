//! Interface to a platform: its HTTP headers, batch calls and store entries.

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
    quota,
    speed, //
};

use crate::view;

/// A message that violates the platform's protocol; the text names the offending part.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("malformed {_0}")]
pub struct Malformed(#[error(not(source))] pub &'static str);

/// Prompt of a request for a model engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Parts in order, for prefix matching.
    pub parts: Vec<placement::Part>,
    /// Tokens in the prompt.
    pub input: u64,
    /// Maximum number of tokens to generate.
    pub output: u64,
}

impl Prompt {
    /// Returns the parts that other requests may have too.
    pub fn shared_parts(&self) -> &[placement::Part] {
        placement::shared(&self.parts)
    }
}

/// Parsed head of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Identifier of this attempt, chosen by the caller.
    pub attempt: String,
    /// Time that the caller says it will wait.
    pub timeout: Option<time::Duration>,
    /// Key that identifies the caller's team.
    pub api_key: Option<String>,
    /// Last event that the caller received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
    /// Prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Number of pieces of each stage; a stage with 0 pieces is skipped.
    pub pieces: Vec<u32>,
    /// Input of the pieces of first stages.
    pub input_key: Option<String>,
}

/// Headers that the gateway adds to a request for a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHeaders<'a> {
    /// Intended target; any other target refuses the request.
    pub target: &'a id::TargetName,
    /// Team of the caller, if it is known.
    pub team: Option<&'a id::TeamName>,
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Handles of the results of the last stages.
    pub inputs: Option<&'a [batch::Handle]>,
    /// Last event that was forwarded to the caller, when a stream is resumed.
    pub last_event: Option<u64>,
    /// Priority rank of the request.
    pub rank: u8,
}

/// Parsed head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Attempt that the target echoes.
    pub attempt: Option<String>,
    /// Whether the target marked the response as its own.
    pub stamped: bool,
    /// Whether the target states that it has not executed the request.
    pub not_run: bool,
    /// Whether another target answered at this address.
    pub misdirected: bool,
    /// Name of the target that answered, if the response states it.
    pub target: Option<String>,
    /// Load that the target reports.
    pub load: Option<placement::Report>,
    /// Number of requests that the target runs concurrently.
    pub slots: Option<u32>,
    /// How long work takes at the target, relative to its usual time.
    pub slowdown: speed::Figure,
    /// Time for which the target keeps an idle connection open.
    pub idle_timeout: Option<time::Duration>,
    /// Rate limit that the target advertises.
    pub limit: quota::Limit,
    /// Whether the target is shutting down.
    pub leaving: bool,
    /// Time for which the target asks this process to send nothing.
    pub backoff: Option<time::Duration>,
}

/// Input of a piece of a stage.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Input {
    /// The caller's key, for first stages.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<batch::Handle>),
}

impl Input {
    /// Returns whether an input result was lost because its target restarted.
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

/// One piece in a batch call.
#[derive(Clone, Debug)]
pub struct BatchItem<'a> {
    /// Attempt of the caller.
    pub attempt: &'a str,
    /// Index of the stage.
    pub stage: u32,
    /// Index of the piece within the stage.
    pub piece: u32,
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Input of the piece.
    pub input: &'a Input,
}

/// HTTP protocol of the platform's callers and targets.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHead, Malformed>;

    /// Turns a caller's headers into those for a target.
    ///
    /// Removes headers that only the system may set and hop-by-hop headers, then adds `added`.
    fn rewrite_headers(&self, headers: &mut HeaderMap, added: &TargetHeaders<'_>);

    /// Sets the time that the caller still waits.
    fn set_remaining(&self, headers: &mut HeaderMap, remaining: time::Duration);

    /// Parses the head of a target's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Encodes a status check of a target.
    fn encode_probe(&self, target: &id::TargetName, path: &str) -> Request<Bytes>;

    /// Encodes a batch call; the target echoes `label`.
    fn encode_batch(
        &self,
        target: &id::TargetName,
        label: &str,
        items: &[BatchItem<'_>],
    ) -> Request<Bytes>;

    /// Decodes the response to [`Dialect::encode_batch`].
    ///
    /// It must hold the outcomes of exactly `count` pieces. `life` identifies the run of the target
    /// that stores the results.
    fn decode_batch(
        &self,
        body: &[u8],
        count: usize,
        life: id::Life,
    ) -> Result<Vec<batch::Outcome>, Malformed>;

    /// Encodes a call that frees results.
    fn encode_free(&self, target: &id::TargetName, handles: &[batch::Handle]) -> Request<Bytes>;

    /// Returns the address of the target that stores a result.
    fn result_addr(&self, handle: &batch::Handle) -> Option<net::SocketAddr>;
}

/// Store entry of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEntry {
    /// Target that the entry describes.
    pub target: view::Target,
    /// Rest of the target's warm-up time, during which it gets a reduced rate.
    pub cold_for: time::Duration,
}

/// Layout and encoding of the platform's store.
pub trait StoreLayout: Send + Sync + 'static {
    /// Returns the key of the configuration.
    fn table_key(&self) -> &'static str;

    /// Returns the key prefix of targets.
    fn targets_prefix(&self) -> &'static str;

    /// Returns the key prefix of this system's own processes.
    fn members_prefix(&self) -> &'static str;

    /// Returns the key prefix of evacuations; the last part of a key names a data centre.
    fn evacuations_prefix(&self) -> &'static str;

    /// Returns the key prefix of notes on the software versions of services.
    fn versions_prefix(&self) -> &'static str;

    /// Returns the key prefix of the journals of origins of streams.
    fn origins_prefix(&self) -> &'static str;

    /// Returns the key prefix of notes on the versions that each process may have used.
    fn usage_prefix(&self) -> &'static str;

    /// Returns the key prefix of notes on contents that have crashed several targets.
    fn contents_prefix(&self) -> &'static str;

    /// Parses the configuration; `known` are the limits that stay in force where it has none that
    /// can be read.
    fn parse_table(
        &self,
        value: &str,
        known: &ingress::Limits,
    ) -> Result<ingress::Table, Malformed>;

    /// Parses a target's entry; `name` is the last part of its key.
    fn parse_target(&self, name: &str, value: &str) -> Result<TargetEntry, Malformed>;
}
