//! Repeats of requests and pieces at targets, and the check of the fleet budget for them.

use std::{
    collections,
    time, //
};

use crate::soak::history::State;

/// Repeats per request that all gateways together may send to a service.
pub(super) const RATIO: f64 = 0.02;

/// Repeats in a window that are allowed regardless of the number of requests.
pub(super) const EXTRA: f64 = 5.0;

/// Window in which requests and repeats are counted.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Arrivals of requests and pieces at the targets of one service.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    seen: collections::HashSet<String>,
    repeats: Vec<time::Instant>,
}

impl Arrivals {
    /// Records the arrival of a request or of a piece of a stage.
    pub(super) fn add(&mut self, key: String, now: time::Instant) {
        if !self.seen.insert(key) {
            self.repeats.push(now);
        }
    }

    /// Returns the number of repeats.
    pub(super) fn repeats(&self) -> usize {
        self.repeats.len()
    }
}

/// Lists the services whose repeats exceeded the budget in a window.
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
            // Gateways may count the requests in a window that began earlier.
            let starts = [0.0, 0.5, 1.0].map(|back| *from - WINDOW.mul_f64(back));
            let most = starts.map(|from| count(&requests, from));
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

/// Returns the number of `times` in the window that begins at `from`.
fn count(times: &[time::Instant], from: time::Instant) -> usize {
    let is_in = |at: &&time::Instant| **at >= from && **at < from + WINDOW;
    times.iter().filter(is_in).count()
}

/// Returns the services that receive requests of a route.
pub(super) fn services(route: &str) -> &'static [&'static str] {
    match route {
        "tale" => &["tale", "encode"],
        _ => &["desk"],
    }
}
