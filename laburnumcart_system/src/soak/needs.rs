//! Targets in need while faults are played: they name a limit for a while, start cold, ask for a pause,
//! or say that they leave before the store does.

use std::time;

use rand::{
    Rng,
    SeedableRng, //
};

use crate::soak::{
    Site,
    ledger::State, //
};

/// Requests in a second that a target bears while it is cold.
pub(super) const COLD_PER_S: f64 = 20.0;

/// Time for which targets that start are cold.
pub(super) const COLD: time::Duration = time::Duration::from_millis(1500);

/// Time for which targets that refuse requests want no other.
pub(super) const BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Time after a refusal from which no request comes until the time that it asked for is over.
const TOLD: time::Duration = time::Duration::from_millis(500);

/// Requests of one gateway that are borne in that time.
const BORNE: usize = 2;

/// Time between a target's first word that it leaves and the store's.
pub(super) const UNTOLD: time::Duration = time::Duration::from_secs(3);

/// Time after a target has told a gateway that it leaves in which the gateway still sends to it.
const LEAVE: time::Duration = time::Duration::from_secs(2);

/// Limits that targets name, in requests a second.
const LIMITS: [f64; 4] = [0.5, 2.0, 7.5, 20.0];

/// Pauses between two changes in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2000;

/// Time after a target has first named a limit from which it is kept.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Lets targets name limits until the time of the plan is over; some still do at the end.
///
/// They are drawn apart from the faults, so that a seed plays the same faults with them and
/// without.
pub(super) async fn play(site: &Site) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(site.plan.seed.rotate_left(32));
    let end = time::Instant::now() + site.plan.length;
    while time::Instant::now() < end {
        let targets = site.targets.lock().await;
        let index = rng.random_range(0..targets.count());
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        targets.name_limit(index, rng.random_bool(0.7).then_some(limit));
        drop(targets);
        let pause = rng.random_range(PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Lists the spans in which a target got more than it bears.
///
/// Faults excuse the gateways that they hit, so that beside them limits count once they are over.
pub(super) fn breaches(state: &State, planned: bool) -> Vec<String> {
    let healed = match planned {
        true => None,
        false => state.healed,
    };
    let mut breaches = Vec::new();
    for need in &state.needs {
        let from = (need.from + CONTACT).max(healed.map_or(need.from, |at| at + CONTACT));
        let span = time::Duration::from_secs(4);
        let most = most(state, &need.target, from, need.until, span);
        if (planned || state.healed.is_some()) && most as f64 > need.rate * 4.0 * 1.5 + 5.0 {
            breaches.push(format!("{most} requests in 4 s at {need:?}"));
        }
    }
    for (target, until) in &state.cold {
        let (from, span) = (*until - COLD, time::Duration::from_secs(1));
        let most = most(state, target, from, Some(*until), span);
        if most as f64 > COLD_PER_S * 1.5 + 5.0 {
            breaches.push(format!("{most} requests in 1 s at {target}, which is cold"));
        }
    }
    breaches.extend(unheeded(state));
    breaches
}

/// Lists the targets that got more than what gateways send that were not told.
///
/// Targets do not see which gateway a request comes from. Each, and each that has started again, may
/// have to be told once.
fn unheeded(state: &State) -> Vec<String> {
    let untold = state.gateways + state.faults.iter().filter(|f| f.contains("SIG")).count();
    let mut breaches = Vec::new();
    for (target, refused) in &state.refused {
        let span = BACKOFF - TOLD;
        let after = |from: &time::Instant| {
            let span = *from..*from + span;
            refused.iter().filter(|at| span.contains(*at)).count()
        };
        let most = refused.iter().map(after).max().unwrap_or(0);
        if most > untold * (1 + BORNE) {
            breaches.push(format!(
                "{most} requests in {span:?} at {target}, which asks for a pause"
            ));
        }
    }
    for (target, since) in &state.said {
        let arrivals = state.arrivals.get(target).map_or(&[][..], Vec::as_slice);
        let late = arrivals.iter().filter(|at| **at > *since + LEAVE).count();
        if late > untold {
            breaches.push(format!(
                "{late} requests at {target}, which says that it leaves"
            ));
        }
    }
    breaches
}

/// Returns the most requests that a target got in one span between two moments.
fn most(
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
