//! Tests of the choice of readers and of their view of the shared service.

use std::{
    collections,
    time, //
};

use tokio::time::Instant;

use laburnumcart::{
    id,
    readers, //
};

struct Fleet {
    names: Vec<id::InstanceName>,
    data_centres: Vec<id::DataCentre>,
}

impl Fleet {
    fn new(count: usize, data_centre_count: usize) -> Self {
        let name = |i| format!("gateway-{i}").parse().unwrap();
        let data_centre = |i| format!("place-{}", i % data_centre_count).parse().unwrap();
        Self {
            names: (0..count).map(name).collect(),
            data_centres: (0..count).map(data_centre).collect(),
        }
    }

    fn members(&self) -> Vec<readers::Member<'_>> {
        let pairs = self.names.iter().zip(&self.data_centres);
        let member = |(name, data_centre)| readers::Member {
            name,
            data_centre,
            cores: 0.2,
        };
        pairs.map(member).collect()
    }
}

fn names<'a>(members: &[readers::Member<'a>]) -> Vec<&'a id::InstanceName> {
    members.iter().map(|member| member.name).collect()
}

#[test]
fn readers_grow_slowly_with_the_fleet() {
    let counts = [0, 1, 2, 5, 27, 103, 350].map(readers::reader_count);
    assert_eq!(counts, [0, 1, 2, 2, 2, 3, 9]);
}

#[test]
fn readers_are_spread_over_data_centres() {
    for (count, places, expected) in [(103, 5, 3), (350, 4, 4), (9, 2, 2)] {
        let fleet = Fleet::new(count, places);
        let readers = readers::choose(fleet.members());
        let places: collections::HashSet<_> = readers.iter().map(|r| r.data_centre).collect();
        assert_eq!(places.len(), expected);
    }
}

// If the loss of one reader replaced all, the whole fleet would ask the new ones at the same time.
#[test]
fn a_lost_reader_is_replaced_and_the_others_stay() {
    let fleet = Fleet::new(103, 1);
    let before = readers::choose(fleet.members());
    let mut members = fleet.members();
    members.retain(|member| member.name != before[0].name);
    let after = readers::choose(members);
    assert_eq!(names(&after)[..2], names(&before)[1..]);
    assert_eq!(after.len(), before.len());
}

#[test]
fn the_choice_does_not_depend_on_the_order_of_the_members() {
    let fleet = Fleet::new(60, 4);
    let mut members = fleet.members();
    members.reverse();
    assert_eq!(
        names(&readers::choose(members)),
        names(&readers::choose(fleet.members()))
    );
}

#[test]
fn weak_instances_are_not_readers_while_there_are_strong_ones() {
    let fleet = Fleet::new(60, 4);
    let mut members = fleet.members();
    for member in &mut members[..50] {
        member.cores = 0.09;
    }
    let strong: collections::HashSet<_> = names(&members[50..]).into_iter().collect();
    let readers = readers::choose(members);
    assert!(names(&readers).iter().all(|name| strong.contains(name)));
}

#[test]
fn the_fleet_is_spread_evenly_over_the_readers() {
    let fleet = Fleet::new(300, 1);
    let readers = readers::choose(fleet.members());
    let mut asked = collections::HashMap::new();
    for member in fleet.members() {
        let mut readers = readers.clone();
        readers::sort_by_proximity(&mut readers, member.name, member.data_centre);
        *asked.entry(readers[0].name).or_insert(0) += 1;
    }
    assert_eq!(asked.len(), readers.len());
    // 300 members and 8 readers: 37 members per reader on average.
    assert!(
        asked.values().all(|count| (18..=60).contains(count)),
        "{asked:?}"
    );
}

#[test]
fn a_reader_in_the_same_data_centre_is_asked_first() {
    let fleet = Fleet::new(103, 3);
    for member in fleet.members() {
        let mut readers = readers::choose(fleet.members());
        readers::sort_by_proximity(&mut readers, member.name, member.data_centre);
        assert_eq!(readers[0].data_centre, member.data_centre);
    }
}

fn after(start: Instant, millis: u64) -> Instant {
    start + time::Duration::from_millis(millis)
}

// Each call that the service refuses is billed, while other processes can answer.
#[test]
fn a_refused_reader_retries_after_a_pause() {
    let start = Instant::now();
    let mut health = readers::Health::default();
    assert!(health.can_call_first(start));
    health.record_success(start);
    assert!(health.can_call_first(start));
    health.record_failure(after(start, 100));
    assert!(health.is_failing());
    assert!(!health.can_call_first(after(start, 2000)));
    assert!(health.can_call_first(after(start, 2100)));
    health.record_success(after(start, 2110));
    assert!(!health.is_failing());
    assert!(health.can_call_first(after(start, 2110)));
}

// During an outage of the service, its probes by a hundred processes must not coincide.
#[test]
fn probes_of_other_processes_are_spread_over_time() {
    let start = Instant::now();
    let mut health = readers::Health::default();
    assert!(health.can_probe(100, 0.5, start), "no call was made yet");
    health.record_failure(start);
    let probes = |millis| {
        let jitters = (0..100).map(|i| f64::from(i) / 100.0);
        let can_probe = |jitter: &f64| health.can_probe(100, *jitter, after(start, millis));
        jitters.filter(can_probe).count()
    };
    assert_eq!([1900, 4000, 6000].map(probes), [0, 51, 100]);
    assert!(!health.can_wait(after(start, 10)));
    health.record_success(after(start, 4000));
    assert!(health.can_wait(after(start, 8900)));
    assert!(!health.can_wait(after(start, 9100)));
    // A failure right after a success means that the service is down for this process too.
    health.record_failure(after(start, 4100));
    assert!(!health.can_wait(after(start, 4200)));
}
