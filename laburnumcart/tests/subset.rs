//! Subsets are limited in size, prefer local targets and change little.

use laburnumcart::{
    id,
    subset, //
};
use proptest::prelude::*;
use rstest::rstest;

fn names(count: usize) -> Vec<id::TargetName> {
    (0..count)
        .map(|i| format!("t{i}").parse().unwrap())
        .collect()
}

fn data_centres() -> Vec<id::DataCentre> {
    ["a", "b", "c", "d"]
        .iter()
        .map(|z| z.parse().unwrap())
        .collect()
}

fn members<'a>(
    names: &'a [id::TargetName],
    data_centres: &'a [id::DataCentre],
) -> Vec<subset::Member<'a>> {
    let members = names.iter().enumerate();
    members
        .map(|(i, name)| subset::Member {
            name,
            data_centre: &data_centres[i % data_centres.len()],
        })
        .collect()
}

proptest! {
    #[test]
    fn removal_changes_at_most_one_member(count in 1usize..80, size in 0usize..30, gone: usize) {
        let (names, data_centres) = (names(count), data_centres());
        let all = members(&names, &data_centres);
        let own: id::InstanceName = "entry-1".parse().unwrap();
        let before = subset::choose(&own, &data_centres[0], all.clone(), size);
        prop_assert_eq!(before.len(), size.min(count));

        let mut shuffled = all.clone();
        shuffled.reverse();
        prop_assert_eq!(&subset::choose(&own, &data_centres[0], shuffled.clone(), size), &before);

        let removed = shuffled.remove(gone % count);
        let after = subset::choose(&own, &data_centres[0], shuffled, size);
        let lost: Vec<_> = before.iter().filter(|m| !after.contains(m)).collect();
        prop_assert!(lost.iter().all(|m| **m == removed));
    }

    #[test]
    fn a_quarter_is_remote(count in 32usize..80, size in 4usize..8) {
        let (names, data_centres) = (names(count), data_centres());
        let own: id::InstanceName = "entry-1".parse().unwrap();
        let chosen = subset::choose(&own, &data_centres[0], members(&names, &data_centres), size);
        let local = chosen.iter().filter(|m| m.data_centre == &data_centres[0]).count();
        prop_assert_eq!(local, size - size / 4);
    }
}

/// A target chosen by only a few entries would be idle whenever these have little traffic.
#[test]
fn targets_are_spread_over_entries() {
    let (names, data_centres) = (names(167), data_centres());
    let all = members(&names, &data_centres);
    let mut counts = std::collections::HashMap::new();
    for i in 0..350 {
        let own: id::InstanceName = format!("entry-{i}").parse().unwrap();
        for member in subset::choose(&own, &data_centres[i % 4], all.clone(), 16) {
            *counts.entry(member.name).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 167);
    assert!(*counts.values().min().unwrap() >= 33 / 3, "{counts:?}");
}

/// With equal rates per service, targets of a large one could be in no entry's subset and idle.
#[rstest]
#[case(&[10, 3, 4, 5, 5, 3, 3, 3], 10)]
#[case(&[3, 3, 10, 10], 10)]
#[case(&[100, 3, 3], 69)]
#[case(&[100, 100, 3], 36)]
#[case(&[], 0)]
fn small_services_leave_unused_rate_to_large_ones(
    #[case] counts: &[usize],
    #[case] expected: usize,
) {
    let period = std::time::Duration::from_secs(2);
    let size = subset::size(23_000, period, counts.iter().copied());
    assert_eq!(size, expected);
    let kept: usize = counts.iter().map(|count| size.min(*count)).sum();
    assert!(kept as u64 * subset::EXCHANGE_BYTES <= 2 * 23_000);
}
