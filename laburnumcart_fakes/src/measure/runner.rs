//! Runs a case by each strategy in turn, again and again, and puts everything back between.

use std::{
    net,
    path,
    time, //
};

use derive_more::Display;
use laburnumcart::{
    event,
    unit, //
};
use serde::Serialize;

use crate::{
    client,
    load::{
        plan,
        report,
        run, //
    },
    measure::{
        case,
        figures, //
    },
    target::behaviour,
};

/// Age of the reported load unless a case changes it.
const LOAD_LAG: time::Duration = time::Duration::from_millis(500);

/// Time for queues and reports to come to rest between two runs.
const REST: time::Duration = time::Duration::from_millis(700);

/// How requests reach the targets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
pub enum Strategy {
    /// Through the entries.
    #[display("ours")]
    #[serde(rename = "Ours")]
    System,
    /// In turn, without retries.
    #[display("round robin")]
    RoundRobin,
    /// The least loaded, with three blind retries.
    #[display("least loaded")]
    LeastLoaded,
}

/// All strategies, in the order in which they take turns.
pub const STRATEGIES: [Strategy; 3] = [
    Strategy::System,
    Strategy::RoundRobin,
    Strategy::LeastLoaded,
];

/// Result of one case.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the case.
    pub case: String,
    /// Offered load as a part of capacity.
    pub load: f64,
    /// Load average of the machine during the runs.
    pub machine: figures::Spread,
    /// Figures by strategy.
    #[serde(rename = "ways")]
    pub strategies: Vec<(Strategy, figures::Figures)>,
}

/// Runs cases against one fleet.
#[derive(Debug)]
pub struct Runner {
    client: client::Client,
    store: net::SocketAddr,
    repetitions: u64,
    pages: Option<path::PathBuf>,
}

impl Runner {
    /// Creates a series; the entries' metrics after each of our runs go to the folder `pages`.
    pub fn new(store: net::SocketAddr, repetitions: u64, pages: Option<path::PathBuf>) -> Self {
        Self {
            client: client::Client::default(),
            store,
            repetitions,
            pages,
        }
    }

    /// Runs a case by all strategies, alternated.
    pub async fn run_case(&self, case: &case::Case) -> Outcome {
        let mut reports = STRATEGIES.map(|_| Vec::new());
        let mut machine = Vec::new();
        for seed in 1..=self.repetitions {
            for (strategy, reports) in STRATEGIES.iter().zip(&mut reports) {
                reports.push(self.once(case, *strategy, seed).await);
                machine.extend(load_average());
            }
        }
        let figures = reports.iter().map(|reports| figures::Figures::of(reports));
        Outcome {
            case: case.name.clone(),
            load: case.load,
            machine: figures::Spread::of(machine),
            strategies: STRATEGIES.into_iter().zip(figures).collect(),
        }
    }

    async fn once(&self, case: &case::Case, strategy: Strategy, seed: u64) -> report::Report {
        self.outage(case.outage).await;
        let plan = &case.plan;
        let capacity = plan.capacity.map_or(plan.total_rate(), |rate| rate.0);
        let settings = run::Settings {
            route: route(strategy),
            duration: case.duration,
            scale: case.load * capacity / plan.total_rate(),
            seed,
            ..Default::default()
        };
        let report = run::run_load(plan.clone(), settings).await;
        eprintln!(
            "case={:?} way={strategy} seed={seed} {}",
            case.name, report.all
        );
        if strategy == Strategy::System {
            self.keep(case, seed).await;
        }
        self.reset(plan).await;
        report
    }

    async fn outage(&self, down: bool) {
        let url = format!("http://{}/admin/faults", self.store);
        let faults = if down { "{\"down\":true}" } else { "{}" };
        if let Err(error) = self.client.post(&url, &[], faults).await {
            event!(Warn, "outage-not-set", store = self.store, error = error);
        }
    }

    /// Ends all faults and waits for rest.
    async fn reset(&self, plan: &plan::Plan) {
        self.outage(false).await;
        let calm = behaviour::Change {
            crash_on: Some(String::new()),
            freeze: Some(false),
            slow: Some(1.0),
            fail: Some(0.0),
            fail_fast: Some(false),
            load_lag: Some(unit::Period(LOAD_LAG)),
            ..Default::default()
        };
        let body = serde_json::to_string(&calm).unwrap_or_default();
        for (name, address) in plan.targets() {
            let url = format!("http://{address}/admin/behave");
            if let Err(error) = self.client.post(&url, &[], body.clone()).await {
                event!(Warn, "target-not-reset", target = name, error = error);
            }
        }
        tokio::time::sleep(REST).await;
    }

    /// Keeps the entries' metrics for a later look.
    async fn keep(&self, case: &case::Case, seed: u64) {
        let Some(pages) = &self.pages else { return };
        for (number, entry) in case.plan.entries.iter().enumerate() {
            let url = format!("http://{entry}/metrics");
            let Ok(answer) = self.client.get(&url).await else {
                continue;
            };
            let name = format!("{}-{seed}-{number}.txt", case.name.replace([' ', ','], "_"));
            if let Err(error) = std::fs::write(pages.join(name), answer.body) {
                event!(Warn, "page-not-kept", page = url, error = error);
            }
        }
    }
}

fn route(strategy: Strategy) -> run::Route {
    match strategy {
        Strategy::System => run::Route::System,
        Strategy::RoundRobin => run::Route::Baseline(run::Policy::RoundRobin),
        Strategy::LeastLoaded => run::Route::Baseline(run::Policy::LeastLoaded),
    }
}

/// Returns the load average of the last minute, if the machine tells.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}
