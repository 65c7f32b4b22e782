//! Messages for executing a stage, and the reassembly of its result.

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

/// Maximum number of chunks in one message.
pub const CHUNKS_MAX: usize = 4096;

/// Maximum length of a trace context in bytes.
pub const TRACEPARENT_MAX: usize = 256;

/// Request to an agent to execute one stage on its target.
#[derive(Clone, Debug, Serialize)]
pub struct Call {
    /// Session of the connection that carries the call.
    pub session: lane::Session,
    /// Incarnation of the agent that the call is addressed to.
    pub incarnation: id::Incarnation,
    /// Request that the stage belongs to.
    pub request: id::RequestId,
    /// Attempt that this call starts.
    pub attempt: id::AttemptId,
    /// Team that is charged.
    pub team: id::TeamName,
    /// Pipeline, for cost accounting and traces.
    pub pipeline: id::PipelineName,
    /// Stage within the pipeline.
    pub stage: id::StageName,
    /// Generation of the bundle under which the request was admitted.
    pub generation: id::Generation,
    /// Fingerprint of the whole request's content.
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
    /// Text already received from an earlier attempt; the engine resumes after it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub received: Option<String>,
    /// Request body for the target.
    pub body: Box<value::RawValue>,
}

/// Request for further chunks of an attempt's result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Next {
    /// Attempt to read.
    pub attempt: id::AttemptId,
    /// Number of the first chunk wanted; acknowledges all chunks before it.
    pub from: u32,
    /// Longest time to wait for a chunk.
    pub wait: unit::Period,
}

/// Query over a new connection for the state of an attempt sent over an earlier one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Session of the new connection; the agent must have fenced all older ones of the lane.
    pub session: lane::Session,
    /// Incarnation of the agent that the attempt was addressed to; another one cannot know it.
    pub incarnation: id::Incarnation,
    /// Number of the session that carried the attempt; lower than that of the new session.
    pub sent: u64,
    /// Attempt whose outcome is unknown.
    pub attempt: id::AttemptId,
    /// Number of the first chunk wanted.
    pub from: u32,
}

/// State of an attempt at its agent, with chunks of its result.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// Request of the attempt.
    pub request: id::RequestId,
    /// Attempt that was asked about.
    pub attempt: id::AttemptId,
    /// Consecutive chunks, starting with the number that was asked for.
    pub chunks: Vec<Chunk>,
    /// State of the attempt.
    pub state: State,
}

/// Numbered part of the text of a result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Chunk {
    /// Number within the attempt, from 0.
    pub number: u32,
    /// Text of the chunk.
    pub text: String,
}

/// State of an attempt at its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// The attempt waits for a slot at the target.
    Queued,
    /// The target executes the attempt.
    Running,
    /// The result is complete.
    Done(End),
    /// The attempt failed; the agent has proof of the verdict.
    Refused(verdict::Refusal),
}

/// End mark of a result.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Total number of chunks.
    pub count: u32,
    /// 128-bit XXH3 hash of the text of all chunks in order.
    pub checksum: id::Checksum,
    /// Time that the target spent on the attempt.
    pub busy: unit::Period,
    /// Time that the attempt was queued at the agent.
    pub queued: unit::Period,
}

/// Cancels an attempt, or discards the result of one that has ended.
///
/// The sender has settled the attempt and sends no more queries for it. The sender needs no answer:
/// if the message is lost, the deadline and the retention time have the same effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// Attempt to cancel.
    pub attempt: id::AttemptId,
}

/// Reassembles the chunks of one result and checks that it is complete.
#[derive(Debug, Default)]
pub struct Assembler {
    text: String,
    next: u32,
}

/// Integrity error of a result.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
pub enum IntegrityError {
    /// A chunk before the received one is missing.
    #[display("a chunk of the result is missing")]
    Gap,
    /// The number of received chunks differs from the count in the end mark.
    #[display("number of chunks differs from the end mark")]
    Count,
    /// The checksum of the text differs from that in the end mark.
    #[display("checksum of the result does not match")]
    Checksum,
}

impl Assembler {
    /// Returns the number of the next chunk expected.
    pub fn next_number(&self) -> u32 {
        self.next
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Appends a chunk; returns `false` for a duplicate, which is skipped.
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

    /// Checks the result against the end mark and returns its text.
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

/// Returns the checksum of the text of a complete result.
pub fn checksum(text: &str) -> id::Checksum {
    id::Checksum(xxhash_rust::xxh3::xxh3_128(text.as_bytes()))
}
