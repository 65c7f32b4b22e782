//! Runs cases with each strategy in alternation, and ends all faults after each run.

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

/// Age of the reported load outside the cases that change it.
const DEFAULT_LOAD_LAG: time::Duration = time::Duration::from_millis(500);

/// Time for queues to drain and load reports to settle between two runs.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(700);

/// Routing of requests to the targets.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
pub enum Strategy {
    /// Through the entries.
    #[display("ours")]
    #[serde(rename = "Ours")]
    System,
    /// Directly to the targets, round robin without retries.
    #[display("round robin")]
    RoundRobin,
    /// Directly to the least-loaded targets, with three blind retries.
    #[display("least loaded")]
    LeastLoaded,
}

/// All strategies, in the order in which they alternate.
pub const STRATEGIES: [Strategy; 3] = [
    Strategy::System,
    Strategy::RoundRobin,
    Strategy::LeastLoaded,
];

/// Result of a case.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the case.
    pub case: String,
    /// Offered load relative to capacity.
    pub load: f64,
    /// Load average of the machine during the runs.
    #[serde(rename = "machine")]
    pub load_average: figures::Spread,
    /// Figures by strategy.
    #[serde(rename = "ways")]
    pub strategies: Vec<(Strategy, figures::Figures)>,
}

/// Runs cases on a running system.
#[derive(Debug)]
pub struct Runner {
    client: client::Client,
    store: net::SocketAddr,
    repetitions: u64,
    pages: Option<path::PathBuf>,
}

impl Runner {
    /// Creates a runner; it saves the entries' metrics after each run of the system in `pages`.
    pub fn new(store: net::SocketAddr, repetitions: u64, pages: Option<path::PathBuf>) -> Self {
        Self {
            client: client::Client::default(),
            store,
            repetitions,
            pages,
        }
    }

    /// Runs a case with all strategies in alternation.
    pub async fn run_case(&self, case: &case::Case) -> Outcome {
        let mut reports = STRATEGIES.map(|_| Vec::new());
        let mut load_averages = Vec::new();
        for seed in 1..=self.repetitions {
            for (strategy, reports) in STRATEGIES.iter().zip(&mut reports) {
                reports.push(self.run_once(case, *strategy, seed).await);
                load_averages.extend(read_load_average());
            }
        }
        let figures = reports.iter().map(|reports| figures::Figures::of(reports));
        Outcome {
            case: case.name.clone(),
            load: case.load,
            load_average: figures::Spread::of(load_averages),
            strategies: STRATEGIES.into_iter().zip(figures).collect(),
        }
    }

    async fn run_once(&self, case: &case::Case, strategy: Strategy, seed: u64) -> report::Report {
        self.set_outage(case.outage).await;
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
            self.save_metrics(case, seed).await;
        }
        self.reset(plan).await;
        report
    }

    async fn set_outage(&self, down: bool) {
        let url = format!("http://{}/admin/faults", self.store);
        let faults = if down { "{\"down\":true}" } else { "{}" };
        if let Err(error) = self.client.post(&url, &[], faults).await {
            event!(Warn, "outage-not-set", store = self.store, error = error);
        }
    }

    /// Ends all faults and waits until queues have drained.
    async fn reset(&self, plan: &plan::Plan) {
        self.set_outage(false).await;
        let defaults = behaviour::Change {
            crash_on: Some(String::new()),
            freeze: Some(false),
            slow: Some(1.0),
            fail: Some(0.0),
            fail_fast: Some(false),
            load_lag: Some(unit::Period(DEFAULT_LOAD_LAG)),
            ..Default::default()
        };
        let body = serde_json::to_string(&defaults).unwrap_or_default();
        for (name, address) in plan.targets() {
            let url = format!("http://{address}/admin/behave");
            if let Err(error) = self.client.post(&url, &[], body.clone()).await {
                event!(Warn, "target-not-reset", target = name, error = error);
            }
        }
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Saves the metrics of the entries as files.
    async fn save_metrics(&self, case: &case::Case, seed: u64) {
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

/// Returns the load average of the last minute, if the system provides it.
fn read_load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}
