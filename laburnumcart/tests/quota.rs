//! Requests to targets that bear few, summed over processes that share no count.

use std::{
    collections,
    time, //
};

use laburnumcart::{
    id,
    quota,
    unit, //
};
use proptest::prelude::*;
use rand::{
    Rng as _,
    SeedableRng,
    rngs::StdRng, //
};
use rstest::rstest;
use tokio::time::Instant;

fn names(count: usize) -> Vec<id::InstanceName> {
    let name = |i| format!("gateway-{i}").parse().unwrap();
    (0..count).map(name).collect()
}

fn target(i: usize) -> id::TargetName {
    format!("engine-{i}").parse().unwrap()
}

/// Sum of the quotas of all members for one target.
fn sum(members: &[id::InstanceName], target: &id::TargetName, rate: f64) -> u32 {
    let all: Vec<_> = members.iter().collect();
    let quota = |own| {
        let members = &all[..];
        quota::Senders { own, members }.quota(target, unit::Rate(rate))
    };
    members.iter().map(|own| quota(own).count).sum()
}

// Engines of a data centre come back cold and all gateways have more for them than they bear. If
// each gateway rounded its part up, or took the whole rate, the engines would crash again.
#[rstest]
#[case(1, 13.0)]
#[case(4, 13.0)]
#[case(27, 13.0)]
#[case(350, 13.0)]
#[case(27, 40.5)]
#[case(3, 0.5)]
fn parts_add_up_to_the_rate(#[case] members: usize, #[case] rate: f64) {
    let members = names(members);
    for i in 0..20 {
        assert_eq!(sum(&members, &target(i), rate), rate.max(1.0) as u32);
    }
}

// With more gateways than requests a second, the same few gateways must not hold all engines: the
// callers of the others would be refused while engines have room.
#[test]
fn parts_of_different_targets_go_to_different_members() {
    let members = names(27);
    let all: Vec<_> = members.iter().collect();
    for own in &members {
        let senders = quota::Senders { own, members: &all };
        let quotas = (0..49).map(|i| senders.quota(&target(i), unit::Rate(13.0)).count);
        let open: u32 = quotas.sum();
        assert!((10..40).contains(&open), "{own} may use {open} of 49");
    }
}

// Two gateways see a member more or less for a moment. Together they may go a little beyond the
// rate, far less than the half of it that a target bears beyond.
#[test]
fn views_that_differ_go_little_beyond() {
    let (old, new) = (names(26), names(27));
    for i in 0..20 {
        let quota = |own, members: &[id::InstanceName]| {
            let all: Vec<_> = members.iter().collect();
            let members = &all[..];
            quota::Senders { own, members }.quota(&target(i), unit::Rate(13.0))
        };
        let half = new.iter().enumerate();
        let sums = half.map(|(k, own)| match k % 2 == 0 && k < 26 {
            true => quota(own, &old).count,
            false => quota(own, &new).count,
        });
        let sum: u32 = sums.sum();
        assert!(sum <= 14, "{sum}");
    }
}

// A gateway that has not entered itself yet is counted by nobody else.
#[test]
fn a_stranger_has_no_part() {
    let members = names(3);
    let all: Vec<_> = members.iter().collect();
    let own = "gateway-9".parse().unwrap();
    let senders = quota::Senders {
        own: &own,
        members: &all,
    };
    assert_eq!(
        senders.quota(&target(0), unit::Rate(13.0)),
        quota::Quota::NONE
    );
    assert_eq!(
        senders.quota(&target(0), unit::Rate(0.0)),
        quota::Quota::NONE
    );
}

// Callers press on a gateway for ten seconds while an engine is cold. In no second may more arrive
// there than its part, wherever the second begins; a count by fixed seconds lets twice as many
// through at their border.
#[tokio::test(start_paused = true)]
async fn no_second_has_more_than_the_part() {
    let gate = quota::Limiter::default();
    let start = Instant::now();
    let quota = quota::Quota {
        count: 3,
        span: time::Duration::from_millis(1100),
    };
    let until = start + time::Duration::from_secs(10);
    gate.set_bounds(quota::Bounds {
        cold: Some(quota::Bound::new(quota).until(until)),
        ..quota::Bounds::default()
    });
    let mut sent = collections::VecDeque::new();
    for _ in 0..1000 {
        let now = Instant::now();
        if now < until && gate.can_send(now) {
            gate.record_send(now);
            sent.push_back(now);
        }
        tokio::time::advance(time::Duration::from_millis(10)).await;
    }
    assert!(sent.len() >= 27, "{}", sent.len());
    for at in &sent {
        let second = *at..*at + time::Duration::from_secs(1);
        assert!(sent.iter().filter(|t| second.contains(t)).count() <= 3);
    }
    assert!(gate.can_send(Instant::now()), "it is warm again");
    assert!(!gate.is_limited(Instant::now()));
}

/// Span in which the requests that a target gets are counted, in milliseconds.
const SPAN: u64 = 4000;

/// Returns how many requests a target that names `rate` bears in one span.
fn borne(rate: f64) -> usize {
    (rate * 4.0 * 1.5 + 5.0) as usize
}

/// Who presses on a target that has named a limit.
#[derive(Clone, Copy, Debug)]
enum Spread {
    /// All members alike.
    Even,
    /// One alone.
    Single,
    /// Half of all requests at one member, the others each with a part of the rest.
    Skewed,
}

/// Members that were told of a limit, one after the other within two seconds.
struct Fleet {
    gates: Vec<(time::Duration, quota::Limiter)>,
    start: Instant,
    sent: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, rate: f64, rng: &mut StdRng) -> Self {
        let start = Instant::now();
        let members = names(count);
        let all: Vec<_> = members.iter().collect();
        let gate = |own| {
            let after = time::Duration::from_millis(rng.random_range(0..2000));
            let senders = quota::Senders { own, members: &all };
            let rate = unit::Rate(rate);
            let named = quota::Advertised {
                rate,
                since: start + after,
                confirmed: start + after,
                jitter: rng.random(),
            };
            let bound = senders.advertised_bound(&target(3), rate, &named);
            let gate = quota::Limiter::default();
            gate.set_bounds(quota::Bounds {
                advertised: Some(bound),
                ..quota::Bounds::default()
            });
            (after, gate)
        };
        Self {
            gates: members.iter().map(gate).collect(),
            start,
            sent: Vec::new(),
        }
    }

    /// Presses for a while and returns the most requests in one span.
    fn press(&mut self, spread: Spread, millis: u64, rng: &mut StdRng) -> usize {
        let busy = rng.random_range(0..self.gates.len());
        for at in (0..millis).step_by(20) {
            let now = self.start + time::Duration::from_millis(at);
            for (i, (told, gate)) in self.gates.iter().enumerate() {
                let presses = match spread {
                    Spread::Even => true,
                    Spread::Single => i == busy,
                    Spread::Skewed => i == busy || rng.random_ratio(1, 20),
                };
                if presses && now >= self.start + *told && gate.can_send(now) {
                    gate.record_send(now);
                    self.sent.push(at);
                }
            }
        }
        let until = |from: u64| self.sent.partition_point(|at| *at < from + SPAN);
        let sent = self.sent.iter().enumerate();
        sent.map(|(i, from)| until(*from) - i).max().unwrap_or(0)
    }
}

// Each gateway alone keeps to a limit that holds for all of them together.
#[rstest]
fn gateways_together_keep_to_a_limit(
    #[values(0.0, 0.1, 0.3, 1.0, 2.5, 7.5, 20.0, 150.0)] rate: f64,
    #[values(1, 2, 4, 5, 27, 103, 350)] members: usize,
    #[values(Spread::Even, Spread::Single, Spread::Skewed)] spread: Spread,
) {
    let mut rng = StdRng::seed_from_u64(members as u64);
    let mut fleet = Fleet::new(members, rate, &mut rng);
    let most = fleet.press(spread, 30_000, &mut rng);
    assert!(most <= borne(rate), "{most} in 4 s");
}

// What rounding leaves over is given to nobody, and a target in need stands idle.
#[rstest]
#[case(1, 1.0)]
#[case(1, 1.5)]
#[case(1, 2.75)]
#[case(4, 1.0)]
#[case(4, 1.5)]
#[case(4, 7.5)]
#[case(5, 20.0)]
#[case(27, 1.0)]
#[case(27, 20.0)]
#[case(103, 2.5)]
fn most_of_a_limit_is_used(#[case] members: usize, #[case] rate: f64) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut fleet = Fleet::new(members, rate, &mut rng);
    fleet.press(Spread::Even, 30_000, &mut rng);
    let used = fleet.sent.len() as f64 / 30.0 / rate;
    assert!(used >= 0.75, "{used}");
}

// A gateway without a part of a low limit never sends to the target again, long after its end.
#[rstest]
fn nobody_keeps_away_for_ever(#[values(0.0, 0.1, 1.0)] rate: f64) {
    let mut rng = StdRng::seed_from_u64(2);
    let mut fleet = Fleet::new(9, rate, &mut rng);
    fleet.press(Spread::Even, 400_000, &mut rng);
    let start = fleet.start;
    let late = start + time::Duration::from_secs(400);
    let waits = fleet.gates.iter().map(|(_, gate)| gate.wait_time(late));
    assert!(waits.max().unwrap() <= time::Duration::from_secs(160));
}

// Queues change their owner, and for a moment two processes call the same targets.
#[rstest]
fn two_owners_keep_to_a_limit_together(
    #[values(0.0, 0.3, 1.0, 2.5, 20.0)] rate: f64,
    #[values(true, false)] requests: bool,
) {
    let uses = quota::TrafficKinds {
        requests,
        calls: true,
    };
    let told = Instant::now();
    let owner = || {
        let gate = quota::Limiter::default();
        let bound = quota::Bound::for_calls(uses.call_rate(unit::Rate(rate)), told);
        gate.set_bounds(quota::Bounds {
            advertised: Some(bound),
            ..quota::Bounds::default()
        });
        (time::Duration::ZERO, gate)
    };
    let mut rng = StdRng::seed_from_u64(3);
    let mut fleet = Fleet {
        gates: vec![owner(), owner()],
        start: told,
        sent: Vec::new(),
    };
    let calls = fleet.press(Spread::Even, 30_000, &mut rng);
    let part = if requests { rate / 2.0 } else { 0.0 };
    let mut others = Fleet::new(27, part, &mut rng);
    let requests = others.press(Spread::Even, 30_000, &mut rng);
    assert!(calls + requests <= borne(rate), "{calls} and {requests}");
}

/// An answer or a word of another process, some time after the one before.
#[derive(Clone, Debug)]
enum Event {
    Answer {
        limit: Option<u32>,
        own: bool,
        flight: u64,
    },
    Told {
        limit: Option<u32>,
        age: u64,
    },
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let limit = prop::option::of(0u32..4);
    let answer = (limit.clone(), any::<bool>(), 0u64..500)
        .prop_map(|(limit, own, flight)| Event::Answer { limit, own, flight });
    let told = (limit, 0u64..500).prop_map(|(limit, age)| Event::Told { limit, age });
    (0u64..200, prop_oneof![answer, told])
}

proptest! {
    // Answers overtake each other and words of others come late. What was true last is known, and a
    // limit ends by nothing older than the last answer that named it.
    #[test]
    fn what_was_true_last_is_known(events in prop::collection::vec(event(), 1..40)) {
        let start = Instant::now() + time::Duration::from_secs(10);
        let mut now = start;
        let mut heard = quota::TargetLimit::default();
        for (pause, event) in events {
            now += time::Duration::from_millis(pause);
            let before = heard;
            let (limit, since) = match event {
                Event::Answer { limit, own, flight } => {
                    let sent = now - time::Duration::from_millis(flight);
                    let rate = |limit| quota::Limit::Named(unit::Rate(f64::from(limit)));
                    let limit = limit.map_or(quota::Limit::None, rate);
                    heard.record_answer(quota::Observation { limit, trusted: own, sent }, 0.5, now);
                    prop_assert!(own || heard.advertised().is_some() || before.advertised().is_none());
                    (limit, sent)
                }
                Event::Told { limit, age } => {
                    let at = now - time::Duration::from_millis(age);
                    let rate = limit.map(|limit| unit::Rate(f64::from(limit)));
                    heard.merge(rate, at, 0.5);
                    (rate.map_or(quota::Limit::None, quota::Limit::Named), at)
                }
            };
            if let (Some(named), None) = (before.advertised(), heard.advertised()) {
                prop_assert!(since > named.confirmed && limit == quota::Limit::None);
            }
            if heard.limit() != before.limit() {
                prop_assert_eq!(heard.limit(), limit);
            }
            prop_assert!(heard.confirmed_at() >= before.confirmed_at());
        }
    }

    // A target names any number, to any number of members. Quotas are counted, not computed to
    // nonsense, and all members together have no more than the limit over the longest span.
    #[test]
    fn any_rate_can_be_shared(rate in prop_oneof![0.0..1e-9, 0.0..1e3, Just(f64::MAX)], count in 1usize..40) {
        let members = names(count);
        let all: Vec<_> = members.iter().collect();
        let at = Instant::now();
        let rate = unit::Rate(rate);
        let named = quota::Advertised { rate, since: at, confirmed: at, jitter: 1.0 };
        let part = |own| {
            let senders = quota::Senders { own, members: &all };
            senders.advertised_bound(&target(1), rate, &named)
        };
        let parts = members.iter().map(part).filter(|bound| bound.from.is_none());
        let sum: f64 = parts.map(|bound| bound.quota.rate()).sum();
        prop_assert!(sum <= rate.0 * (1.0 + 1e-6), "{sum}");
    }
}
