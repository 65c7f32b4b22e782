//! Cases that are measured: a load and a disturbance.

use std::time;

use laburnumcart::{
    id,
    unit, //
};

use crate::{
    load::plan,
    target::behaviour, //
};

/// Factor on the times of a straggler.
const STRAGGLER: f64 = 10.0;

/// Factor on the rates of the team that bursts.
const BURST: f64 = 5.0;

/// Age of late load reports.
const LATE: time::Duration = time::Duration::from_secs(5);

/// One of so many targets is killed.
const KILLED: usize = 5;

/// A load and a disturbance.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name.
    pub name: String,
    /// Offered load as a part of capacity.
    pub load: f64,
    /// Time of the load.
    pub duration: time::Duration,
    /// Load with its bursts and faults.
    pub plan: plan::Plan,
    /// Whether the object service is out.
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

    fn fault(mut self, at: f64, targets: Vec<id::TargetName>, change: behaviour::Change) -> Self {
        let at = unit::Period(self.duration.mul_f64(at));
        self.plan.faults.push(plan::Fault {
            at,
            targets,
            change,
        });
        self
    }

    /// Lets a team send more from a quarter of the time to three quarters.
    fn burst(mut self, team: &id::TeamName) -> Self {
        let burst = plan::Burst {
            from: unit::Period(self.duration.mul_f64(0.25)),
            until: unit::Period(self.duration.mul_f64(0.75)),
            factor: BURST,
        };
        let streams = &mut self.plan.teams.get_mut(team).unwrap().streams;
        for stream in streams {
            stream.burst = Some(burst.clone());
        }
        self
    }
}

/// Returns the cases in the order of their worth.
pub fn all(plan: &plan::Plan, duration: time::Duration) -> Vec<Case> {
    let new = |name: &str, load| Case::new(name, load, plan, duration);
    let mut cases = vec![new("steady, 50%", 0.5), new("steady, 90%", 0.9)];
    if let Some((team, _)) = plan.teams.iter().max_by_key(|(_, team)| team.weight) {
        cases.push(new(&format!("burst of 5x by {team}"), 0.6).burst(team));
    }
    let slow = behaviour::Change {
        slow: Some(STRAGGLER),
        ..Default::default()
    };
    for service in main_services(plan) {
        let case = new(&format!("straggler of {service}"), 0.5);
        cases.push(case.fault(0.0, vec![first(plan, &service)], slow.clone()));
    }
    let fail = behaviour::Change {
        fail: Some(1.0),
        fail_fast: Some(true),
        ..Default::default()
    };
    for service in main_services(plan).into_iter().take(1) {
        let case = new(&format!("one of {service} fails fast"), 0.5);
        cases.push(case.fault(0.0, vec![first(plan, &service)], fail.clone()));
    }
    let down = behaviour::Change {
        down: Some(unit::Period(duration.mul_f64(0.75))),
        ..Default::default()
    };
    cases.push(new("20% of targets killed", 0.5).fault(0.25, killed(plan), down));
    let mut outage = new("object service out", 0.5);
    outage.outage = true;
    cases.push(outage);
    let late = behaviour::Change {
        load_lag: Some(unit::Period(LATE)),
        ..Default::default()
    };
    let everywhere = plan.targets().map(|(name, _)| name.clone()).collect();
    cases.push(
        Case::new("load reports 5 s late", 0.9, plan, LATE * 8 / 5).fault(0.0, everywhere, late),
    );
    cases
}

/// Returns one case for each part of capacity that is offered.
pub fn sweep(plan: &plan::Plan, duration: time::Duration, points: &[f64]) -> Vec<Case> {
    let case = |load: &f64| Case::new(format!("offered {load}x"), *load, plan, duration);
    points.iter().map(case).collect()
}

/// Returns the services of the pipeline that is called most, in the order of its stages.
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

fn first(plan: &plan::Plan, service: &id::ServiceName) -> id::TargetName {
    let targets = &plan.services[service].targets;
    targets.keys().next().cloned().unwrap()
}

/// Returns each fifth target, so that all services lose some.
fn killed(plan: &plan::Plan) -> Vec<id::TargetName> {
    let targets = plan.targets().map(|(name, _)| name.clone());
    targets.skip(KILLED - 1).step_by(KILLED).collect()
}
