//! What reaches targets beyond the first of each request, and the bound on it.

use std::{
    collections,
    time, //
};

use crate::soak::ledger::State;

/// Bound on what targets of a service get once more in a window, from all gateways together.
pub(super) const RATIO: f64 = 0.02;
pub(super) const EXTRA: f64 = 5.0;
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// What reached the targets of one service.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    first: collections::HashSet<String>,
    repeats: Vec<time::Instant>,
}

impl Arrivals {
    /// Takes in a request, or a piece of a stage.
    pub(super) fn add(&mut self, key: String, now: time::Instant) {
        if !self.first.insert(key) {
            self.repeats.push(now);
        }
    }

    /// Returns how many came more than once.
    pub(super) fn repeats(&self) -> usize {
        self.repeats.len()
    }
}

/// Lists the windows in which more was repeated than all gateways together may repeat.
pub(super) fn breaches(state: &State) -> Vec<String> {
    let exceeds = |(service, arrivals): (&&'static str, &Arrivals)| {
        let requests: Vec<_> = state
            .calls
            .values()
            .filter(|call| services(call.route).contains(service))
            .map(|call| call.sent)
            .collect();
        let worst = arrivals.repeats.iter().find_map(|from| {
            let repeats = count(&arrivals.repeats, *from);
            let before = [0.0, 0.5, 1.0].map(|back| *from - WINDOW.mul_f64(back));
            let most = before.map(|from| count(&requests, from));
            let most = most.into_iter().max().unwrap_or_default();
            let allowed = RATIO * most as f64 + EXTRA;
            (repeats as f64 > allowed).then_some((repeats, allowed))
        });
        worst.map(|(repeats, allowed)| {
            format!("{service}: {repeats} repeats in a window, {allowed} allowed")
        })
    };
    state.repeats.iter().filter_map(exceeds).collect()
}

/// Returns how many were in the window from a moment.
fn count(times: &[time::Instant], from: time::Instant) -> usize {
    let is_in = |at: &&time::Instant| **at >= from && **at < from + WINDOW;
    times.iter().filter(is_in).count()
}

/// Returns the services that requests of a route reach.
pub(super) fn services(route: &str) -> &'static [&'static str] {
    match route {
        "tale" => &["tale", "encode"],
        _ => &["desk"],
    }
}
