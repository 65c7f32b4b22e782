//! Choice of the processes that read for the others.

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
    places: Vec<id::DataCentre>,
}

impl Fleet {
    fn new(count: usize, places: usize) -> Self {
        let name = |i| format!("gateway-{i}").parse().unwrap();
        let place = |i| format!("place-{}", i % places).parse().unwrap();
        Self {
            names: (0..count).map(name).collect(),
            places: (0..count).map(place).collect(),
        }
    }

    fn members(&self) -> Vec<readers::Member<'_>> {
        let pairs = self.names.iter().zip(&self.places);
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
fn readers_are_in_different_data_centres_as_far_as_these_go() {
    for (count, places, expected) in [(103, 5, 3), (350, 4, 4), (9, 2, 2)] {
        let fleet = Fleet::new(count, places);
        let readers = readers::choose(fleet.members());
        let places: collections::HashSet<_> = readers.iter().map(|r| r.data_centre).collect();
        assert_eq!(places.len(), expected);
    }
}

// A reader is gone. All others go on to ask the ones that they know, and one more takes its part; if
// the loss of one moved all, the whole fleet would ask anew in one moment.
#[test]
fn the_loss_of_a_reader_adds_one_and_keeps_the_rest() {
    let fleet = Fleet::new(103, 1);
    let before = readers::choose(fleet.members());
    let mut members = fleet.members();
    members.retain(|member| member.name != before[0].name);
    let after = readers::choose(members);
    assert_eq!(names(&after)[..2], names(&before)[1..]);
    assert_eq!(after.len(), before.len());
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let fleet = Fleet::new(60, 4);
    let mut members = fleet.members();
    members.reverse();
    assert_eq!(
        names(&readers::choose(members)),
        names(&readers::choose(fleet.members()))
    );
}

#[test]
fn weak_instances_do_not_read_while_there_are_others() {
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
fn readers_get_about_equal_parts_of_the_fleet() {
    let fleet = Fleet::new(300, 1);
    let readers = readers::choose(fleet.members());
    let mut asked = collections::HashMap::new();
    for member in fleet.members() {
        let mut readers = readers.clone();
        readers::sort_by_proximity(&mut readers, member.name, member.data_centre);
        *asked.entry(readers[0].name).or_insert(0) += 1;
    }
    assert_eq!(asked.len(), readers.len());
    // 300 members of 8 readers: 37 on average.
    assert!(
        asked.values().all(|count| (18..=60).contains(count)),
        "{asked:?}"
    );
}

#[test]
fn a_reader_of_the_own_data_centre_is_asked_first() {
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

// The service turns a reader away and serves others. The reader asks these, and tries again only now
// and then: each refusal is paid for.
#[test]
fn a_reader_that_is_turned_away_tries_again_later() {
    let start = Instant::now();
    let mut standing = readers::Health::default();
    assert!(standing.can_call_first(start));
    standing.record_success(start);
    assert!(standing.can_call_first(start));
    standing.record_failure(after(start, 100));
    assert!(standing.is_failing());
    assert!(!standing.can_call_first(after(start, 2000)));
    assert!(standing.can_call_first(after(start, 2100)));
    standing.record_success(after(start, 2110));
    assert!(!standing.is_failing());
    assert!(standing.can_call_first(after(start, 2110)));
}

// The service is down for all. The hundred processes that do not read try it every two to six seconds,
// not in one moment; one that is answered goes on by itself.
#[test]
fn tries_of_those_that_do_not_read_are_spread() {
    let start = Instant::now();
    let mut standing = readers::Health::default();
    assert!(standing.can_probe(0.5, start), "it has not tried yet");
    standing.record_failure(start);
    let tries = |millis| {
        let draws = (0..100).map(|i| f64::from(i) / 100.0);
        let may_try = |draw: &f64| standing.can_probe(*draw, after(start, millis));
        draws.filter(may_try).count()
    };
    assert_eq!([1900, 4000, 6000].map(tries), [0, 51, 100]);
    assert!(!standing.can_call(after(start, 10)));
    standing.record_success(after(start, 4000));
    assert!(standing.can_call(after(start, 8900)));
    assert!(!standing.can_call(after(start, 9100)));
    // One failure ends it: what was answered a moment ago is down for this process too.
    standing.record_failure(after(start, 4100));
    assert!(!standing.can_call(after(start, 4200)));
}
