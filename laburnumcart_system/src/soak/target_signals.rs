//! Signals of targets to gateways, and checks that gateways follow them.
//!
//! Targets announce a rate limit, start cold, ask for backoff, or announce that they leave before
//! the store lists them as draining.

use std::time;

use rand::{
    Rng,
    SeedableRng, //
};

use crate::soak::{
    Testbed,
    history::State, //
};

/// Rate that a cold target accepts, in requests per second.
pub(super) const COLD_PER_S: f64 = 20.0;

/// Time for which new targets are cold.
pub(super) const WARM_UP: time::Duration = time::Duration::from_millis(1500);

/// Backoff that targets ask for when they refuse a request.
pub(super) const BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Margin by which the checked span is shorter than the backoff.
const BACKOFF_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Requests that each gateway may send beyond the refused one during the backoff.
const EXTRA_PER_GATEWAY: usize = 2;

/// Time between a target's announcement that it leaves and the entry in the store.
pub(super) const DRAIN_DELAY: time::Duration = time::Duration::from_secs(3);

/// Time after the announcement in which gateways that received it may still send requests.
const LEAVING_GRACE: time::Duration = time::Duration::from_secs(2);

/// Rate limits that targets announce, in requests per second.
const LIMITS: [f64; 4] = [0.5, 2.0, 7.5, 20.0];

/// Pause between two changes of a limit in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2000;

/// Time in which a newly announced limit reaches all gateways.
const LIMIT_GRACE: time::Duration = time::Duration::from_secs(3);

/// Changes the limits of random targets for the length of the plan; some stay in force after it.
///
/// A random number generator of its own keeps the faults of a seed the same with these signals and
/// without.
pub(super) async fn inject(testbed: &Testbed) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(testbed.plan.seed.rotate_left(32));
    let end = time::Instant::now() + testbed.plan.length;
    while time::Instant::now() < end {
        let targets = testbed.targets.lock().await;
        let index = rng.random_range(0..targets.count());
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        targets.set_limit(index, rng.random_bool(0.7).then_some(limit));
        drop(targets);
        let pause = rng.random_range(PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Lists the violations of limits, warm-up rates, backoff and announcements.
///
/// While faults are injected a gateway may not know of a limit, so limits count only in planned
/// runs and after the last fault.
pub(super) fn breaches(state: &State, planned: bool) -> Vec<String> {
    let healed = match planned {
        true => None,
        false => state.healed,
    };
    let mut breaches = Vec::new();
    for limit in &state.limits {
        let from = (limit.from + LIMIT_GRACE).max(healed.map_or(limit.from, |at| at + LIMIT_GRACE));
        let span = time::Duration::from_secs(4);
        let most = max_arrivals(state, &limit.target, from, limit.until, span);
        if (planned || state.healed.is_some()) && most as f64 > limit.rate * 4.0 * 1.5 + 5.0 {
            breaches.push(format!("{most} requests in 4 s at {limit:?}"));
        }
    }
    for (target, most) in cold_arrivals(state) {
        if most as f64 > COLD_PER_S * 1.5 + 5.0 {
            breaches.push(format!("{most} requests in 1 s at {target} while cold"));
        }
    }
    breaches.extend(ignored_signals(state));
    breaches
}

/// Returns the largest number of requests in a second that reached each target while it was cold.
pub(super) fn cold_arrivals(state: &State) -> impl Iterator<Item = (&str, usize)> {
    state.cold.iter().map(|(target, until)| {
        let (from, span) = (*until - WARM_UP, time::Duration::from_secs(1));
        let most = max_arrivals(state, target, from, Some(*until), span);
        (target.as_str(), most)
    })
}

/// Lists the targets that received more requests than gateways without their signal account for.
///
/// Targets can't tell which gateway sent a request. Each gateway may send one request before it
/// receives the signal, and so may each gateway that restarted or was paused.
fn ignored_signals(state: &State) -> Vec<String> {
    let uninformed = state.gateways + state.faults.iter().filter(|f| f.contains("SIG")).count();
    let mut breaches = Vec::new();
    for (target, refused) in &state.refusals {
        let span = BACKOFF - BACKOFF_MARGIN;
        let after = |from: &time::Instant| {
            let span = *from..*from + span;
            refused.iter().filter(|at| span.contains(*at)).count()
        };
        let most = refused.iter().map(after).max().unwrap_or(0);
        if most > uninformed * (1 + EXTRA_PER_GATEWAY) {
            breaches.push(format!(
                "{most} requests in {span:?} at {target} during backoff"
            ));
        }
    }
    for (target, since) in &state.announced {
        let arrivals = state.arrivals.get(target).map_or(&[][..], Vec::as_slice);
        let late = arrivals
            .iter()
            .filter(|at| **at > *since + LEAVING_GRACE)
            .count();
        if late > uninformed {
            breaches.push(format!(
                "{late} requests at {target} after it announced that it leaves"
            ));
        }
    }
    breaches
}

/// Returns the largest number of requests that a target received in any span between two times.
fn max_arrivals(
    state: &State,
    target: &str,
    from: time::Instant,
    until: Option<time::Instant>,
    span: time::Duration,
) -> usize {
    let arrivals = state.arrivals.get(target).map_or(&[][..], Vec::as_slice);
    let within = |at: &&time::Instant| **at >= from && until.is_none_or(|until| **at < until);
    let arrivals: Vec<_> = arrivals.iter().filter(within).collect();
    let after = |i: usize| arrivals.partition_point(|at| **at < *arrivals[i] + span) - i;
    (0..arrivals.len()).map(after).max().unwrap_or(0)
}
