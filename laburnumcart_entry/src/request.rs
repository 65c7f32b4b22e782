//! Admission of a caller's request.

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

/// Longest idempotency key in bytes.
pub const KEY_MAX: usize = 256;

/// What a caller sent, before any check but the limits of HTTP.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Bearer token.
    pub token: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the caller allows that the request executes more than once.
    pub idempotent: Option<String>,
    /// Deadline that the caller wants.
    pub deadline: Option<String>,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// A request that passed the checks of its head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Identity.
    pub id: id::RequestId,
    /// Rules that hold for the request to its end.
    pub rules: Arc<control::Rules>,
    /// Team that is charged.
    pub team: id::TeamName,
    /// Name of the pipeline.
    pub pipeline: id::PipelineName,
    /// Priority under contention.
    pub priority: bundle::Priority,
    /// Moment of arrival.
    pub arrived: time::Instant,
    /// Moment at which the whole answer is due.
    pub deadline: time::Instant,
    /// Whether the whole request may execute more than once.
    pub idempotent: bool,
    /// Whether the caller forbade that it executes more than once.
    once: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// W3C trace context of the caller.
    pub traceparent: Option<traces::Traceparent>,
}

/// A request as it runs.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the checks of its head yielded.
    pub head: Head,
    /// Body as JSON text.
    pub input: Box<value::RawValue>,
    /// Digest of team, pipeline and body.
    pub fingerprint: id::Fingerprint,
    /// Key of the prompt's prefix, if the pipeline has an engine.
    pub prefix: Option<u64>,
}

impl Head {
    /// Checks all but the body; whatever is refused here has not run.
    pub fn check(
        asked: Asked,
        rules: Arc<control::Rules>,
        now: time::Instant,
    ) -> Result<Self, verdict::Reason> {
        let token = asked.token.ok_or(verdict::Reason::Unauthorized)?;
        let team = rules
            .team(token.as_bytes())
            .ok_or(verdict::Reason::Unauthorized)?
            .clone();
        let unknown = verdict::Reason::UnknownPipeline;
        let name: id::PipelineName = asked.pipeline.parse().map_err(|_| unknown)?;
        let promise = rules.bundle.teams[&team].pipelines.get(&name);
        let promise = promise.ok_or(unknown)?.clone();
        let pipeline = rules.bundle.pipelines.get(&name).ok_or(unknown)?;
        let once = is_once(asked.idempotent.as_deref())?;
        let idempotent = !once
            && pipeline
                .stages
                .iter()
                .all(|s| may_repeat(pipeline, s, once));
        if !idempotent && asked.key.is_none() {
            return Err(verdict::Reason::KeyMissing);
        }
        if asked
            .key
            .as_ref()
            .is_some_and(|k| k.is_empty() || k.len() > KEY_MAX)
        {
            return Err(verdict::Reason::TooLarge);
        }
        let period = deadline(asked.deadline.as_deref(), promise.deadline)?;
        Ok(Self {
            id: id::RequestId::random(),
            team,
            pipeline: name,
            priority: promise.priority,
            arrived: now,
            deadline: now + period.0,
            idempotent,
            once,
            key: asked.key,
            // A malformed context is ignored, as the W3C wants it.
            traceparent: asked.traceparent.and_then(|text| text.parse().ok()),
            rules,
        })
    }

    /// Returns the pipeline's definition.
    pub fn stages(&self) -> &bundle::Pipeline {
        &self.rules.bundle.pipelines[&self.pipeline]
    }

    /// Returns whether a stage may execute more than once.
    pub fn stage_idempotent(&self, stage: &bundle::Stage) -> bool {
        may_repeat(self.stages(), stage, self.once)
    }

    /// Returns the time that is left.
    pub fn remaining(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    fn has_engine(&self) -> bool {
        let services = &self.rules.bundle.services;
        let kind = |stage: &bundle::Stage| services.get(&stage.service).map(|s| s.kind);
        let mut stages = self.stages().stages.iter();
        stages.any(|stage| kind(stage) == Some(bundle::Kind::Engine))
    }

    /// Adds the body.
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

/// Reads what the caller says about repetition.
fn is_once(asked: Option<&str>) -> Result<bool, verdict::Reason> {
    match asked {
        None | Some("true") => Ok(false),
        Some("false") => Ok(true),
        Some(_) => Err(verdict::Reason::Invalid),
    }
}

/// A stage's own word goes before its caller's, which goes before its pipeline's.
fn may_repeat(pipeline: &bundle::Pipeline, stage: &bundle::Stage, once: bool) -> bool {
    stage.idempotent.unwrap_or(pipeline.idempotent && !once)
}

fn deadline(asked: Option<&str>, promised: unit::Period) -> Result<unit::Period, verdict::Reason> {
    let Some(text) = asked else {
        return Ok(promised);
    };
    let period: unit::Period = text.parse().map_err(|_| verdict::Reason::Invalid)?;
    if period > promised {
        return Err(verdict::Reason::TooLarge);
    }
    Ok(period)
}
