//! Record of the executions of a fake target, which outlives its crashes.

use std::{
    collections,
    time, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// State or outcome of an execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is running.
    Running,
    /// It produced its complete output.
    Done,
    /// It was cancelled, or its connection closed.
    Cancelled,
    /// The target crashed during it.
    Crashed,
    /// The target failed it with an injected fault.
    Failed,
}

/// One execution of one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Execution {
    /// Request that it belongs to.
    pub request: String,
    /// Attempt that it belongs to.
    pub attempt: String,
    /// Stage.
    pub stage: String,
    /// Digest of the caller's input, which identifies resends under other request ids.
    pub input: String,
    /// Whether the caller allows repeated execution.
    pub idempotent: bool,
    /// State or outcome.
    pub outcome: Outcome,
    /// Target-seconds that it used: its time multiplied by its share of the target.
    pub busy: f64,
    /// `traceparent` header of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<String>,
    /// Whether its prompt prefix was in the cache; engines only.
    #[serde(default)]
    pub cached: bool,
}

/// All executions, as `GET /admin/executions` returns them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// Executions in the order of their start.
    pub executions: Vec<Execution>,
}

/// Seconds of a target spent on one stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StageCost {
    /// Seconds of first complete executions.
    pub done: f64,
    /// Seconds of all other executions.
    pub wasted: f64,
    /// Number of executions.
    pub executions: u64,
}

/// Seconds of a target by stage, as `GET /admin/cost` returns them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Costs by stage name.
    pub stages: collections::BTreeMap<String, StageCost>,
    /// Executions of a stage of a non-idempotent request in excess of one.
    pub repeated: u64,
}

/// Record of executions.
#[derive(Debug, Default)]
pub struct Ledger {
    record: Executions,
    /// Id of the first entry; grows when the record is cleared.
    base: usize,
}

/// Id of an execution in its ledger.
#[derive(Clone, Copy, Debug)]
pub struct Id(usize);

impl Ledger {
    /// Adds an execution that starts.
    pub fn begin(&mut self, execution: Execution) -> Id {
        self.record.executions.push(execution);
        Id(self.base + self.record.executions.len() - 1)
    }

    /// Records that the prefix of an execution was in the cache.
    pub fn mark_cached(&mut self, id: Id) {
        if let Some(execution) = self.find(id) {
            execution.cached = true;
        }
    }

    /// Adds time of the whole target to an execution.
    pub fn add_target_time(&mut self, id: Id, time: time::Duration) {
        if let Some(execution) = self.find(id) {
            execution.busy += time.as_secs_f64();
        }
    }

    /// Sets the outcome of an execution that is still running.
    pub fn finish(&mut self, id: Id, outcome: Outcome) {
        if let Some(execution) = self.find(id)
            && execution.outcome == Outcome::Running
        {
            execution.outcome = outcome;
        }
    }

    /// Marks all running executions as crashed.
    pub fn crash_running(&mut self) {
        let running = |e: &&mut Execution| e.outcome == Outcome::Running;
        for execution in self.record.executions.iter_mut().filter(running) {
            execution.outcome = Outcome::Crashed;
        }
    }

    /// Removes all executions.
    pub fn clear(&mut self) {
        self.base += self.record.executions.len();
        self.record.executions.clear();
    }

    /// Returns all executions.
    pub fn executions(&self) -> &Executions {
        &self.record
    }

    /// Sums the time by stage.
    pub fn cost(&self) -> Cost {
        sum_costs(&self.record.executions)
    }

    fn find(&mut self, id: Id) -> Option<&mut Execution> {
        let index = id.0.checked_sub(self.base)?;
        self.record.executions.get_mut(index)
    }
}

/// Sums the time of executions by stage.
pub fn sum_costs(executions: &[Execution]) -> Cost {
    let mut cost = Cost::default();
    let mut done = collections::HashSet::new();
    let mut ran = collections::HashSet::new();
    for execution in executions {
        let key = (&execution.request, &execution.stage);
        let stage = cost.stages.entry(execution.stage.clone()).or_default();
        stage.executions += 1;
        if execution.outcome == Outcome::Done && done.insert(key) {
            stage.done += execution.busy;
        } else {
            stage.wasted += execution.busy;
        }
        if !execution.idempotent && !ran.insert(key) {
            cost.repeated += 1;
        }
    }
    cost
}
