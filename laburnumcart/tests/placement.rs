//! Choice of the model engine for a prompt.

use std::time;

use laburnumcart::{
    ingress,
    placement,
    quota,
    unit, //
};
use tokio::time::Instant;

const ENGINES: usize = 6;

fn fleet() -> (placement::Engines, Vec<placement::EngineKey>) {
    let limits = ingress::Engine {
        slots: 8,
        tokens: 400_000,
    };
    let mut fleet = placement::Engines::new(limits);
    let zone = |i: usize| ["north", "south", "west"][i % 3].parse().unwrap();
    let add = |i| fleet.add(&format!("engine-{i}"), zone(i));
    let keys = (0..ENGINES).map(add).collect();
    (fleet, keys)
}

fn parts(session: u64, own: u64) -> [placement::Part; 2] {
    [(session, 6000), (own, 500)].map(|(id, tokens)| placement::Part { id, tokens })
}

fn ask(parts: &[placement::Part]) -> placement::Request<'_> {
    placement::Request {
        parts,
        tokens: 7000,
        ..Default::default()
    }
}

#[test]
fn all_instances_send_a_session_to_the_same_engine() {
    let now = Instant::now();
    let ((one, _), (two, _)) = (fleet(), fleet());
    for session in 0..50 {
        let (a, b) = (parts(session, 1), parts(session, 2));
        let first = one.choose(&ask(&a), now).unwrap();
        assert_eq!(first, two.choose(&ask(&b), now).unwrap());
    }
}

#[test]
fn a_part_that_was_read_is_not_missing() {
    let now = Instant::now();
    let (mut fleet, _) = fleet();
    let (first, second) = (parts(1, 1), parts(1, 2));
    let place = fleet.choose(&ask(&first), now).unwrap();
    assert_eq!(place.uncached_tokens, 6500);
    fleet.record_sent(&ask(&first), place, now);
    fleet.record_first_token(place);
    assert_eq!(
        fleet.choose(&ask(&second), now).unwrap().uncached_tokens,
        500
    );
}

// One session gets most of the traffic. Its home must not be left with all of it: the prompts
// would queue there for seconds while other engines are idle.
#[test]
fn a_popular_session_spreads() {
    let now = Instant::now();
    let (mut fleet, _) = fleet();
    let mut used = std::collections::HashSet::new();
    for own in 0..40 {
        let parts = parts(1, 1000 + own);
        let place = fleet.choose(&ask(&parts), now).unwrap();
        fleet.record_sent(&ask(&parts), place, now);
        used.insert(place.engine);
    }
    assert!(used.len() >= 3, "{}", used.len());
}

// The home of a session reads other prompts. With time to wait its requests go there all the same:
// read anywhere else, what they share costs the fleet as much again, and so would the next one of
// the session. Without time they go where the first token comes sooner.
#[test]
fn a_session_waits_for_its_home_while_it_has_time() {
    let now = Instant::now();
    let (mut fleet, _) = fleet();
    let first = parts(1, 1);
    let home = fleet.choose(&ask(&first), now).unwrap();
    fleet.record_sent(&ask(&first), home, now);
    fleet.record_first_token(home);
    for session in 100..102 {
        let other = parts(session, session);
        let missing = 6500;
        let place = placement::Assignment {
            uncached_tokens: missing,
            ..home
        };
        fleet.record_sent(&ask(&other), place, now);
    }
    let next = parts(1, 2);
    let with = |slack| placement::Request {
        slack,
        ..ask(&next)
    };
    let patient = fleet.choose(&with(time::Duration::from_secs(2)), now);
    assert_eq!(patient.unwrap().engine, home.engine);
    let urgent = fleet.choose(&with(time::Duration::from_millis(300)), now);
    assert_ne!(urgent.unwrap().engine, home.engine);
}

// An engine fails a request. The next one must go elsewhere, although the engine has the session's
// prompt cached; and when it is the only one left it is better than none.
#[test]
fn failed_engines_are_avoided() {
    let now = Instant::now();
    let (mut fleet, keys) = fleet();
    let parts = parts(3, 1);
    let place = fleet.choose(&ask(&parts), now).unwrap();
    fleet.record_failure(place.engine, now);
    let other = fleet.choose(&ask(&parts), now).unwrap();
    assert_ne!(other.engine, place.engine);
    for key in keys.iter().filter(|key| **key != place.engine) {
        fleet.remove(*key);
    }
    assert_eq!(
        fleet.choose(&ask(&parts), now).unwrap().engine,
        place.engine
    );
    let avoid = [place.engine];
    let ask = placement::Request {
        avoid: &avoid,
        ..ask(&parts)
    };
    assert_eq!(fleet.choose(&ask, now), None);
}

#[test]
fn large_inputs_draw_a_prompt_to_their_data_centre() {
    let now = Instant::now();
    let (fleet, _) = fleet();
    let own = [placement::Part { id: 9, tokens: 500 }];
    let inputs = [("west".parse().unwrap(), unit::Size(8 << 20))];
    let near = placement::Request {
        inputs: &inputs,
        ..ask(&own)
    };
    let chosen = fleet.choose(&near, now).unwrap().engine;
    let mut without = fleet.clone();
    without.remove(chosen);
    let second = without.choose(&near, now).unwrap().engine;
    let ranks = [chosen, second];
    // Two engines of six stand there; both come before all others.
    assert!(ranks[0] != ranks[1]);
    without.remove(second);
    let third = without.choose(&near, now).unwrap().engine;
    assert!(!ranks.contains(&third));
}

// Reports are believed for a second: an engine that was full long ago must get work again.
#[test]
fn old_reports_are_not_believed() {
    let now = Instant::now();
    let (mut fleet, _) = fleet();
    let parts = parts(5, 1);
    let home = fleet.choose(&ask(&parts), now).unwrap().engine;
    let full = placement::Report {
        running: 8,
        waiting: 20,
    };
    fleet.record_report(home, full, now);
    assert_ne!(fleet.choose(&ask(&parts), now).unwrap().engine, home);
    let later = now + time::Duration::from_secs(2);
    assert_eq!(fleet.choose(&ask(&parts), later).unwrap().engine, home);
}

// All engines have crashed and are back, cold, under more load than they bear. Each gets its part
// of the rate and the other requests are refused; an engine that is paused after a failure is no
// way around that.
#[tokio::test(start_paused = true)]
async fn cold_engines_get_no_more_than_their_part() {
    let (mut fleet, keys) = fleet();
    let start = Instant::now();
    let quota = quota::Quota {
        count: 2,
        span: time::Duration::from_millis(1100),
    };
    let until = start + time::Duration::from_secs(3);
    for key in &keys {
        let gate = quota::Limiter::default();
        gate.set_bounds(quota::Bounds {
            cold: Some(quota::Bound::new(quota).until(until)),
            ..quota::Bounds::default()
        });
        fleet.set_limiter(*key, gate);
        fleet.record_failure(*key, start);
    }
    let (mut served, mut refused) = (0, 0);
    for session in 0..100 {
        let parts = parts(session, session);
        let ask = ask(&parts);
        match fleet.choose(&ask, start) {
            Some(place) => {
                fleet.record_sent(&ask, place, start);
                served += 1;
            }
            None => refused += 1,
        }
    }
    assert_eq!((served, refused), (2 * ENGINES, 100 - 2 * ENGINES));
    let warm = fleet.choose(&ask(&parts(1, 1)), until);
    assert!(warm.is_some());
}
