//! Validation of a caller's request: credentials, idempotency, deadline and body.

use std::sync::Arc;

use serde_json::value;
use tokio::time;

use laburnumcart::{
    balancer,
    bundle,
    id,
    unit,
    verdict, //
};

use laburnumcart_daemon::traces;

use crate::control;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Headers and path of a request as received; only the HTTP size limits were checked.
#[derive(Clone, Debug, Default)]
pub struct Unchecked {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Bearer token.
    pub token: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Value of the header that permits or forbids repeated execution.
    pub idempotent: Option<String>,
    /// Requested deadline, as a duration.
    pub deadline: Option<String>,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// Validated head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request ID.
    pub id: id::RequestId,
    /// Configuration that applies to the request until it ends.
    pub rules: Arc<control::Rules>,
    /// Team that the request is charged to.
    pub team: id::TeamName,
    /// Name of the pipeline.
    pub pipeline: id::PipelineName,
    /// Scheduling priority.
    pub priority: bundle::Priority,
    /// Time of arrival.
    pub arrived: time::Instant,
    /// Time by which the complete answer must be available.
    pub deadline: time::Instant,
    /// Whether the whole request may execute more than once.
    pub idempotent: bool,
    /// Whether the caller requires execution at most once.
    at_most_once: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// W3C trace context of the caller.
    pub traceparent: Option<traces::Traceparent>,
}

/// A validated request with its body.
#[derive(Clone, Debug)]
pub struct Request {
    /// Validated head.
    pub head: Head,
    /// Body as JSON text.
    pub input: Box<value::RawValue>,
    /// Hash of team, pipeline and body.
    pub fingerprint: id::Fingerprint,
    /// Prefix-cache key of the prompt, if the pipeline has an engine stage.
    pub prefix: Option<u64>,
}

impl Head {
    /// Validates everything but the body; nothing of a refused request has executed.
    pub fn check(
        unchecked: Unchecked,
        rules: Arc<control::Rules>,
        now: time::Instant,
    ) -> Result<Self, verdict::Reason> {
        let token = unchecked.token.ok_or(verdict::Reason::Unauthorized)?;
        let team = rules
            .team(token.as_bytes())
            .ok_or(verdict::Reason::Unauthorized)?
            .clone();
        let unknown = verdict::Reason::UnknownPipeline;
        let name: id::PipelineName = unchecked.pipeline.parse().map_err(|_| unknown)?;
        let promise = rules.bundle.teams[&team].pipelines.get(&name);
        let promise = promise.ok_or(unknown)?.clone();
        let pipeline = rules.bundle.pipelines.get(&name).ok_or(unknown)?;
        let at_most_once = parse_at_most_once(unchecked.idempotent.as_deref())?;
        let idempotent = !at_most_once
            && pipeline
                .stages
                .iter()
                .all(|s| is_idempotent(pipeline, s, at_most_once));
        if !idempotent && unchecked.key.is_none() {
            return Err(verdict::Reason::KeyMissing);
        }
        if unchecked
            .key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
        {
            return Err(verdict::Reason::TooLarge);
        }
        let period = parse_deadline(unchecked.deadline.as_deref(), promise.deadline)?;
        Ok(Self {
            id: id::RequestId::random(),
            team,
            pipeline: name,
            priority: promise.priority,
            arrived: now,
            deadline: now + period.0,
            idempotent,
            at_most_once,
            key: unchecked.key,
            // W3C Trace Context requires that a malformed header is ignored.
            traceparent: unchecked.traceparent.and_then(|text| text.parse().ok()),
            rules,
        })
    }

    /// Returns the definition of the pipeline.
    pub fn definition(&self) -> &bundle::Pipeline {
        &self.rules.bundle.pipelines[&self.pipeline]
    }

    /// Returns whether a stage may execute more than once.
    pub fn is_stage_idempotent(&self, stage: &bundle::Stage) -> bool {
        is_idempotent(self.definition(), stage, self.at_most_once)
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    fn has_engine(&self) -> bool {
        let services = &self.rules.bundle.services;
        let kind = |stage: &bundle::Stage| services.get(&stage.service).map(|s| s.kind);
        let mut stages = self.definition().stages.iter();
        stages.any(|stage| kind(stage) == Some(bundle::Kind::Engine))
    }

    /// Parses the body and adds it to the head.
    pub fn with_body(self, body: &[u8]) -> Result<Request, verdict::Reason> {
        let input: Box<value::RawValue> =
            serde_json::from_slice(body).map_err(|_| verdict::Reason::Invalid)?;
        let fingerprint = id::Fingerprint::of(&self.team, &self.pipeline, body);
        let prefix = self
            .has_engine()
            .then(|| balancer::prefix::key(input.get()));
        Ok(Request {
            head: self,
            input,
            fingerprint,
            prefix,
        })
    }
}

/// Parses the caller's header; returns true if it forbids repeated execution.
fn parse_at_most_once(value: Option<&str>) -> Result<bool, verdict::Reason> {
    match value {
        None | Some("true") => Ok(false),
        Some("false") => Ok(true),
        Some(_) => Err(verdict::Reason::Invalid),
    }
}

/// Returns whether a stage may execute more than once.
///
/// The stage's setting takes precedence over the caller's header, and that over the pipeline's
/// default.
fn is_idempotent(pipeline: &bundle::Pipeline, stage: &bundle::Stage, at_most_once: bool) -> bool {
    stage
        .idempotent
        .unwrap_or(pipeline.idempotent && !at_most_once)
}

fn parse_deadline(
    value: Option<&str>,
    promised: unit::Period,
) -> Result<unit::Period, verdict::Reason> {
    let Some(text) = value else {
        return Ok(promised);
    };
    let period: unit::Period = text.parse().map_err(|_| verdict::Reason::Invalid)?;
    if period > promised {
        return Err(verdict::Reason::TooLarge);
    }
    Ok(period)
}
