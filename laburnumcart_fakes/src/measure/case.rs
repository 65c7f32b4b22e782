//! Measured cases, each a load with a disturbance.

use std::time;

use laburnumcart::{
    id,
    unit, //
};

use crate::{
    load::plan,
    target::behaviour, //
};

/// Factor for the times of a straggler.
const STRAGGLER_FACTOR: f64 = 10.0;

/// Factor for the rates of the bursting team.
const BURST_FACTOR: f64 = 5.0;

/// Age of delayed load reports.
const LATE_LOAD_AGE: time::Duration = time::Duration::from_secs(5);

/// Duration of the case with delayed load reports; longer than their age, so that reports of the
/// case's own load arrive before its end.
const LATE_LOAD_DURATION: time::Duration = time::Duration::from_secs(8);

/// Number of targets of which one is killed.
const TARGETS_PER_KILL: usize = 5;

/// A load with a disturbance.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name.
    pub name: String,
    /// Offered load relative to capacity.
    pub load: f64,
    /// Duration of the load.
    pub duration: time::Duration,
    /// Plan with the bursts and faults of the case.
    pub plan: plan::Plan,
    /// Whether the object service is unavailable.
    pub outage: bool,
}

impl Case {
    fn new(
        name: impl Into<String>,
        load: f64,
        plan: &plan::Plan,
        duration: time::Duration,
    ) -> Self {
        Self {
            name: name.into(),
            load,
            duration,
            plan: plan.clone(),
            outage: false,
        }
    }

    /// Adds a fault at a fraction of the duration.
    fn with_fault(
        mut self,
        at: f64,
        targets: Vec<id::TargetName>,
        change: behaviour::Change,
    ) -> Self {
        let at = unit::Period(self.duration.mul_f64(at));
        self.plan.faults.push(plan::Fault {
            at,
            targets,
            change,
        });
        self
    }

    /// Adds a burst of a team in the middle half of the duration.
    fn with_burst(mut self, team: &id::TeamName) -> Self {
        let burst = plan::Burst {
            from: unit::Period(self.duration.mul_f64(0.25)),
            until: unit::Period(self.duration.mul_f64(0.75)),
            factor: BURST_FACTOR,
        };
        let streams = &mut self.plan.teams.get_mut(team).unwrap().streams;
        for stream in streams {
            stream.burst = Some(burst.clone());
        }
        self
    }
}

/// Returns all cases, the most important first.
pub fn all(plan: &plan::Plan, duration: time::Duration) -> Vec<Case> {
    let new = |name: &str, load| Case::new(name, load, plan, duration);
    let mut cases = vec![new("steady, 50%", 0.5), new("steady, 90%", 0.9)];
    if let Some((team, _)) = plan.teams.iter().max_by_key(|(_, team)| team.weight) {
        cases.push(new(&format!("burst of 5x by {team}"), 0.6).with_burst(team));
    }
    let slow = behaviour::Change {
        slow: Some(STRAGGLER_FACTOR),
        ..Default::default()
    };
    for service in main_services(plan) {
        let case = new(&format!("straggler of {service}"), 0.5);
        cases.push(case.with_fault(0.0, vec![first_target(plan, &service)], slow.clone()));
    }
    let failing = behaviour::Change {
        fail: Some(1.0),
        fail_fast: Some(true),
        ..Default::default()
    };
    for service in main_services(plan).into_iter().take(1) {
        let case = new(&format!("one of {service} fails fast"), 0.5);
        cases.push(case.with_fault(0.0, vec![first_target(plan, &service)], failing.clone()));
    }
    let down = behaviour::Change {
        down: Some(unit::Period(duration.mul_f64(0.75))),
        ..Default::default()
    };
    cases.push(new("20% of targets killed", 0.5).with_fault(0.25, killed_targets(plan), down));
    let mut outage = new("object service out", 0.5);
    outage.outage = true;
    cases.push(outage);
    let late = behaviour::Change {
        load_lag: Some(unit::Period(LATE_LOAD_AGE)),
        ..Default::default()
    };
    let all_targets = plan.targets().map(|(name, _)| name.clone()).collect();
    cases.push(
        Case::new("load reports 5 s late", 0.9, plan, LATE_LOAD_DURATION).with_fault(
            0.0,
            all_targets,
            late,
        ),
    );
    cases
}

/// Returns a case for each offered load relative to capacity.
pub fn sweep(plan: &plan::Plan, duration: time::Duration, points: &[f64]) -> Vec<Case> {
    let case = |load: &f64| Case::new(format!("offered {load}x"), *load, plan, duration);
    points.iter().map(case).collect()
}

/// Returns the services of the pipeline with the highest rate, in stage order.
fn main_services(plan: &plan::Plan) -> Vec<id::ServiceName> {
    let rate = |name: &id::PipelineName| -> f64 {
        let streams = plan.teams.values().flat_map(|team| &team.streams);
        let called = streams.filter(|stream| stream.pipeline == *name);
        called.map(|stream| stream.rate.0).sum()
    };
    let pipelines = plan.pipelines.iter();
    let main = pipelines.max_by(|(a, _), (b, _)| rate(a).total_cmp(&rate(b)));
    let stages = main.map(|(_, pipeline)| pipeline.stages.iter());
    let services = stages.into_iter().flatten();
    services.map(|stage| stage.service.clone()).collect()
}

fn first_target(plan: &plan::Plan, service: &id::ServiceName) -> id::TargetName {
    let targets = &plan.services[service].targets;
    targets.keys().next().cloned().unwrap()
}

/// Returns one in [`TARGETS_PER_KILL`] targets, spread over the services.
fn killed_targets(plan: &plan::Plan) -> Vec<id::TargetName> {
    let targets = plan.targets().map(|(name, _)| name.clone());
    targets
        .skip(TARGETS_PER_KILL - 1)
        .step_by(TARGETS_PER_KILL)
        .collect()
}
