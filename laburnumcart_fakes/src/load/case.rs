//! A request of the load and its expected output.

use std::time;

use laburnumcart::{
    bundle,
    id, //
};
use rand::Rng;
use serde_json::Value;
use tokio::time::Instant;

use crate::{
    expected,
    load::plan, //
};

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct Case {
    pub(super) team: id::TeamName,
    pub(super) token: String,
    pub(super) pipeline: id::PipelineName,
    pub(super) stages: Vec<StageCall>,
    pub(super) body: Value,
    /// Scheduled arrival time, from which latency counts even if the request is sent late.
    pub(super) due: Instant,
    pub(super) deadline: time::Duration,
    pub(super) events: bool,
    /// Key of a non-idempotent request.
    pub(super) key: Option<String>,
}

/// A stage with the data for calling a target directly.
#[derive(Clone, Debug)]
pub(super) struct StageCall {
    pub(super) name: id::StageName,
    pub(super) service: id::ServiceName,
    pub(super) kind: bundle::Kind,
    pub(super) tokens: u32,
}

impl Case {
    /// Generates a random request of a stream.
    pub(super) fn generate(
        plan: &plan::Plan,
        team: &id::TeamName,
        stream: &plan::Stream,
        due: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let pipeline = &plan.pipelines[&stream.pipeline];
        let mut body = stream.body.clone();
        let prefix = rng.random_range(0..stream.prefixes.max(1));
        body.insert("n".into(), rng.random::<u32>().into());
        body.insert("prefix".into(), format!("{team} {prefix}").into());
        let single = !pipeline.idempotent || rng.random::<f64>() < stream.single.0;
        Self {
            team: team.clone(),
            token: plan.teams[team].token.clone(),
            pipeline: stream.pipeline.clone(),
            stages: pipeline
                .stages
                .iter()
                .map(|s| stage_call(plan, s))
                .collect(),
            body: body.into(),
            due,
            deadline: stream.deadline.0,
            events: rng.random::<f64>() < stream.events.0,
            // The key does not depend on the seed: with the same keys, a second run would get the
            // stored responses of the first one and appear to cost nothing.
            key: single.then(|| format!("{:032x}", rand::random::<u128>())),
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> time::Duration {
        self.deadline.saturating_sub(self.due.elapsed())
    }

    /// Returns the expected output of the pipeline.
    pub(super) fn output(&self) -> Value {
        self.stages.iter().fold(Value::Null, |previous, stage| {
            stage.output(&self.body, &previous)
        })
    }
}

impl StageCall {
    /// Returns the expected output of the stage.
    pub(super) fn output(&self, input: &Value, previous: &Value) -> Value {
        let name = self.name.as_str();
        match self.kind {
            bundle::Kind::Pool => expected::pool_output(name, input, previous),
            bundle::Kind::Engine => {
                let tokens = expected::token_count(input, self.tokens);
                expected::engine_output(name, input, previous, tokens)
            }
        }
    }
}

fn stage_call(plan: &plan::Plan, stage: &plan::Stage) -> StageCall {
    let service = &plan.services[&stage.service];
    StageCall {
        name: stage.name.clone(),
        service: stage.service.clone(),
        kind: service.kind,
        tokens: service.tokens,
    }
}
