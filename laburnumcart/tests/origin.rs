//! Origins of streams: who may go on, who keeps them, and what is known without a record.

use std::time;

use laburnumcart::{
    freshness::BootTime,
    id,
    origin::{
        Origin,
        evidence::{
            Decision,
            Evidence, //
        },
        history::{
            Coverage,
            History,
            Known,
            Summary, //
        },
        homes,
        records::{
            self,
            Begun,
            Records, //
        },
        usage::Possible, //
    },
    rendezvous,
    unit, //
};
use rstest::rstest;

fn version(text: &str) -> id::SoftwareVersion {
    text.parse().unwrap()
}

fn origin(service: &str, text: Option<&str>, target: &str) -> Origin {
    Origin {
        service: service.parse().unwrap(),
        version: text.map(version),
        target: Some(id::TargetLife {
            name: target.parse().unwrap(),
            life: id::Life(1),
        }),
    }
}

fn at(secs: u64) -> BootTime {
    BootTime(time::Duration::from_secs(secs))
}

fn begun(stream: u128) -> Begun {
    Begun {
        stream: id::Fingerprint(stream),
        origin: origin("desk", Some("v1"), "i-1"),
        age: unit::Period::default(),
    }
}

#[rstest]
#[case::same_version(origin("desk", Some("v1"), "i-2"), true)]
#[case::other_version(origin("desk", Some("v1.0"), "i-1"), false)]
#[case::other_service(origin("hall", Some("v1"), "i-1"), false)]
#[case::version_no_longer_stated(origin("desk", None, "i-1"), true)]
#[case::version_not_stated(origin("desk", None, "i-2"), false)]
fn a_target_of_the_same_version_goes_on(#[case] candidate: Origin, #[case] allowed: bool) {
    let own = origin("desk", Some("v1"), "i-1");
    assert_eq!(own.allows(&candidate), allowed);
}

#[test]
fn versions_that_are_not_stated_differ() {
    let own = origin("desk", None, "i-1");
    assert!(own.allows(&origin("desk", None, "i-1")));
    assert!(!own.allows(&origin("desk", None, "i-2")));
}

#[test]
fn a_record_expires_by_the_age_of_its_stream() {
    let mut records = Records::default();
    let half = unit::Period(records::RETENTION / 2);
    records.insert(
        Begun {
            age: half,
            ..begun(1)
        },
        at(100),
    );
    let before = at(100 + records::RETENTION.as_secs() / 2 - 1);
    assert_eq!(
        records.find(id::Fingerprint(1), before).unwrap().origin,
        begun(1).origin
    );
    let after = at(100 + records::RETENTION.as_secs() / 2);
    assert_eq!(records.find(id::Fingerprint(1), after), None);
}

#[test]
fn the_first_record_of_a_stream_stays() {
    let mut records = Records::default();
    records.insert(begun(1), at(100));
    let other = Begun {
        origin: origin("desk", Some("v2"), "i-2"),
        ..begun(1)
    };
    records.insert(other, at(101));
    let found = records.find(id::Fingerprint(1), at(101)).unwrap();
    assert_eq!(found.origin, begun(1).origin);
}

#[test]
fn records_are_bounded() {
    let mut records = Records::default();
    for stream in 0..20_000 {
        records.insert(begun(stream), at(100));
    }
    assert!(records.len() < 17_000);
    assert_eq!(records.find(id::Fingerprint(0), at(100)), None);
    assert!(records.find(id::Fingerprint(19_999), at(100)).is_some());
}

fn listing(history: &mut History, versions: &[Option<&str>], now: BootTime) {
    let service: id::ServiceName = "desk".parse().unwrap();
    let versions: Vec<_> = versions.iter().map(|v| v.map(version)).collect();
    history.record_listing(versions.iter().map(|v| (&service, v)), now);
}

fn desk() -> id::ServiceName {
    "desk".parse().unwrap()
}

fn known(history: &History, now: BootTime) -> Known {
    history.known(&desk(), now)
}

#[test]
fn a_process_that_has_just_started_does_not_know_the_versions() {
    let mut history = History::default();
    listing(&mut history, &[Some("v1")], at(100));
    assert_eq!(known(&history, at(100)), Known::Unknown);
    assert!(history.needs_peers(at(100)));
    let told = Summary {
        coverage: Coverage::Complete,
        listed_ms: Some(0),
        ..Summary::default()
    };
    history.merge(&told, at(101));
    assert_eq!(known(&history, at(101)), Known::Sole(version("v1")));
    // Others may have written the note that lacks the version here.
    assert!(history.needs_peers(at(101)));
    history.add_noted(&desk(), &[Some(version("v1"))], at(101));
    assert!(!history.needs_peers(at(101)));
}

/// Returns what a process knows that reads a note with some versions at its start, and then finds
/// others listed.
fn restarted(noted: Option<&[&str]>, listed: &[Option<&str>]) -> Known {
    let mut history = History::default();
    if let Some(noted) = noted {
        let noted: Vec<_> = noted.iter().map(|v| Some(version(v))).collect();
        history.add_noted(&desk(), &noted, at(100));
    }
    listing(&mut history, listed, at(100));
    known(&history, at(100))
}

// All processes were killed, and streams began at a version that has left before they start again.
#[rstest]
#[case::without_a_note(None, &[Some("v2")], Known::Unknown)]
#[case::the_same(Some(&["v1"][..]), &[Some("v1")], Known::Sole(version("v1")))]
#[case::replaced(Some(&["v1"][..]), &[Some("v2")], Known::Several)]
#[case::replaced_in_part(Some(&["v1"][..]), &[Some("v1"), Some("v2")], Known::Several)]
#[case::rolled_back(Some(&["v1", "v2"][..]), &[Some("v1")], Known::Several)]
#[case::not_stated(Some(&["v1"][..]), &[None], Known::Several)]
fn a_process_that_starts_alone_knows_the_versions_by_their_note(
    #[case] noted: Option<&[&str]>,
    #[case] listed: &[Option<&str>],
    #[case] expected: Known,
) {
    assert_eq!(restarted(noted, listed), expected);
}

// A version that another process has just noted is dropped by one whose list is behind.
#[test]
fn a_note_loses_only_versions_that_have_gone_for_long() {
    let mut history = History::default();
    for second in 0..100 {
        listing(&mut history, &[Some("v1")], at(second));
    }
    history.add_noted(&desk(), &[Some(version("v1"))], at(99));
    assert_eq!(history.corrections(at(99)), []);
    history.add_noted(&desk(), &[Some(version("v2"))], at(99));
    assert_eq!(history.corrections(at(99)), []);
    assert_eq!(known(&history, at(99)), Known::Several);
    for second in 100..160 {
        listing(&mut history, &[Some("v1")], at(second));
    }
    let corrections = history.corrections(at(159));
    assert_eq!(corrections.len(), 1);
    assert_eq!(corrections[0].gone, [Some(version("v2"))]);
    assert_eq!(corrections[0].missing, []);
}

// Streams begin at a version that no note names, and all processes are killed.
#[test]
fn a_version_gets_new_streams_once_it_is_noted() {
    let mut history = History::default();
    history.add_noted(&desk(), &[Some(version("v1"))], at(100));
    listing(&mut history, &[Some("v1"), Some("v2")], at(100));
    assert_eq!(history.not_noted(&desk()), [version("v2")]);
    history.add_noted(&desk(), &[Some(version("v2"))], at(100));
    assert_eq!(history.not_noted(&desk()), []);
}

#[test]
fn a_version_that_has_gone_counts_while_its_streams_can_last() {
    let mut history = History::default();
    history.merge(
        &Summary {
            coverage: Coverage::Complete,
            listed_ms: Some(0),
            ..Summary::default()
        },
        at(100),
    );
    listing(&mut history, &[Some("v1"), Some("v2")], at(100));
    assert_eq!(known(&history, at(100)), Known::Several);
    for second in 101..160 {
        listing(&mut history, &[Some("v2")], at(second));
        assert_eq!(known(&history, at(second)), Known::Several);
    }
    listing(&mut history, &[Some("v2")], at(160));
    assert_eq!(known(&history, at(160)), Known::Sole(version("v2")));
}

#[test]
fn what_was_listed_is_told_to_a_process_that_starts() {
    let mut old = History::default();
    listing(&mut old, &[Some("v1")], at(0));
    for second in 1..100 {
        listing(&mut old, &[Some("v1")], at(second));
    }
    listing(&mut old, &[Some("v2")], at(100));
    let mut new = History::default();
    listing(&mut new, &[Some("v2")], at(101));
    new.merge(&old.summary(at(101)), at(101));
    assert_eq!(known(&new, at(101)), Known::Several);
}

#[test]
fn a_version_that_is_not_stated_is_never_the_only_one() {
    let mut history = History::default();
    history.merge(
        &Summary {
            coverage: Coverage::Complete,
            listed_ms: Some(0),
            ..Summary::default()
        },
        at(100),
    );
    listing(&mut history, &[None], at(100));
    assert_eq!(known(&history, at(100)), Known::Several);
}

#[test]
fn a_gap_between_listings_is_filled_by_others() {
    let mut history = History::default();
    for second in 0..100 {
        listing(&mut history, &[Some("v1")], at(second));
    }
    history.add_noted(&desk(), &[Some(version("v1"))], at(99));
    assert!(!history.needs_peers(at(99)));
    listing(&mut history, &[Some("v1")], at(110));
    assert!(history.needs_peers(at(110)));
    assert_eq!(known(&history, at(110)), Known::Unknown);
    history.record_notes_read(at(110));
    assert_eq!(known(&history, at(110)), Known::Sole(version("v1")));
}

fn evidence<'a>(own: &'a [Known], peers: &'a [Vec<Known>]) -> Evidence<'a> {
    Evidence {
        begun: None,
        own,
        fresh: true,
        peers,
        has_peers: true,
        possible: &Possible::Any,
    }
}

#[test]
fn a_record_decides_whatever_else_is_known() {
    let record = begun(1);
    let mut evidence = evidence(&[Known::Several], &[]);
    evidence.begun = Some(&record);
    assert_eq!(evidence.decide(), Decision::Recorded(record.clone()));
}

#[rstest]
#[case::all_agree(vec![vec![Known::Sole(version("v1"))]], true)]
#[case::one_has_just_started(vec![vec![Known::Unknown]], true)]
#[case::one_has_seen_another(vec![vec![Known::Sole(version("v2"))]], false)]
#[case::one_has_seen_several(vec![vec![Known::Sole(version("v1"))], vec![Known::Several]], false)]
#[case::none_has_answered(vec![], false)]
fn a_stream_without_a_record_goes_on_if_no_other_version_can_have_begun_it(
    #[case] peers: Vec<Vec<Known>>,
    #[case] goes_on: bool,
) {
    let own = [Known::Sole(version("v1"))];
    let expected = match goes_on {
        true => Decision::Sole(version("v1")),
        false => Decision::Unknown,
    };
    assert_eq!(evidence(&own, &peers).decide(), expected);
}

#[rstest]
#[case::beside_one_that_knows(vec![vec![Known::Sole(version("v1"))]], true)]
#[case::beside_one_that_has_just_started(vec![vec![Known::Unknown]], false)]
#[case::cut_off(vec![], false)]
fn a_process_with_an_old_list_needs_another_that_knows(
    #[case] peers: Vec<Vec<Known>>,
    #[case] goes_on: bool,
) {
    let own = [Known::Sole(version("v1"))];
    let evidence = Evidence {
        fresh: false,
        ..evidence(&own, &peers)
    };
    assert_eq!(evidence.decide() == Decision::Sole(version("v1")), goes_on);
}

#[test]
fn a_stream_of_several_services_goes_on_only_if_they_have_one_version() {
    let same = [Known::Sole(version("v1")), Known::Sole(version("v1"))];
    let differ = [Known::Sole(version("v1")), Known::Sole(version("v2"))];
    let peers = [vec![Known::Unknown, Known::Unknown]];
    assert_eq!(
        evidence(&same, &peers).decide(),
        Decision::Sole(version("v1"))
    );
    assert_eq!(evidence(&differ, &peers).decide(), Decision::Unknown);
}

#[derive(Clone, Debug, PartialEq)]
struct Member {
    name: id::InstanceName,
    data_centre: id::DataCentre,
}

fn members(count: usize) -> Vec<Member> {
    let member = |i: usize| Member {
        name: format!("gateway-{i}").parse().unwrap(),
        data_centre: format!("dc-{}", i % 3).parse().unwrap(),
    };
    (0..count).map(member).collect()
}

fn candidate(member: &Member) -> rendezvous::Candidate<'_> {
    rendezvous::Candidate {
        name: &member.name,
        cores: 1.0,
    }
}

fn ranked(members: &[Member], stream: u128) -> Vec<Member> {
    let mut ranked = members.to_vec();
    homes::rank(&mut ranked, id::Fingerprint(stream), candidate, |m| {
        &m.data_centre
    });
    ranked
}

#[rstest]
fn homes_are_in_different_data_centres(#[values(3, 5, 100, 350)] count: usize) {
    let members = members(count);
    for stream in 0..200 {
        let homes = ranked(&members, stream);
        let mut places: Vec<_> = homes[..homes::HOMES]
            .iter()
            .map(|m| m.data_centre.clone())
            .collect();
        places.sort();
        places.dedup();
        assert_eq!(places.len(), homes::HOMES);
    }
}

// A member that joins between the two tries takes the place of a home.
#[rstest]
fn a_home_is_asked_after_members_have_joined(#[values(3, 5, 100)] count: usize) {
    let all = members(count + 3);
    for stream in 0..200 {
        let homes = ranked(&all[..count], stream);
        let asked = ranked(&all, stream);
        let found = homes[..homes::HOMES]
            .iter()
            .filter(|home| asked[..homes::ASKED.min(asked.len())].contains(home));
        assert_eq!(found.count(), homes::HOMES);
    }
}
