//! Admission control shares an entry among teams.

use std::time;

use laburnumcart::{
    admission,
    bundle::Priority,
    verdict::{
        Reason,
        Verdict, //
    },
};
use proptest::prelude::*;
use rand::SeedableRng;
use rstest::rstest;
use tokio::time::Instant;

fn rng() -> rand::rngs::StdRng {
    rand::rngs::StdRng::seed_from_u64(7)
}

/// Admits requests until one is refused; returns the number admitted.
fn fill(
    admission: &mut admission::Controller,
    team: admission::TeamKey,
    priority: Priority,
    now: Instant,
) -> u32 {
    let mut rng = rng();
    (0..)
        .take_while(|_| admission.admit(team, priority, now, &mut rng).is_ok())
        .count() as u32
}

proptest! {
    #[test]
    fn requests_within_share_are_admitted_and_total_is_limited(
        steps in prop::collection::vec((0usize..4, any::<bool>()), 1..2000),
    ) {
        let now = Instant::now();
        let mut rng = rng();
        let mut admission = admission::Controller::new(now);
        let teams: Vec<_> = (1..=4).map(|w| admission.add_team(w)).collect();
        let mut in_flight = [0u32; 4];
        for (i, start) in steps {
            let guaranteed = admission.capacity() * (i as u32 + 1) / 10;
            if start {
                let admitted = admission.admit(teams[i], Priority::Low, now, &mut rng).is_ok();
                prop_assert!(admitted || in_flight[i] >= guaranteed);
                in_flight[i] += u32::from(admitted);
            } else if in_flight[i] > 0 {
                admission.finish(teams[i], admission::Outcome::Done, now);
                in_flight[i] -= 1;
            }
            prop_assert_eq!(admission.in_flight(), in_flight.iter().sum::<u32>());
            prop_assert!(admission.in_flight() <= 2 * admission.capacity());
        }
    }
}

#[rstest]
#[case(Priority::High, 256)]
#[case(Priority::Normal, 231)]
#[case(Priority::Low, 192)]
fn lower_priorities_borrow_less(#[case] priority: Priority, #[case] admitted: u32) {
    let now = Instant::now();
    let mut admission = admission::Controller::new(now);
    let (flood, calm) = (admission.add_team(1), admission.add_team(1));
    admission.admit(calm, priority, now, &mut rng()).unwrap();
    assert_eq!(fill(&mut admission, flood, priority, now) + 1, admitted);
}

/// A flood of one team has borrowed the whole capacity before another team sends requests.
#[test]
fn share_is_granted_although_it_is_lent() {
    let now = Instant::now();
    let mut admission = admission::Controller::new(now);
    let (flood, calm) = (admission.add_team(1), admission.add_team(3));
    assert_eq!(fill(&mut admission, flood, Priority::High, now), 256);
    assert_eq!(fill(&mut admission, calm, Priority::Low, now), 192);
}

/// Refusals of a flooding team must neither reduce the capacity for others nor outlast the flood.
#[test]
fn refusals_for_share_limit_only_their_team() {
    let mut now = Instant::now();
    let mut admission = admission::Controller::new(now);
    let (flood, calm) = (admission.add_team(1), admission.add_team(1));
    let before = admission.capacity();
    let refused = admission::Outcome::Refused(Reason::OverShare);
    for _ in 0..40 {
        now += time::Duration::from_secs(1);
        for _ in 0..fill(&mut admission, flood, Priority::High, now) {
            admission.finish(flood, refused, now);
        }
    }
    let limited = fill(&mut admission, flood, Priority::High, now);
    assert!(limited <= 2);
    let refusal = admission
        .admit(flood, Priority::High, now, &mut rng())
        .unwrap_err();
    assert_eq!(
        (refusal.verdict, refusal.reason),
        (Verdict::NotRun, Reason::OverShare)
    );
    assert!(refusal.retry.is_some());
    assert_eq!(admission.capacity(), before);
    assert!(fill(&mut admission, calm, Priority::High, now) >= before / 2);
    for _ in 0..limited {
        admission.finish(flood, admission::Outcome::Done, now);
    }
    // Once the flood has ended, the team is admitted again.
    for _ in 0..100_000 {
        if admission
            .admit(flood, Priority::High, now, &mut rng())
            .is_ok()
        {
            admission.finish(flood, admission::Outcome::Done, now);
        }
        admission.finish(calm, admission::Outcome::Done, now);
    }
    assert!(fill(&mut admission, flood, Priority::High, now) >= before / 2);
}

/// Each burst of overload refusals lowers the capacity once; saturation raises it again.
#[test]
fn capacity_follows_overload() {
    let mut now = Instant::now();
    let mut admission = admission::Controller::new(now);
    let team = admission.add_team(1);
    let overload = admission::Outcome::Refused(Reason::Overloaded);
    fill(&mut admission, team, Priority::High, now);
    // Refusals at the same time are one burst.
    for _ in 0..100 {
        admission.finish(team, overload, now);
    }
    assert_eq!(admission.capacity(), 204);
    // One burst per second lowers the capacity to its minimum.
    for _ in 0..100 {
        now += time::Duration::from_secs(1);
        fill(&mut admission, team, Priority::High, now);
        admission.finish(team, overload, now);
    }
    assert_eq!(admission.capacity(), 8);
    while admission.in_flight() > 8 {
        admission.finish(team, admission::Outcome::Done, now);
    }
    for _ in 0..1000 {
        fill(&mut admission, team, Priority::High, now);
        admission.finish(team, admission::Outcome::Done, now);
    }
    assert!(admission.capacity() > 50);
}
