//! Orders of changes and faults, drawn by a seed.

use std::time;

use rand::{
    Rng,
    SeedableRng,
    rngs,
    seq::IndexedRandom, //
};

use crate::{
    fleet::{
        Fleet,
        Report,
        Subject, //
    },
    layout,
    network::{
        Life,
        Path, //
    },
};

/// Time between two checks.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Time in which all gateways must know each other after the start.
const SETTLE_MAX: time::Duration = time::Duration::from_secs(20);

/// Time in which changes and faults are drawn.
const LENGTH: time::Duration = time::Duration::from_secs(24);

/// Time after the last change in which all gateways must have it.
const TAIL: time::Duration = time::Duration::from_secs(5);

/// Size of a large configuration, beyond what gateways pass on to each other by default.
const LARGE_BYTES: usize = 40_000;

/// Number of routes of a large configuration at first.
const FIRST_ROUTES: usize = 400;

#[derive(Clone, Copy, Debug)]
enum Event {
    Change { padding: usize },
    AddRoutes { count: usize },
    SetLoss { gateway: usize, share: f64 },
    SetPath { gateway: usize, path: Path },
    SetLife { gateway: usize, life: Life },
    Start { gateway: usize },
    Compact,
}

/// Draws the gateways that a fault strikes.
fn draw_struck(rng: &mut rngs::StdRng, count: usize, readers: &[usize]) -> Vec<usize> {
    let mut struck: Vec<usize> = match rng.random_range(0..5) {
        0 => (0..count).collect(),
        1 | 2 => readers.to_vec(),
        3 => readers.choose(rng).copied().into_iter().collect(),
        _ => Vec::new(),
    };
    let share = *[0.0, 0.2, 0.5].choose(rng).expect("a choice");
    struck.extend((0..count).filter(|_| rng.random_bool(share)));
    struck.sort_unstable();
    struck.dedup();
    struck
}

/// Draws a fault and its end.
fn draw_fault(
    rng: &mut rngs::StdRng,
    at: time::Duration,
    struck: &[usize],
) -> Vec<(time::Duration, Event)> {
    let end = at + time::Duration::from_millis(rng.random_range(500..6000));
    let mut events = Vec::new();
    let kind = rng.random_range(0..10);
    let slow = time::Duration::from_millis(rng.random_range(20..250));
    for gateway in struck.iter().copied() {
        let at = at + time::Duration::from_millis(rng.random_range(0..300));
        let set_path = |path| Event::SetPath { gateway, path };
        let set_life = |life| Event::SetLife { gateway, life };
        match kind {
            0..=2 => events.extend([(at, set_path(Path::Refused)), (end, set_path(Path::Open))]),
            3..=5 => events.extend([(at, set_path(Path::Silent)), (end, set_path(Path::Open))]),
            6 => events.extend([
                (at, set_path(Path::Slow(slow))),
                (end, set_path(Path::Open)),
            ]),
            7 | 8 => {
                events.extend([(at, set_life(Life::Silent)), (end, set_life(Life::Running))]);
            }
            _ => events.extend([(at, set_life(Life::Ended)), (end, Event::Start { gateway })]),
        }
    }
    events
}

/// Draws an order: bursts of faults with changes around them.
fn draw(rng: &mut rngs::StdRng, count: usize, readers: &[usize]) -> Vec<(time::Duration, Event)> {
    let mut events = Vec::new();
    let mut at = time::Duration::from_millis(rng.random_range(500..2500));
    while at < LENGTH {
        for _ in 0..rng.random_range(1..4) {
            let at = at + time::Duration::from_millis(rng.random_range(0..1500));
            let struck = draw_struck(rng, count, readers);
            events.extend(draw_fault(rng, at, &struck));
        }
        for _ in 0..rng.random_range(1..4) {
            let at = at + time::Duration::from_millis(rng.random_range(0..2500));
            let padding = match rng.random_bool(0.15) {
                true => LARGE_BYTES,
                false => 0,
            };
            events.push((at, Event::Change { padding }));
        }
        if rng.random_bool(0.15) {
            events.push((at, Event::Compact));
        }
        at += time::Duration::from_millis(rng.random_range(1500..7000));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Draws an order of changes of a large configuration, with faults around them.
fn draw_large(
    rng: &mut rngs::StdRng,
    count: usize,
    readers: &[usize],
) -> Vec<(time::Duration, Event)> {
    let mut events = Vec::new();
    let (mut routes, mut written) = (FIRST_ROUTES, time::Duration::ZERO);
    let mut at = time::Duration::from_millis(rng.random_range(500..2500));
    while at < LENGTH {
        for _ in 0..rng.random_range(0..3) {
            let at = at + time::Duration::from_millis(rng.random_range(0..1500));
            let struck = draw_struck(rng, count, readers);
            events.extend(draw_fault(rng, at, &struck));
        }
        if rng.random_bool(0.4) {
            let end = at + time::Duration::from_millis(rng.random_range(1000..4000));
            let (share, data_centre) = (rng.random_range(0.02..0.1), rng.random_range(0..3));
            for gateway in (0..count).filter(|index| index % 3 == data_centre) {
                events.push((at, Event::SetLoss { gateway, share }));
                events.push((
                    end,
                    Event::SetLoss {
                        gateway,
                        share: 0.0,
                    },
                ));
            }
        }
        for _ in 0..rng.random_range(1..4) {
            let at = at + time::Duration::from_millis(rng.random_range(0..2500));
            // The operator's link is as slow: a version follows once the one before has passed it.
            let at = at.max(written);
            let count = *[0, 0, 0, 350, 350, 1400].choose(rng).expect("a choice");
            routes = (routes + count).min(layout::ROUTES_MAX);
            let bytes = (routes * layout::ROUTE_BYTES) as f64;
            written = at + time::Duration::from_secs_f64(bytes / slow_link(0));
            events.push((at, Event::AddRoutes { count }));
        }
        at += time::Duration::from_millis(rng.random_range(2500..7000));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}

async fn apply(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Change { padding } => fleet.change(padding).await,
        Event::AddRoutes { count } => fleet.add_routes(count).await,
        Event::SetLoss { gateway, share } => {
            if let Some(link) = &fleet.gateways[gateway].endpoint.link {
                link.set_loss(share);
            }
        }
        Event::SetPath { gateway, path } => {
            fleet.gateways[gateway].endpoint.path.send_replace(path);
        }
        Event::SetLife {
            gateway,
            life: Life::Ended,
        } => fleet.end_gateway(gateway),
        Event::SetLife { gateway, life } => {
            // A process that has ended is neither cut off nor reached again.
            if *fleet.gateways[gateway].endpoint.life.borrow() != Life::Ended {
                fleet.gateways[gateway].endpoint.life.send_replace(life);
            }
        }
        Event::Start { gateway } => fleet.start_gateway(gateway),
        Event::Compact => fleet.memory.compact(),
    }
}

/// Returns the bandwidth of the link of a gateway: 10 Mbit/s.
fn slow_link(_: usize) -> f64 {
    1.25e6
}

/// Plays the order of a seed in which a configuration of up to a megabyte passes slow links.
pub(crate) async fn play_large(seed: u64) -> Report {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let count = match rng.random_range(0..4) {
        0 => rng.random_range(20..30),
        _ => rng.random_range(3..9),
    };
    let mut fleet = Fleet::new(seed, Subject::Config).with_links(slow_link);
    fleet.add_routes(FIRST_ROUTES).await;
    play_order(fleet, seed, count, |readers| {
        draw_large(&mut rng, count, readers)
    })
    .await
}

/// Plays the order of a seed.
pub(crate) async fn play(seed: u64, subject: Subject) -> Report {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let count = match rng.random_range(0..20) {
        0 => rng.random_range(30..100),
        1..=4 => rng.random_range(9..30),
        _ => rng.random_range(3..9),
    };
    let mut fleet = Fleet::new(seed, subject);
    fleet.change(0).await;
    play_order(fleet, seed, count, |readers| draw(&mut rng, count, readers)).await
}

/// Starts gateways, plays the drawn events and returns what was seen.
async fn play_order(
    mut fleet: Fleet,
    seed: u64,
    count: usize,
    draw: impl FnOnce(&[usize]) -> Vec<(time::Duration, Event)>,
) -> Report {
    (0..count).for_each(|index| fleet.start_gateway(index));
    while !fleet.is_settled() {
        assert!(fleet.age() < SETTLE_MAX, "seed {seed}: no start");
        tokio::time::sleep(STEP).await;
    }
    let readers = fleet.readers();
    let mut events = draw(&readers).into_iter().peekable();
    let start = tokio::time::Instant::now();
    while start.elapsed() < LENGTH + TAIL {
        while let Some((_, event)) = events.next_if(|(at, _)| *at <= start.elapsed()) {
            apply(&mut fleet, event).await;
        }
        fleet.check();
        tokio::time::sleep(STEP).await;
    }
    fleet.finish()
}
