//! Tests of the shares, bounds and order of the fair queue.

use std::time;

use laburnumcart::{
    bundle::Priority,
    fair,
    verdict, //
};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

fn request(now: Instant, priority: Priority, millis: u64) -> fair::Request<u64> {
    fair::Request {
        priority,
        deadline: now + time::Duration::from_millis(millis),
        cost: 1,
        value: millis,
    }
}

proptest! {
    #[test]
    fn shares_converge_to_weights(
        weights in prop::collection::vec(1u32..20, 2..6),
        levels in prop::collection::vec(0usize..3, 6),
    ) {
        let now = Instant::now();
        let mut queue = fair::Queue::new(usize::MAX);
        let levels = levels.iter().map(|l| [Priority::High, Priority::Normal, Priority::Low][*l]);
        let teams: Vec<_> = weights
            .iter()
            .zip(levels)
            .map(|(w, level)| (queue.add_team(*w, usize::MAX), *w, level))
            .collect();
        let total: u32 = weights.iter().sum();
        // Each team always has waiting work, so each must get its share up to the lead.
        let rounds = 100 * total;
        let mut served = vec![0u32; teams.len()];
        for (team, _, level) in &teams {
            queue.push(*team, request(now, *level, 10_000));
        }
        for _ in 0..rounds {
            let popped = queue.pop(now).unwrap();
            let i = teams.iter().position(|(t, ..)| *t == popped.team).unwrap();
            served[i] += 1;
            queue.push(popped.team, popped.request);
        }
        for (i, weight) in weights.iter().enumerate() {
            let wanted = 100.0 * f64::from(*weight);
            // The lead of two steps of priority is 16 units of cost at mean weight.
            let mean = f64::from(total) / weights.len() as f64;
            let slack = 16.0 * f64::from(*weight) / mean + f64::from(*weight) + 2.0;
            prop_assert!((f64::from(served[i]) - wanted).abs() <= slack, "{served:?} {weights:?}");
        }
    }

    #[test]
    fn bounds_hold_and_the_queue_is_work_conserving(
        steps in prop::collection::vec((0usize..4, 0u8..5, 1u64..500), 1..300),
    ) {
        let now = Instant::now();
        let mut queue = fair::Queue::new(20);
        let teams: Vec<_> = (1..=4).map(|w| queue.add_team(w, 8)).collect();
        let (mut pushed, mut out) = (0, 0);
        for (i, (team, step, millis)) in steps.iter().enumerate() {
            let now = now + time::Duration::from_millis(i as u64);
            if *step == 0 {
                let before = queue.len();
                let popped = queue.pop(now);
                out += usize::from(popped.is_some());
                prop_assert!(popped.is_some() || queue.is_empty());
                prop_assert!(popped.is_none_or(|p| p.request.deadline > now));
                prop_assert!(queue.len() <= before);
            } else {
                let level = [Priority::High, Priority::Normal, Priority::Low][*step as usize % 3];
                pushed += 1;
                out += usize::from(queue.push(teams[*team], request(now, level, *millis)).dropped.is_some());
            }
            out += queue.take_expired().len();
            prop_assert!(queue.len() <= 20);
            prop_assert!(teams.iter().all(|t| queue.team_len(*t) <= 8));
            // No entry is lost or duplicated.
            prop_assert_eq!(pushed, out + queue.len());
        }
    }
}

// A flood of urgent work may go before another team's entry only by the fixed lead.
#[test]
fn a_flood_of_urgent_work_starves_no_team() {
    let now = Instant::now();
    let mut queue = fair::Queue::new(1000);
    let (flood, calm) = (queue.add_team(1, 1000), queue.add_team(1, 1000));
    for _ in 0..100 {
        queue.push(flood, request(now, Priority::High, 1000));
    }
    queue.push(calm, request(now, Priority::Low, 5000));
    let position = (0..101).position(|_| queue.pop(now).unwrap().team == calm);
    assert!(position.unwrap() <= 17, "{position:?}");
}

// A team with one request at a time must keep its lag behind an urgent team while it has no entry.
#[test]
fn a_team_with_single_requests_gets_its_share() {
    let now = Instant::now();
    let mut queue = fair::Queue::new(1000);
    let (urgent, ordinary) = (queue.add_team(1, 500), queue.add_team(1, 500));
    for _ in 0..300 {
        queue.push(urgent, request(now, Priority::High, 1000));
    }
    queue.push(ordinary, request(now, Priority::Normal, 1000));
    let mut served = 0;
    for _ in 0..100 {
        if queue.pop(now).unwrap().team == ordinary {
            served += 1;
            assert_eq!(queue.pop(now).unwrap().team, urgent);
            queue.push(ordinary, request(now, Priority::Normal, 1000));
        }
    }
    assert!(served >= 40, "{served}");
}

#[test]
fn an_idle_team_accumulates_no_credit() {
    let now = Instant::now();
    let mut queue = fair::Queue::new(1000);
    let (busy, idle) = (queue.add_team(1, 500), queue.add_team(1, 500));
    for _ in 0..200 {
        queue.push(busy, request(now, Priority::Normal, 1000));
    }
    for _ in 0..100 {
        assert_eq!(queue.pop(now).unwrap().team, busy);
    }
    for _ in 0..100 {
        queue.push(idle, request(now, Priority::Normal, 1000));
    }
    let busy_served = (0..20)
        .filter(|_| queue.pop(now).unwrap().team == busy)
        .count();
    assert!((9..=11).contains(&busy_served), "{busy_served}");
}

// A burst of one team must not keep out another one that is below its share.
#[test]
fn a_full_queue_sheds_the_least_important_entry_of_the_largest_team() {
    let now = Instant::now();
    let mut queue = fair::Queue::new(4);
    let (large, small) = (queue.add_team(1, 10), queue.add_team(1, 10));
    for (level, millis) in [
        (Priority::High, 900),
        (Priority::Low, 50),
        (Priority::Low, 70),
    ] {
        queue.push(large, request(now, level, millis));
    }
    queue.push(large, request(now, Priority::Normal, 100));
    let pushed = queue.push(small, request(now, Priority::Low, 999));
    let dropped = pushed.dropped.unwrap();
    assert_eq!((dropped.team, dropped.request.value), (large, 70));
    assert_eq!(
        dropped.refusal,
        verdict::Refusal::not_run(verdict::Reason::Overloaded)
    );
}

#[rstest]
#[case::same_priority(Priority::Normal, 300, Priority::Normal, 200, 200)]
#[case::priority_first(Priority::Low, 200, Priority::High, 300, 300)]
#[case::old_low_before_new_high(Priority::Low, 200, Priority::High, 3000, 200)]
fn order_within_a_team(
    #[case] one: Priority,
    #[case] one_millis: u64,
    #[case] two: Priority,
    #[case] two_millis: u64,
    #[case] first: u64,
) {
    let now = Instant::now();
    let mut queue = fair::Queue::new(10);
    let team = queue.add_team(1, 10);
    queue.push(team, request(now, one, one_millis));
    queue.push(team, request(now, two, two_millis));
    assert_eq!(queue.pop(now).unwrap().request.value, first);
}
