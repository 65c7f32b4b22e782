//! Versions that a process knows while listings stop, and what it tells others meanwhile.

use std::time;

use laburnumcart::{
    freshness::BootTime,
    id,
    origin::history::{
        History,
        Known,
        Summary,
        Version, //
    },
};
use rstest::rstest;

/// When listings stop.
const STOP: u64 = 100;

fn at(secs: u64) -> BootTime {
    BootTime(time::Duration::from_secs(secs))
}

fn desk() -> id::ServiceName {
    "desk".parse().unwrap()
}

fn version(text: &str) -> id::SoftwareVersion {
    text.parse().unwrap()
}

fn versions(texts: &[&str]) -> Vec<Version> {
    texts.iter().map(|text| Some(version(text))).collect()
}

fn list(history: &mut History, texts: &[&str], now: u64) {
    let (service, versions) = (desk(), versions(texts));
    history.record_listing(versions.iter().map(|v| (&service, v)), at(now));
}

fn known(history: &History, now: u64) -> Known {
    history.known(&desk(), at(now))
}

/// Returns the history of a process that has listed `v1` up to [`STOP`], and has noted it.
fn lister() -> History {
    let mut history = History::default();
    for now in 0..=STOP {
        list(&mut history, &["v1"], now);
    }
    history.add_noted(&desk(), &versions(&["v1"]), at(STOP));
    history
}

// A version comes and goes while no process lists the targets.
#[rstest]
#[case::the_peer_lists_again(true)]
#[case::the_peer_does_not_list_yet(false)]
fn a_peer_without_listings_fills_no_gap(#[case] lists: bool) {
    let (mut own, mut peer) = (lister(), lister());
    list(&mut own, &["v1"], STOP + 10);
    if lists {
        list(&mut peer, &["v1"], STOP + 10);
    }
    own.merge(&peer.summary(at(STOP + 10)), at(STOP + 10));
    assert!(own.has_gap());
    assert_eq!(known(&own, STOP + 10), Known::Unknown);
}

// A process that starts takes the note of a peer that has missed a version for that of the store.
#[rstest]
#[case::the_peer_lists_again(true)]
#[case::the_peer_does_not_list_yet(false)]
fn a_peer_without_listings_lends_no_note(#[case] lists: bool) {
    let (mut own, mut peer) = (History::default(), lister());
    list(&mut own, &["v1"], STOP + 10);
    if lists {
        list(&mut peer, &["v1"], STOP + 10);
    }
    own.merge(&peer.summary(at(STOP + 10)), at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Unknown);
}

#[test]
fn a_peer_that_has_started_since_fills_no_gap() {
    let (mut own, mut peer) = (lister(), History::default());
    list(&mut own, &["v1"], STOP + 10);
    list(&mut peer, &["v1"], STOP + 9);
    own.merge(&peer.summary(at(STOP + 10)), at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Unknown);
}

#[test]
fn a_peer_that_has_listed_all_the_time_fills_a_gap() {
    let (mut own, mut peer) = (lister(), lister());
    list(&mut own, &["v1"], STOP + 10);
    for now in STOP..STOP + 10 {
        list(&mut peer, &["v1"], now);
    }
    own.merge(&peer.summary(at(STOP + 10)), at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Sole(version("v1")));
}

// A process whose store refuses it the notes refuses streams for ever.
#[test]
fn a_gap_counts_as_long_as_its_streams_can_last() {
    let mut own = lister();
    for now in STOP + 10..STOP + 70 {
        list(&mut own, &["v1"], now);
        assert_eq!(known(&own, now), Known::Unknown);
    }
    list(&mut own, &["v1"], STOP + 70);
    assert_eq!(known(&own, STOP + 70), Known::Sole(version("v1")));
}

// A process of an older build does not tell whether it still lists the targets.
#[rstest]
#[case::for_some_time(r#"{"coverage": {"millis": 90000}, "seen": []}"#)]
#[case::complete(r#"{"coverage": "complete", "seen": []}"#)]
fn the_summary_of_an_older_build_fills_no_gap(#[case] text: &str) {
    let summary: Summary = serde_json::from_str(text).unwrap();
    let mut own = lister();
    list(&mut own, &["v1"], STOP + 10);
    own.merge(&summary, at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Unknown);
}

// Others go on using the list that they have while nobody can read a newer one.
#[test]
fn a_version_counts_as_used_until_the_end_of_a_gap() {
    let mut own = lister();
    list(&mut own, &["v2"], STOP + 70);
    own.add_noted(&desk(), &versions(&["v1", "v2"]), at(STOP + 70));
    own.record_notes_read(at(STOP + 70));
    assert_eq!(known(&own, STOP + 70), Known::Several);
    for now in STOP + 71..STOP + 131 {
        list(&mut own, &["v2"], now);
    }
    assert_eq!(known(&own, STOP + 130), Known::Sole(version("v2")));
}

// A version is rolled back to and replaced again while nobody lists the targets.
#[test]
fn a_version_that_is_still_noted_counts_as_used_in_a_gap() {
    let mut own = History::default();
    list(&mut own, &["v1", "v2"], 0);
    own.add_noted(&desk(), &versions(&["v1", "v2"]), at(0));
    for now in 1..=STOP {
        list(&mut own, &["v1"], now);
    }
    list(&mut own, &["v1"], STOP + 10);
    own.add_noted(&desk(), &versions(&["v1", "v2"]), at(STOP + 10));
    own.record_notes_read(at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Several);
}

// The store is back, and a process corrects the note before it has listed the targets again.
#[test]
fn a_version_that_was_not_listed_for_want_of_listings_has_not_gone() {
    let own = lister();
    assert_eq!(own.corrections(at(STOP + 70)), []);
}

// A process stands still after it was sent the notes, and reads them when it lists again.
#[test]
fn notes_of_before_the_end_of_a_gap_do_not_fill_it() {
    let mut own = lister();
    list(&mut own, &["v1"], STOP + 10);
    own.record_notes_read(at(STOP + 9));
    assert_eq!(known(&own, STOP + 10), Known::Unknown);
    own.record_notes_read(at(STOP + 10));
    assert_eq!(known(&own, STOP + 10), Known::Sole(version("v1")));
}

// Two processes that are cut off take each other's old lists for proof.
#[test]
fn a_process_without_listings_tells_no_only_version() {
    let own = lister();
    assert_eq!(own.told(&desk(), at(STOP + 2)), Known::Sole(version("v1")));
    assert_eq!(own.told(&desk(), at(STOP + 10)), Known::Unknown);
    assert_eq!(known(&own, STOP + 10), Known::Sole(version("v1")));
}
