//! Offers the load of a plan for a limited time and counts the outcomes.

use std::{
    sync,
    time, //
};

use laburnumcart::{
    event,
    id, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs, //
};
use tokio::{
    sync::mpsc,
    task,
    time::Instant, //
};

use crate::{
    client,
    load::{
        baseline,
        case,
        cost,
        faults,
        plan,
        report,
        system, //
    },
};

pub use crate::load::baseline::Policy;

/// Interval between progress lines.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Path of the load to the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// Through the entries.
    System,
    /// Through the entries, with every other idempotent request directly to the targets.
    Compare,
    /// Directly to the targets.
    Baseline(Policy),
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the load to the targets.
    pub route: Route,
    /// Duration of the load.
    pub duration: time::Duration,
    /// Factor for all rates.
    pub scale: f64,
    /// Seed for arrivals and bodies.
    pub seed: u64,
    /// Whether refused requests are resent after their `Retry-After`.
    pub resend: bool,
    /// Whether progress lines are written to standard error.
    pub progress: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            route: Route::System,
            duration: time::Duration::from_secs(10),
            scale: 1.0,
            seed: 1,
            resend: false,
            progress: false,
        }
    }
}

/// Offers the load, waits until all requests have ended and returns the report.
pub async fn run_load(plan: plan::Plan, settings: Settings) -> report::Report {
    let client = client::Client::default();
    let plan = sync::Arc::new(plan);
    let unreachable = cost::reset(&client, &plan).await;
    for target in unreachable {
        event!(Warn, "target-unreachable", target = target);
    }
    let (samples, received) = mpsc::unbounded_channel();
    let sender = sync::Arc::new(Sender::new(&client, &plan, &settings, samples));
    let poll = tokio::spawn(sender.baseline.clone().poll_loads());
    let start = Instant::now();
    let faults = tokio::spawn(faults::inject(client.clone(), plan.clone(), start));
    start_streams(&plan, &settings, &sender, start);
    drop(sender);
    let mut report = collect_samples(received, &settings, start).await;
    poll.abort();
    faults.abort();
    report.finish(settings.duration.as_secs_f64());
    cost::wait_idle(&client, &plan).await;
    report.cost = cost::collect(&client, &plan, report.completed()).await;
    report
}

/// Starts a task for each stream of each team.
fn start_streams(
    plan: &sync::Arc<plan::Plan>,
    settings: &Settings,
    sender: &sync::Arc<Sender>,
    start: Instant,
) {
    let mut number = 0;
    for (name, team) in &plan.teams {
        for index in 0..team.streams.len() {
            number += 1;
            let arrivals = Arrivals {
                plan: plan.clone(),
                team: name.clone(),
                index,
                scale: settings.scale,
                start,
                end: start + settings.duration,
                rng: rngs::StdRng::seed_from_u64(settings.seed.wrapping_mul(1 << 20) + number),
            };
            tokio::spawn(arrivals.run(sender.clone()));
        }
    }
}

/// Poisson arrivals of one stream.
struct Arrivals {
    plan: sync::Arc<plan::Plan>,
    team: id::TeamName,
    index: usize,
    scale: f64,
    start: Instant,
    end: Instant,
    rng: rngs::StdRng,
}

impl Arrivals {
    async fn run(mut self, sender: sync::Arc<Sender>) {
        let plan = self.plan.clone();
        let stream = &plan.teams[&self.team].streams[self.index];
        let mut due = self.start;
        let mut send_direct = false;
        loop {
            let rate = current_rate(stream, due - self.start) * self.scale;
            if rate <= 0.0 {
                return;
            }
            let uniform: f64 = self.rng.random();
            due += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
            if due > self.end {
                return;
            }
            let case = case::Case::generate(&plan, &self.team, stream, due, &mut self.rng);
            tokio::time::sleep_until(due).await;
            send_direct = !send_direct && case.key.is_none();
            let direct = send_direct && sender.route == Route::Compare;
            task::spawn(sender.clone().send(case, direct));
        }
    }
}

/// Returns the rate of a stream at a time since the start.
fn current_rate(stream: &plan::Stream, at: time::Duration) -> f64 {
    let bursting = |b: &&plan::Burst| b.from.0 <= at && at < b.until.0;
    let burst = stream.burst.as_ref().filter(bursting);
    stream.rate.0 * burst.map_or(1.0, |burst| burst.factor)
}

/// Sends requests over the selected route.
struct Sender {
    route: Route,
    system: system::System,
    baseline: sync::Arc<baseline::Baseline>,
    samples: mpsc::UnboundedSender<report::Sample>,
}

impl Sender {
    fn new(
        client: &client::Client,
        plan: &plan::Plan,
        settings: &Settings,
        samples: mpsc::UnboundedSender<report::Sample>,
    ) -> Self {
        let policy = match settings.route {
            Route::Baseline(policy) => policy,
            Route::System | Route::Compare => Policy::RoundRobin,
        };
        let baseline = baseline::Baseline::new(client.clone(), plan, policy);
        let entries = plan.entries.clone();
        Self {
            route: settings.route,
            system: system::System::new(client.clone(), entries, settings.resend),
            baseline: sync::Arc::new(baseline),
            samples,
        }
    }

    async fn send(self: sync::Arc<Self>, case: case::Case, for_comparison: bool) {
        let direct = for_comparison || matches!(self.route, Route::Baseline(_));
        let (outcome, resent) = match direct {
            true => (self.baseline.send(&case).await, 0),
            false => self.system.send(&case).await,
        };
        let sample = report::Sample {
            stages: case.stages.len(),
            direct,
            non_idempotent: case.key.is_some(),
            latency: case.due.elapsed(),
            deadline: case.deadline,
            team: case.team,
            resent,
            outcome,
        };
        let _ = self.samples.send(sample);
    }
}

/// Collects samples until all senders are dropped, and prints progress lines.
async fn collect_samples(
    mut samples: mpsc::UnboundedReceiver<report::Sample>,
    settings: &Settings,
    start: Instant,
) -> report::Report {
    let mut report = report::Report::default();
    let mut ticks = tokio::time::interval_at(start + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
    loop {
        tokio::select! {
            sample = samples.recv() => match sample {
                Some(sample) => {
                    let for_comparison = sample.direct && settings.route == Route::Compare;
                    report.add(&sample, for_comparison);
                }
                None => return report,
            },
            _ = ticks.tick() => if settings.progress {
                print_progress(&report, start.elapsed());
            },
        }
    }
}

fn print_progress(report: &report::Report, elapsed: time::Duration) {
    let all = &report.all;
    eprintln!(
        "progress seconds={:.0} ended={} attained={} late={} wrong={} lost={} refused={}",
        elapsed.as_secs_f64(),
        all.offered,
        all.attained,
        all.late,
        all.wrong,
        all.lost,
        all.refusals(),
    );
}
