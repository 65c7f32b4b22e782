//! Where requests spend their time, by route, from the logs of gateways.

use std::{
    collections,
    fmt, //
};

use serde::Serialize;

use crate::{
    args,
    command::lines::{
        self,
        Line, //
    },
    error,
    output, //
};

/// Times of one step of the requests of a route, in milliseconds.
#[derive(Clone, Debug, Serialize)]
struct Step {
    step: String,
    count: usize,
    mean: f64,
    p50: u64,
    p90: u64,
}

/// The requests of one route.
#[derive(Clone, Debug, Serialize)]
struct Route {
    route: String,
    /// Requests that were admitted.
    requests: usize,
    steps: Vec<Step>,
    /// What was not done, by step and reason.
    failures: collections::BTreeMap<String, usize>,
}

/// All routes.
#[derive(Clone, Debug, Serialize)]
struct Table {
    routes: Vec<Route>,
}

/// What was read of the requests of one route.
#[derive(Default)]
struct Seen {
    requests: usize,
    times: collections::BTreeMap<String, Vec<u64>>,
    failures: collections::BTreeMap<String, usize>,
}

/// Prints the time that the requests of each route have taken, by step.
pub(super) fn times(args: &args::Args) -> Result<output::Output, error::Error> {
    let lines = lines::read(args.free())?;
    let mut routes = collections::BTreeMap::<String, Seen>::new();
    let mut known = collections::HashMap::new();
    for line in &lines {
        let request = line.field("request");
        if line.event == "admitted" {
            known.insert(request, line.field("route"));
        }
        // A request that was refused before a route was found has none.
        if let Some(route) = known.get(request) {
            let seen = routes.entry((*route).to_owned()).or_default();
            seen.record(line);
        }
    }
    if routes.is_empty() {
        let text = "no line tells of an admitted request";
        return Err(error::Error::Usage(text.into()));
    }
    let routes = routes.into_iter().map(|(route, seen)| seen.finish(route));
    Ok(output::Output::new(&Table {
        routes: routes.collect(),
    }))
}

impl Seen {
    fn record(&mut self, line: &Line) {
        match line.event.as_str() {
            "admitted" => {
                self.requests += 1;
                self.time("spent before", line.field("spent_ms"));
            }
            "stage-ended" => self.stage(line),
            "head" => self.time("head of the answer", line.field("taken_ms")),
            "answered" => self.time("whole request", line.field("taken_ms")),
            "refused" | "send-failed" | "stream-broken" => {
                self.fail(&format!("{} {}", line.event, line.field("reason")));
            }
            _ => {}
        }
    }

    fn stage(&mut self, line: &Line) {
        let step = format!("stage {} at {}", line.field("stage"), line.field("service"));
        match line.field("outcome") {
            "done" => self.time(&step, line.field("taken_ms")),
            outcome => self.fail(&format!("{step} {outcome}")),
        }
    }

    fn time(&mut self, step: &str, millis: &str) {
        if let Ok(millis) = millis.parse() {
            self.times.entry(step.into()).or_default().push(millis);
        }
    }

    fn fail(&mut self, what: &str) {
        *self.failures.entry(what.into()).or_default() += 1;
    }

    fn finish(self, route: String) -> Route {
        Route {
            route,
            requests: self.requests,
            steps: self.times.into_iter().map(summary).collect(),
            failures: self.failures,
        }
    }
}

/// Summarizes the times of a step, of which there is one at least.
fn summary((step, mut times): (String, Vec<u64>)) -> Step {
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
            for (what, count) in &route.failures {
                writeln!(f, "  {what:<32} {count:>6}")?;
            }
        }
        Ok(())
    }
}
