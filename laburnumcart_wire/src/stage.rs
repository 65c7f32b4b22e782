//! Calls of a stage and their results.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::value;

use laburnumcart::{
    bundle,
    id,
    unit,
    verdict, //
};

use crate::lane;

mod visitor;

/// Most chunks that one message carries.
pub const CHUNKS_MAX: usize = 4096;

/// Longest trace context in bytes.
pub const TRACEPARENT_MAX: usize = 256;

/// Asks an agent to execute one stage on its target.
#[derive(Clone, Debug, Serialize)]
pub struct Call {
    /// Connection that carries the call.
    pub session: lane::Session,
    /// Life of the agent that the call is meant for.
    pub incarnation: id::Incarnation,
    /// Request that the stage belongs to.
    pub request: id::RequestId,
    /// This dispatch.
    pub attempt: id::AttemptId,
    /// Team that is charged.
    pub team: id::TeamName,
    /// Pipeline, for accounts and traces.
    pub pipeline: id::PipelineName,
    /// Stage within the pipeline.
    pub stage: id::StageName,
    /// Bundle under which the request was admitted.
    pub generation: id::Generation,
    /// Content of the whole request.
    pub fingerprint: id::Fingerprint,
    /// Priority under contention.
    pub priority: bundle::Priority,
    /// Whether the target may execute the stage more than once.
    pub idempotent: bool,
    /// Time left until the caller's deadline.
    pub remaining: unit::Period,
    /// W3C trace context of the sender's span.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<String>,
    /// Text that an earlier attempt has already received; the engine goes on after it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub received: Option<String>,
    /// Request body for the target.
    pub body: Box<value::RawValue>,
}

/// Asks for more of an attempt's result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Next {
    /// Attempt to read.
    pub attempt: id::AttemptId,
    /// Number of the first chunk wanted; all before it are acknowledged.
    pub from: u32,
    /// Longest time to wait for a chunk.
    pub wait: unit::Period,
}

/// Asks over a new connection what became of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// The new connection; the agent must have fenced all older ones of the lane.
    pub session: lane::Session,
    /// Life of the agent that the attempt was addressed to; another one knows nothing of it.
    pub incarnation: id::Incarnation,
    /// Number of the session that carried the attempt; lower than that of the new connection.
    pub sent: u64,
    /// Attempt in doubt.
    pub attempt: id::AttemptId,
    /// Number of the first chunk wanted.
    pub from: u32,
}

/// What an agent knows of an attempt, with a part of its result.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// Echo of the request.
    pub request: id::RequestId,
    /// Echo of the attempt.
    pub attempt: id::AttemptId,
    /// Chunks in order, starting with the number that was asked for.
    pub chunks: Vec<Chunk>,
    /// Where the attempt stands.
    pub state: State,
}

/// A numbered part of a result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Chunk {
    /// Number within the attempt, from 0.
    pub number: u32,
    /// Text of the part.
    pub text: String,
}

/// Where an attempt stands at its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Waits for a slot at the target.
    Queued,
    /// The target executes it.
    Running,
    /// All of the result exists.
    Done(End),
    /// It failed; the verdict is proven by the agent.
    Refused(verdict::Refusal),
}

/// End mark of a result.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Number of chunks in all.
    pub count: u32,
    /// xxh3 over the text of all chunks in order.
    pub checksum: id::Checksum,
    /// Time that the target spent on it.
    pub busy: unit::Period,
    /// Time that it waited at the agent.
    pub queued: unit::Period,
}

/// Cancels an attempt, or gives up the result of one that has ended.
///
/// The sender has settled the attempt and asks no more about it. An answer is not needed, as the
/// deadline and the retention time end it in any case.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Attempt to cancel.
    pub attempt: id::AttemptId,
}

/// Checks the chunks of one result as they arrive and joins them.
#[derive(Debug, Default)]
pub struct Assembler {
    text: String,
    next: u32,
}

/// A result that cannot be whole.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum IntegrityError {
    /// A chunk is missing before the one that arrived.
    #[display("chunk missing")]
    Gap,
    /// The end mark counts other chunks than arrived.
    #[display("wrong number of chunks")]
    Count,
    /// The text differs from what the agent sent.
    #[display("checksum mismatch")]
    Checksum,
}

impl Assembler {
    /// Returns the number of the next chunk wanted.
    pub fn next_number(&self) -> u32 {
        self.next
    }

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds a chunk; one that was seen before is skipped.
    pub fn push(&mut self, chunk: &Chunk) -> Result<bool, IntegrityError> {
        if chunk.number < self.next {
            return Ok(false);
        }
        if chunk.number > self.next {
            return Err(IntegrityError::Gap);
        }
        self.text.push_str(&chunk.text);
        self.next += 1;
        Ok(true)
    }

    /// Checks the end mark and returns the whole text.
    pub fn finish(self, end: &End) -> Result<String, IntegrityError> {
        if self.next != end.count {
            return Err(IntegrityError::Count);
        }
        if checksum(&self.text) != end.checksum {
            return Err(IntegrityError::Checksum);
        }
        Ok(self.text)
    }
}

/// Digests the text of a whole result.
pub fn checksum(text: &str) -> id::Checksum {
    id::Checksum(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
}
