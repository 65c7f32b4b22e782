//! One request of the load with the answer that it alone must yield.

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
    pub(super) stages: Vec<Step>,
    pub(super) body: Value,
    /// Scheduled time of arrival; latency counts from here, sent late or not.
    pub(super) due: Instant,
    pub(super) deadline: time::Duration,
    pub(super) events: bool,
    /// Key of a non-idempotent request.
    pub(super) key: Option<String>,
}

/// A stage with what is needed to call it without the system.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) name: id::StageName,
    pub(super) service: id::ServiceName,
    pub(super) kind: bundle::Kind,
    pub(super) tokens: u32,
}

impl Case {
    /// Draws a request of a stream.
    pub(super) fn draw(
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
            stages: pipeline.stages.iter().map(|s| step(plan, s)).collect(),
            body: body.into(),
            due,
            deadline: stream.deadline.0,
            events: rng.random::<f64>() < stream.events.0,
            // Not from the seed: a second run of the same seed would get the kept answers of the
            // first one's keys, and look as if it cost nothing.
            key: single.then(|| format!("{:032x}", rand::random::<u128>())),
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> time::Duration {
        self.deadline.saturating_sub(self.due.elapsed())
    }

    /// Returns the output of the whole pipeline.
    pub(super) fn output(&self) -> Value {
        self.stages.iter().fold(Value::Null, |previous, step| {
            step.output(&self.body, &previous)
        })
    }
}

impl Step {
    /// Returns the right output of the stage.
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

fn step(plan: &plan::Plan, stage: &plan::Stage) -> Step {
    let service = &plan.services[&stage.service];
    Step {
        name: stage.name.clone(),
        service: stage.service.clone(),
        kind: service.kind,
        tokens: service.tokens,
    }
}
