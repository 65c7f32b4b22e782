//! Cost by stage, from the targets' own records of what they executed.

use std::{
    collections,
    fmt,
    time, //
};

use laburnumcart::id;
use serde::Serialize;

use crate::{
    client,
    load::plan,
    target::ledger, //
};

/// Tries to read a target's record.
const READS: u32 = 20;

/// Time between them.
const READ_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Time of targets spent on one stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Stage {
    /// Target-seconds of executions that a completed request was answered from.
    pub useful: f64,
    /// Target-seconds of all other executions.
    pub wasted: f64,
    /// Number of executions.
    pub executions: u64,
    /// Executions whose prompt's prefix was in the engine's cache.
    pub cached: u64,
    /// Requests whose answers used the stage.
    pub completed: u64,
    /// Useful target-seconds for each completed request.
    pub each: f64,
}

/// Cost of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// By stage.
    pub stages: collections::BTreeMap<String, Stage>,
    /// Executions of a non-idempotent request and stage after its first, at any target.
    pub repeated: u64,
    /// Targets that did not show their records; their cost is missing.
    pub unreachable: Vec<id::TargetName>,
}

/// Clears the records of all targets; returns those that were not reached.
pub async fn reset(client: &client::Client, plan: &plan::Plan) -> Vec<id::TargetName> {
    let mut unreachable = Vec::new();
    for (name, address) in plan.targets() {
        let url = format!("http://{address}/admin/reset");
        if client.post(&url, &[], "").await.is_err() {
            unreachable.push(name.clone());
        }
    }
    unreachable
}

/// Waits for a bounded time until nothing is executing, as what goes on is still to be charged.
pub async fn wait_idle(client: &client::Client, plan: &plan::Plan) {
    for (_, address) in plan.targets() {
        let url = format!("http://{address}/admin/executions");
        for _ in 0..READS {
            let record = read(client, &url).await.unwrap_or_default();
            let running = |e: &ledger::Execution| e.outcome == ledger::Outcome::Running;
            if !record.executions.iter().any(running) {
                break;
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
    }
}

/// Reads the records of all targets and sums them up.
pub async fn collect(
    client: &client::Client,
    plan: &plan::Plan,
    completed: &collections::HashSet<String>,
) -> Summary {
    let mut executions = Vec::new();
    let mut unreachable = Vec::new();
    for (name, address) in plan.targets() {
        match read(client, &format!("http://{address}/admin/executions")).await {
            Some(record) => executions.extend(record.executions),
            None => unreachable.push(name.clone()),
        }
    }
    let mut summary = summarise(&executions, completed);
    summary.unreachable = unreachable;
    summary
}

/// Reads a target's record; a target that is down may come back meanwhile.
async fn read(client: &client::Client, url: &str) -> Option<ledger::Executions> {
    for _ in 0..READS {
        if let Ok(answer) = client.get(url).await {
            return serde_json::from_slice(&answer.body).ok();
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    None
}

/// Sums executions by stage; useful is the first done one of each completed request and stage.
pub fn summarise(
    executions: &[ledger::Execution],
    completed: &collections::HashSet<String>,
) -> Summary {
    let mut summary = Summary::default();
    let mut used = collections::HashSet::new();
    let mut ran = collections::HashSet::new();
    for execution in executions {
        let key = (&execution.request, &execution.stage);
        let stage = summary.stages.entry(execution.stage.clone()).or_default();
        stage.executions += 1;
        stage.cached += u64::from(execution.cached);
        let done = execution.outcome == ledger::Outcome::Done;
        if done && completed.contains(&execution.request) && used.insert(key) {
            stage.useful += execution.busy;
            stage.completed += 1;
        } else {
            stage.wasted += execution.busy;
        }
        if !execution.idempotent && !ran.insert(key) {
            summary.repeated += 1;
        }
    }
    for stage in summary.stages.values_mut() {
        stage.each = stage.useful / stage.completed.max(1) as f64;
    }
    summary
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, stage) in &self.stages {
            writeln!(
                f,
                "cost stage={name} executions={} cached={} completed={} useful={:.2}s wasted={:.2}s \
                 each={:.2}ms",
                stage.executions,
                stage.cached,
                stage.completed,
                stage.useful,
                stage.wasted,
                stage.each * 1e3,
            )?;
        }
        writeln!(f, "non-idempotent repeated={}", self.repeated)?;
        for target in &self.unreachable {
            writeln!(f, "target={target} state=unreachable cost=missing")?;
        }
        Ok(())
    }
}
