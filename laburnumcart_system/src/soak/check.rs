//! The promises, checked from what callers and targets have seen.

use std::{
    collections,
    fmt,
    time, //
};

use crate::soak::{
    Plan,
    ledger::{
        Call,
        Ledger,
        Run,
        State, //
    },
    needs, repeats,
    targets::EVENTS,
};

/// Time after which a key that was taken away works nowhere.
const REVOKE: time::Duration = time::Duration::from_secs(5);

/// Time after which a leaving target gets no new work.
const LEAVE: time::Duration = time::Duration::from_secs(2);

/// Time after which an evacuated data centre gets no work.
const EVACUATE: time::Duration = time::Duration::from_secs(5);

/// Time after the last fault in which gateways that were cut off learn what they have missed.
const CATCH_UP: time::Duration = time::Duration::from_secs(3);

/// What a run has shown.
#[derive(Debug)]
pub struct Report {
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Faults in order.
    pub faults: Vec<String>,
    /// Calls by route and status.
    pub counts: collections::BTreeMap<String, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, count) in &self.counts {
            writeln!(f, "{what}: {count}")?;
        }
        writeln!(f, "faults: {}", self.faults.join("; "))?;
        for breach in &self.breaches {
            writeln!(f, "BROKEN {breach}")?;
        }
        Ok(())
    }
}

pub(super) fn report(ledger: &Ledger, plan: &Plan) -> Report {
    let state = ledger.lock();
    let mut breaches = state.breaches.clone();
    let mut counts = collections::BTreeMap::new();
    for (attempt, call) in &state.calls {
        let status = call.status.map_or("none".into(), |s| s.to_string());
        *counts
            .entry(format!("{} {status}", call.route))
            .or_default() += 1;
        let runs = state.runs.get(attempt).map_or(&[][..], Vec::as_slice);
        breaches.extend(check(&state, plan, attempt, call, runs));
    }
    for attempt in state.runs.keys() {
        if !state.calls.contains_key(attempt) {
            breaches.push(format!("{attempt} ran and was never sent"));
        }
    }
    // A limit that is still in force lets few requests through, of whichever route.
    let is_limited = state.needs.iter().any(|need| need.until.is_none());
    for route in ["safe", "once", "tale"] {
        let counts = |other| match is_limited {
            true => repeats::services(other) == repeats::services(route),
            false => other == route,
        };
        let served = |c: &&Call| c.calm && counts(c.route) && c.status == Some(200);
        if !state.calls.values().any(|c| served(&c)) {
            breaches.push(format!("{route}: nothing was served after the faults"));
        }
    }
    breaches.extend(needs::breaches(&state, plan.is_planned()));
    breaches.extend(repeats::breaches(&state));
    for (service, arrivals) in &state.repeats {
        counts.insert(format!("{service} repeats"), arrivals.repeats());
    }
    Report {
        breaches,
        faults: state.faults.clone(),
        counts,
    }
}

fn check(state: &State, plan: &Plan, attempt: &str, call: &Call, runs: &[Run]) -> Vec<String> {
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
        breach("was told that it did not run");
    }
    if call.status == Some(200) && call.complete && call.body != expected(attempt, call.route) {
        breach("got a wrong answer");
    }
    if call.status == Some(200) && !expected(attempt, call.route).starts_with(&call.body) {
        breach("got a part of a wrong answer");
    }
    if let Some(at) = call.key.as_ref().and_then(|key| state.revoked.get(key))
        && call.sent > *at + REVOKE
        && !runs.is_empty()
    {
        breach("ran with a key that was taken away");
    }
    if runs.iter().any(|run| is_evacuated(state, plan, run)) {
        breach("ran in an evacuated data centre");
    }
    if plan.is_planned() {
        // A request that crosses the close of an idle connection and goes nowhere is no loss.
        let crossed = call.status.is_none() && runs.is_empty();
        if !call.complete && !crossed {
            breach("was cut off by planned work");
        }
        let late = |run: &&Run| {
            state
                .leaving
                .get(&run.target)
                .is_some_and(|at| run.at > *at + LEAVE)
        };
        if runs.iter().any(|run| late(&run)) {
            breach("reached a target that was leaving");
        }
    }
    breaches
}

/// Reports whether a run began where it may not.
///
/// Faults excuse a gateway that cannot know. Planned work excuses none, and neither do faults that
/// are over.
fn is_evacuated(state: &State, plan: &Plan, run: &Run) -> bool {
    let place = state.places.get(&run.target);
    let evacuations = state.evacuations.iter().filter(|e| Some(&e.place) == place);
    let known = |from: time::Instant| match (plan.is_planned(), state.healed) {
        (true, _) => Some(from + EVACUATE),
        (false, healed) => healed.map(|healed| (from + EVACUATE).max(healed + CATCH_UP)),
    };
    let mut evacuations = evacuations.filter_map(|e| Some((known(e.from)?, e.until)));
    evacuations.any(|(from, until)| run.at > from && until.is_none_or(|until| run.at < until))
}

/// Returns the whole answer to a request.
fn expected(attempt: &str, route: &str) -> String {
    match route {
        "tale" => (1..=EVENTS)
            .map(|id| format!("id: {id}\ndata: {attempt} {id}\n\n"))
            .collect(),
        _ => format!("answer to {attempt}"),
    }
}
