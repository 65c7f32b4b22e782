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

/// Returns the greatest use of the budget in a window by the repeats of each service, as a fraction.
pub(super) fn uses(state: &State) -> collections::BTreeMap<&'static str, f64> {
    let greatest = |(service, arrivals): (&&'static str, &Arrivals)| {
        let calls = state.calls.values();
        let calls = calls.filter(|call| services(call.route).contains(service));
        let requests: Vec<_> = calls.map(|call| call.sent).collect();
        let use_from = |from: &time::Instant| {
            // Gateways may count the requests in a window that began earlier.
            let starts = [0.0, 0.5, 1.0].map(|back| *from - WINDOW.mul_f64(back));
            let most = starts.map(|from| count(&requests, from));
            let allowed = RATIO * most.into_iter().max().unwrap_or_default() as f64 + EXTRA;
            count(&arrivals.repeats, *from) as f64 / allowed
        };
        (
            *service,
            arrivals.repeats.iter().map(use_from).fold(0.0, f64::max),
        )
    };
    state.repeats.iter().map(greatest).collect()
}

/// Lists the services whose repeats exceeded the budget in a window.
pub(super) fn breaches(uses: &collections::BTreeMap<&'static str, f64>) -> Vec<String> {
    let exceeded = uses.iter().filter(|(_, fraction)| **fraction > 1.0);
    exceeded
        .map(|(service, fraction)| format!("{service}: {fraction:.2} of the budget for repeats"))
        .collect()
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
