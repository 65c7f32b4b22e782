//! Checks of the guarantees against what callers and targets have observed.

use std::{
    collections,
    fmt,
    time, //
};

use crate::soak::{
    Plan, connections,
    history::{
        Call,
        History,
        Run,
        State, //
    },
    poison, repeats, target_signals,
    targets::EVENTS,
    versions,
};

/// Time after which no gateway accepts a revoked key.
const REVOCATION_BOUND: time::Duration = time::Duration::from_secs(5);

/// Time after which a leaving target receives no new requests.
const LEAVING_GRACE: time::Duration = time::Duration::from_secs(2);

/// Time after which an evacuated data centre receives no requests.
const EVACUATION_BOUND: time::Duration = time::Duration::from_secs(5);

/// Time in which gateways that were cut off catch up after the last fault.
const CATCH_UP: time::Duration = time::Duration::from_secs(3);

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Violations of the guarantees.
    pub breaches: Vec<String>,
    /// Injected faults in order.
    pub faults: Vec<String>,
    /// Number of calls by route and status, and of repeats by service.
    pub counts: collections::BTreeMap<String, usize>,
    /// Greatest use of the budget for repeats by service, as a fraction.
    pub uses: collections::BTreeMap<&'static str, f64>,
}

impl Report {
    /// Returns the greatest use of the budget for repeats of any service, as a fraction.
    pub fn greatest_use(&self) -> f64 {
        self.uses.values().copied().fold(0.0, f64::max)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (key, count) in &self.counts {
            writeln!(f, "{key}: {count}")?;
        }
        for (service, fraction) in &self.uses {
            writeln!(f, "{service}: {fraction:.2} of the budget for repeats")?;
        }
        writeln!(f, "faults: {}", self.faults.join("; "))?;
        for breach in &self.breaches {
            writeln!(f, "BROKEN {breach}")?;
        }
        Ok(())
    }
}

/// Checks the history of a run.
pub(super) fn report(history: &History, plan: &Plan) -> Report {
    let state = history.lock();
    let mut breaches = state.breaches.clone();
    let mut counts = collections::BTreeMap::new();
    for (attempt, call) in &state.calls {
        let status = call.status.map_or("none".into(), |s| s.to_string());
        *counts
            .entry(format!("{} {status}", call.route))
            .or_default() += 1;
        let runs = state.runs.get(attempt).map_or(&[][..], Vec::as_slice);
        breaches.extend(check_call(&state, plan, attempt, call, runs));
        if !call.complete && call.whole.is_some() && is_excused(plan, call, runs) {
            *counts.entry("crossed or late".to_owned()).or_default() += 1;
        }
    }
    for attempt in state.runs.keys() {
        if !state.calls.contains_key(attempt) {
            breaches.push(format!("{attempt} ran but was never sent"));
        }
    }
    // A limit in force admits few requests and does not choose among the routes of a service.
    let is_limited = state.limits.iter().any(|limit| limit.until.is_none());
    for route in ["safe", "once", "tale"] {
        let counts = |other| match is_limited {
            true => repeats::services(other) == repeats::services(route),
            false => other == route,
        };
        let served = |c: &&Call| c.fault_free && counts(c.route) && c.status == Some(200);
        if !state.calls.values().any(|c| served(&c)) {
            breaches.push(format!("{route}: no request was served after the faults"));
        }
    }
    breaches.extend(target_signals::breaches(&state, plan.is_planned()));
    let uses = repeats::uses(&state);
    breaches.extend(repeats::breaches(&uses));
    breaches.extend(poison::breaches(&state));
    breaches.extend(versions::breaches(&state));
    breaches.extend(connections::breaches(&state));
    for (target, most) in target_signals::cold_arrivals(&state) {
        counts.insert(format!("{target} most in a second while cold"), most);
    }
    if plan.versions {
        for outcome in ["in all", "went on", "refused"] {
            let count = versions::count(&state, outcome);
            counts.insert(format!("streams taken up, {outcome}"), count);
        }
    }
    for (content, arrivals) in &state.poison {
        counts.insert(format!("{content} arrivals"), arrivals.count());
        counts.insert(format!("{content} late"), arrivals.late());
    }
    for (service, arrivals) in &state.repeats {
        counts.insert(format!("{service} repeats"), arrivals.repeats());
    }
    Report {
        breaches,
        faults: state.faults.clone(),
        counts,
        uses,
    }
}

/// Lists the violations that one call shows.
fn check_call(state: &State, plan: &Plan, attempt: &str, call: &Call, runs: &[Run]) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut breach = |text: &str| {
        breaches.push(format!(
            "{attempt} ({}) {text}: {call:?} {runs:?}",
            call.route
        ))
    };
    if call.route == "once" && runs.len() > 1 {
        breach("ran twice");
    }
    if matches!(call.status, Some(408 | 421 | 429 | 503)) && !runs.is_empty() {
        breach("was reported as not run but ran");
    }
    let (body, expected) = (versions::without_marks(&call.body), expected(attempt, call));
    if call.status == Some(200) && call.complete && body != expected {
        breach("received a wrong response");
    }
    if call.status == Some(200) && !expected.starts_with(&body) {
        breach("received part of a wrong response");
    }
    if let Some(at) = call.key.as_ref().and_then(|key| state.revoked.get(key))
        && call.sent > *at + REVOCATION_BOUND
        && !runs.is_empty()
    {
        breach("ran with a revoked key");
    }
    if runs.iter().any(|run| is_evacuated(state, plan, run)) {
        breach("ran in an evacuated data centre");
    }
    if (plan.is_planned() || plan.connections) && !call.complete && !is_excused(plan, call, runs) {
        breach("was cut off");
    }
    if plan.is_planned() {
        let late = |run: &&Run| {
            state
                .leaving
                .get(&run.target)
                .is_some_and(|at| run.at > *at + LEAVING_GRACE)
        };
        if runs.iter().any(|run| late(&run)) {
            breach("reached a leaving target");
        }
    }
    breaches
}

/// Reports whether a request may end without a whole answer.
///
/// One that crosses the close of its connection is lost before the gateway has read it.
fn is_excused(plan: &Plan, call: &Call, runs: &[Run]) -> bool {
    let Some(closed) = call.closed else {
        return false;
    };
    let Some(whole) = call.whole else {
        return true;
    };
    let crossed =
        call.status.is_none() && runs.is_empty() && closed < whole + connections::CLOSE_SLACK;
    let is_late = !plan.is_planned() && closed >= call.sent + connections::DEADLINE;
    crossed || is_late
}

/// Reports whether a run started in an evacuated data centre.
///
/// While faults are injected a gateway may not have received the evacuation, so it counts only in
/// planned runs and once gateways had time to catch up after the last fault.
fn is_evacuated(state: &State, plan: &Plan, run: &Run) -> bool {
    let data_centre = state.data_centres.get(&run.target);
    let evacuations = state
        .evacuations
        .iter()
        .filter(|e| Some(&e.data_centre) == data_centre);
    let in_force = |from: time::Instant| match (plan.is_planned(), state.healed) {
        (true, _) => Some(from + EVACUATION_BOUND),
        (false, healed) => healed.map(|healed| (from + EVACUATION_BOUND).max(healed + CATCH_UP)),
    };
    let mut evacuations = evacuations.filter_map(|e| Some((in_force(e.from)?, e.until)));
    evacuations.any(|(from, until)| run.at > from && until.is_none_or(|until| run.at < until))
}

/// Returns the complete response body of a request.
fn expected(attempt: &str, call: &Call) -> String {
    let after = call.resumed.as_ref().map_or(0, |resumed| resumed.after);
    match call.route {
        "tale" => (after + 1..=EVENTS)
            .map(|id| format!("id: {id}\ndata: {attempt} {id}\n\n"))
            .collect(),
        _ => format!("answer to {attempt}"),
    }
}
