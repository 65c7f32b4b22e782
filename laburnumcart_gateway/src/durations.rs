//! Usual durations of requests.

use std::{
    collections,
    sync::Mutex,
    time, //
};

use laburnumcart::ingress;

use crate::view;

/// Maximum number of routes whose durations are remembered.
const ROUTES_MAX: usize = 4096;

/// Number of requests of a route whose durations are remembered.
const SAMPLES_MAX: usize = 32;

/// Least number of requests by which a duration is usual.
const SAMPLES_MIN: usize = 8;

/// Fraction of requests that take no longer than the usual duration.
const USUAL_FRACTION: f64 = 0.9;

/// Recent durations of successful requests, by route.
#[derive(Debug, Default)]
pub struct Durations {
    routes: Mutex<collections::HashMap<String, collections::VecDeque<time::Duration>>>,
}

impl Durations {
    /// Records the time from the arrival of a request to the end of its answer.
    pub fn record(&self, route: &ingress::Route, elapsed: time::Duration) {
        let mut routes = view::lock(&self.routes);
        if let Some(recent) = routes.get_mut(&route.name) {
            if recent.len() == SAMPLES_MAX {
                recent.pop_front();
            }
            recent.push_back(elapsed);
            return;
        }
        if routes.len() >= ROUTES_MAX {
            routes.clear();
        }
        routes.insert(route.name.clone(), [elapsed].into());
    }

    /// Returns the time within which most requests of a route are answered, or `None` if too few
    /// were measured.
    pub fn usual(&self, route: &ingress::Route) -> Option<time::Duration> {
        let routes = view::lock(&self.routes);
        let recent = routes.get(&route.name)?;
        if recent.len() < SAMPLES_MIN {
            return None;
        }
        let mut sorted: Vec<_> = recent.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * USUAL_FRACTION).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }
}
