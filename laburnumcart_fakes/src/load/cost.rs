//! Cost by stage, from the execution records of the targets.

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

/// Maximum attempts to read a target's record.
const READ_ATTEMPTS: u32 = 20;

/// Interval between these attempts.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time of targets spent on one stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Stage {
    /// Target-seconds of executions whose output a completed request used.
    pub useful: f64,
    /// Target-seconds of all other executions.
    pub wasted: f64,
    /// Number of executions.
    pub executions: u64,
    /// Executions whose prompt prefix was in the engine's cache.
    pub cached: u64,
    /// Completed requests that used the stage.
    pub completed: u64,
    /// Useful target-seconds per completed request.
    #[serde(rename = "each")]
    pub per_request: f64,
}

/// Cost of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Costs by stage.
    pub stages: collections::BTreeMap<String, Stage>,
    /// Executions of a stage of a non-idempotent request in excess of one, over all targets.
    pub repeated: u64,
    /// Targets whose records could not be read, so that their cost is missing.
    pub unreachable: Vec<id::TargetName>,
}

/// Clears the records of all targets and returns the unreachable ones.
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

/// Waits for a limited time until no call is executing, so that the records are complete.
pub async fn wait_idle(client: &client::Client, plan: &plan::Plan) {
    for (_, address) in plan.targets() {
        let url = format!("http://{address}/admin/executions");
        for _ in 0..READ_ATTEMPTS {
            let record = read_record(client, &url).await.unwrap_or_default();
            let running = |e: &ledger::Execution| e.outcome == ledger::Outcome::Running;
            if !record.executions.iter().any(running) {
                break;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

/// Reads and summarises the records of all targets.
pub async fn collect(
    client: &client::Client,
    plan: &plan::Plan,
    completed: &collections::HashSet<String>,
) -> Summary {
    let mut executions = Vec::new();
    let mut unreachable = Vec::new();
    for (name, address) in plan.targets() {
        match read_record(client, &format!("http://{address}/admin/executions")).await {
            Some(record) => executions.extend(record.executions),
            None => unreachable.push(name.clone()),
        }
    }
    let mut summary = summarise(&executions, completed);
    summary.unreachable = unreachable;
    summary
}

/// Reads a target's record, with retries for a target that is restarting.
async fn read_record(client: &client::Client, url: &str) -> Option<ledger::Executions> {
    for _ in 0..READ_ATTEMPTS {
        if let Ok(answer) = client.get(url).await {
            return serde_json::from_slice(&answer.body).ok();
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    None
}

/// Sums executions by stage; the first complete one of each completed request is useful.
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
        stage.per_request = stage.useful / stage.completed.max(1) as f64;
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
                stage.per_request * 1e3,
            )?;
        }
        writeln!(f, "non-idempotent repeated={}", self.repeated)?;
        for target in &self.unreachable {
            writeln!(f, "target={target} state=unreachable cost=missing")?;
        }
        Ok(())
    }
}
