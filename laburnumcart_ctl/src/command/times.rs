//! `times`: statistics of the time that requests spend in each step, by route, from the logs of
//! gateways.

use std::{
    collections,
    fmt, //
};

use serde::Serialize;

use crate::{
    args,
    command::logs::{
        self,
        Line, //
    },
    error,
    output, //
};

/// Statistics of one step of the requests of a route, in milliseconds.
#[derive(Clone, Debug, Serialize)]
struct Step {
    step: String,
    count: usize,
    mean: f64,
    p50: u64,
    p90: u64,
}

/// Statistics of the requests of one route.
#[derive(Clone, Debug, Serialize)]
struct Route {
    route: String,
    /// Number of admitted requests.
    requests: usize,
    steps: Vec<Step>,
    /// Number of failures by step and reason.
    failures: collections::BTreeMap<String, usize>,
}

/// Statistics of all routes.
#[derive(Clone, Debug, Serialize)]
struct Table {
    routes: Vec<Route>,
}

/// Samples of the requests of one route.
#[derive(Default)]
struct Samples {
    requests: usize,
    times: collections::BTreeMap<String, Vec<u64>>,
    failures: collections::BTreeMap<String, usize>,
}

/// Reports how long the requests of each route took in each step.
pub(super) fn times(args: &args::Args) -> Result<output::Output, error::Error> {
    let lines = logs::read_files(args.positional())?;
    let mut routes = collections::BTreeMap::<String, Samples>::new();
    let mut route_of = collections::HashMap::new();
    for line in &lines {
        let request = line.field("request");
        if line.event == "admitted" {
            route_of.insert(request, line.field("route"));
        }
        // A request that was refused before routing has no route.
        if let Some(route) = route_of.get(request) {
            let samples = routes.entry((*route).to_owned()).or_default();
            samples.record_line(line);
        }
    }
    if routes.is_empty() {
        let text = "no log line of an admitted request found";
        return Err(error::Error::Usage(text.into()));
    }
    let routes = routes
        .into_iter()
        .map(|(route, samples)| samples.into_route(route));
    Ok(output::Output::new(&Table {
        routes: routes.collect(),
    }))
}

impl Samples {
    fn record_line(&mut self, line: &Line) {
        match line.event.as_str() {
            "admitted" => {
                self.requests += 1;
                self.record_time("spent before", line.field("spent_ms"));
            }
            "stage-ended" => self.record_stage(line),
            "head" => self.record_time("head of the answer", line.field("taken_ms")),
            "answered" => self.record_time("whole request", line.field("taken_ms")),
            "refused" | "send-failed" | "stream-broken" => {
                self.record_failure(&format!("{} {}", line.event, line.field("reason")));
            }
            _ => {}
        }
    }

    fn record_stage(&mut self, line: &Line) {
        let step = format!("stage {} at {}", line.field("stage"), line.field("service"));
        match line.field("outcome") {
            "done" => self.record_time(&step, line.field("taken_ms")),
            outcome => self.record_failure(&format!("{step} {outcome}")),
        }
    }

    fn record_time(&mut self, step: &str, millis: &str) {
        if let Ok(millis) = millis.parse() {
            self.times.entry(step.into()).or_default().push(millis);
        }
    }

    fn record_failure(&mut self, reason: &str) {
        *self.failures.entry(reason.into()).or_default() += 1;
    }

    fn into_route(self, route: String) -> Route {
        Route {
            route,
            requests: self.requests,
            steps: self.times.into_iter().map(summarize).collect(),
            failures: self.failures,
        }
    }
}

/// Computes the statistics of a step from its times, of which there must be at least one.
fn summarize((step, mut times): (String, Vec<u64>)) -> Step {
    times.sort_unstable();
    let count = times.len();
    Step {
        step,
        count,
        mean: times.iter().sum::<u64>() as f64 / count as f64,
        p50: times[count / 2],
        p90: times[count * 9 / 10],
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for route in &self.routes {
            writeln!(f, "{}: {} requests", route.route, route.requests)?;
            for step in &route.steps {
                writeln!(
                    f,
                    "  {:<32} {:>6}  mean {:>6.0} ms  p50 {:>6} ms  p90 {:>6} ms",
                    step.step, step.count, step.mean, step.p50, step.p90
                )?;
            }
            for (reason, count) in &route.failures {
                writeln!(f, "  {reason:<32} {count:>6}")?;
            }
        }
        Ok(())
    }
}
