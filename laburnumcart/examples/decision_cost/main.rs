//! Measures the time and memory of each decision at several sizes.
//!
//! Run with `cargo run --release -p laburnumcart --example decision_cost`.

use std::time;

use laburnumcart::{
    admission,
    balancer,
    bundle::Priority,
    concurrency,
    estimate,
    facts,
    fair,
    id,
    outlier,
    subset,
    suspects,
    unit, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use tokio::time::Instant;

mod measure;

const TEAMS: [usize; 4] = [10, 100, 1000, 2500];
const TARGETS: [usize; 4] = [10, 50, 200, 1000];
const STAGES: [usize; 4] = [6, 24, 84, 168];
const FACTS: [usize; 4] = [10, 100, 500, 2000];

fn main() {
    println!("| decision | sizes | nanoseconds (median, least to most of 5) | bytes each |");
    println!("|---|---|---|---|");
    TEAMS.iter().for_each(|n| measure_fair_queue(*n));
    TEAMS.iter().for_each(|n| measure_admission(*n));
    TARGETS.iter().for_each(|n| measure_balancer(*n, None));
    TARGETS.iter().for_each(|n| measure_balancer(*n, Some(0)));
    TARGETS.iter().for_each(|n| measure_outlier_detection(*n));
    TARGETS.iter().for_each(|n| measure_concurrency_limit(*n));
    TARGETS.iter().for_each(|n| measure_subset(*n));
    STAGES.iter().for_each(|n| measure_estimates(*n));
    FACTS.iter().for_each(|n| measure_merge(*n));
    FACTS.iter().for_each(|n| measure_suspects(*n));
}

fn rng() -> rand::rngs::StdRng {
    rand::rngs::StdRng::seed_from_u64(1)
}

/// Measures a push and a pop with four entries of each team in the queue.
fn measure_fair_queue(teams: usize) {
    let now = Instant::now();
    let mut rng = rng();
    let mut request = || fair::Request {
        priority: [Priority::High, Priority::Normal, Priority::Low][rng.random_range(0..3)],
        deadline: now + time::Duration::from_millis(rng.random_range(1_000_000..2_000_000)),
        cost: 1,
        value: 0u64,
    };
    let ((mut queue, keys), bytes) = measure::bytes(|| {
        let mut queue = fair::Queue::new(usize::MAX);
        let keys: Vec<_> = (0..teams)
            .map(|i| queue.add_team(1 + i as u32 % 9, 1000))
            .collect();
        for key in keys.repeat(4) {
            queue.push(key, request());
        }
        (queue, keys)
    });
    let times = measure::nanos(|i| {
        queue.push(keys[i % teams], request());
        queue.pop(now)
    });
    measure::row(
        "fair: push and pop",
        format!("{teams} teams, 4 entries each"),
        times,
        bytes / teams,
    );
}

fn measure_admission(teams: usize) {
    let now = Instant::now();
    let mut rng = rng();
    let ((mut admission, keys), bytes) = measure::bytes(|| {
        let mut admission = admission::Controller::new(now);
        let keys: Vec<_> = (0..teams).map(|_| admission.add_team(1)).collect();
        (admission, keys)
    });
    let times = measure::nanos(|i| {
        let key = keys[i % teams];
        if admission
            .admit(key, Priority::Normal, now, &mut rng)
            .is_ok()
        {
            admission.finish(key, admission::Outcome::Done, now);
        }
    });
    measure::row(
        "admit: admit and finish",
        format!("{teams} teams"),
        times,
        bytes / teams,
    );
}

fn targets(count: usize, now: Instant) -> Vec<balancer::Target> {
    let target = |i: usize| balancer::Target {
        name: format!("target-{i}").parse().expect("The name is valid."),
        state: balancer::State::Ready,
        load: balancer::Load {
            pending: i as u32 % 7,
            own_pending: 0,
            limit: 4,
            service_time: time::Duration::from_millis(50),
            at: now,
        },
        local: i.is_multiple_of(4),
        extra_latency: time::Duration::from_millis(1),
    };
    (0..count).map(target).collect()
}

fn measure_balancer(count: usize, prefix: Option<u64>) {
    let now = Instant::now();
    let mut rng = rng();
    let (table, bytes) = measure::bytes(|| balancer::Table::new(targets(count, now)));
    let own = |i: usize| i as u32 % 3;
    let times = measure::nanos(|i| {
        let prefix = prefix.map(|p| p + i as u64);
        let request = balancer::Request {
            tried: &[],
            prefix,
            in_flight: &own,
            now,
        };
        table.choose(&request, &mut rng)
    });
    let name = if prefix.is_some() {
        "route: by prefix"
    } else {
        "route: two choices"
    };
    measure::row(name, format!("{count} targets"), times, bytes / count);
}

/// Includes the comparisons of all targets, one per 10,000 outcomes.
fn measure_outlier_detection(count: usize) {
    let mut now = Instant::now();
    let ((mut detector, keys), bytes) = measure::bytes(|| {
        let mut detector = outlier::Detector::new(unit::Share(0.3), now);
        let keys: Vec<_> = (0..count).map(|_| detector.add()).collect();
        (detector, keys)
    });
    let success = outlier::Outcome::Success(time::Duration::from_millis(20));
    let times = measure::nanos(|i| {
        now += outlier::COMPARISON_INTERVAL / 10_000;
        detector.record_outcome(keys[i % count], success, now);
    });
    measure::row(
        "eject: record",
        format!("{count} targets"),
        times,
        bytes / count,
    );
}

fn measure_concurrency_limit(count: usize) {
    let mut now = Instant::now();
    let (mut all, bytes) = measure::bytes(|| {
        let all = (0..count).map(|_| concurrency::Limit::new());
        all.collect::<Vec<_>>()
    });
    let times = measure::nanos(|i| {
        now += time::Duration::from_micros(100);
        let limit = &mut all[i % count];
        limit.record_latency(time::Duration::from_millis(20), limit.get(), now);
    });
    measure::row(
        "limit: observe",
        format!("{count} targets"),
        times,
        bytes / count,
    );
}

fn measure_subset(count: usize) {
    let own = "entry-1".parse().expect("The name is valid.");
    let data_centres = ["a", "b", "c", "d"].map(|z| z.parse().expect("The name is valid."));
    let targets = targets(count, Instant::now());
    let members = || {
        let members = targets.iter().enumerate();
        members.map(|(i, t)| subset::Member {
            name: &t.name,
            data_centre: &data_centres[i % 4],
        })
    };
    let times = measure::nanos(|_| subset::choose(&own, &data_centres[0], members(), 16));
    let (_chosen, bytes) = measure::bytes(|| subset::choose(&own, &data_centres[0], members(), 16));
    measure::row(
        "subset: choose 16",
        format!("{count} targets"),
        times,
        bytes / 16,
    );
}

fn measure_estimates(stages: usize) {
    let now = Instant::now();
    let (mut estimates, bytes) = measure::bytes(|| {
        let mut estimates = estimate::Estimates::default();
        for i in 0..stages * 50 {
            estimates.record(i % stages, time::Duration::from_millis(i as u64 % 997), now);
        }
        estimates
    });
    let times = measure::nanos(|i| {
        estimates.record(i % stages, time::Duration::from_millis(i as u64 % 997), now);
    });
    let size = format!("{stages} stages");
    measure::row("estimate: record", size.clone(), times, bytes / stages);
    let times = measure::nanos(|i| {
        let rest = (0..4).map(|step| (i + step) % stages);
        estimates.expected_rest(rest, Priority::Normal, now)
    });
    measure::row("estimate: rest of 4 stages", size, times, bytes / stages);
}

/// Returns a table of crashes with eight suspects each.
fn crashes(count: usize, now: Instant) -> facts::Table {
    let mut table = facts::Table::default();
    for i in 0..count as u128 {
        let ran = (0..8).map(|step| id::Fingerprint(i * 8 + step));
        table.add_crash(
            &suspects::crash_fact(ran, unit::Period::from_secs(600)),
            now,
        );
    }
    table
}

fn measure_merge(count: usize) {
    let now = Instant::now();
    let (mut table, bytes) = measure::bytes(|| crashes(count, now));
    let known = table
        .changes(facts::Version::default(), now)
        .unwrap_or_default();
    let size = format!("{count} crashes, 8 suspects each");
    let times = measure::nanos(|_| table.merge(&known, now));
    measure::row(
        "facts: merge all, known",
        size.clone(),
        times,
        bytes / count,
    );
    let sent = table.version();
    let times = measure::nanos(|_| table.changes(sent, now));
    measure::row("facts: nothing new for a peer", size, times, bytes / count);
}

fn measure_suspects(count: usize) {
    let now = Instant::now();
    let table = crashes(count, now);
    let size = format!("{count} crashes, 8 suspects each");
    let (known, bytes) = measure::bytes(|| suspects::Suspects::new(&table, now));
    let times = measure::nanos(|_| suspects::Suspects::new(&table, now));
    measure::row("suspects: derive", size.clone(), times, bytes / count);
    let times = measure::nanos(|i| known.refusal(id::Fingerprint(i as u128), now));
    measure::row("suspects: refusal", size, times, bytes / count);
}
