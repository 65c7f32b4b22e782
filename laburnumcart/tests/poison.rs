//! Content that crashes targets, and harmless content that fails with them.

use std::time;

use laburnumcart::{
    id,
    poison::{
        self,
        Failure,
        Status, //
    },
};
use rstest::rstest;
use tokio::time::Instant;

const CONTENT: id::Fingerprint = id::Fingerprint(1);
const OTHER: id::Fingerprint = id::Fingerprint(2);
const MS: time::Duration = time::Duration::from_millis(1);

fn target(number: u64) -> id::TargetLife {
    id::TargetLife {
        name: format!("engine-{number}").parse().unwrap(),
        life: id::Life(1),
    }
}

/// Returns a failure; times are milliseconds after `start`.
fn failure(content: id::Fingerprint, start: Instant, sent: u32, failed: u32) -> Failure {
    Failure {
        content,
        parts: [].into(),
        sent: start + MS * sent,
        failed: start + MS * failed,
        given_up: false,
    }
}

/// Adds a crash with [`CONTENT`]; times are milliseconds after `start`.
fn crash(crashes: &mut poison::Crashes, start: Instant, number: u64, sent: u32, failed: u32) {
    crashes.add(&target(number), failure(CONTENT, start, sent, failed));
}

/// Adds crashes of one target after the other, 100 ms apart.
fn crash_in_sequence(crashes: &mut poison::Crashes, start: Instant, count: u32) {
    (0..count).for_each(|i| crash(crashes, start, u64::from(i), i * 100, i * 100 + 50));
}

fn is_quarantined(status: Status) -> bool {
    matches!(status, Status::Quarantined(_))
}

// Half of all targets crash at once while many callers send the same content.
#[test]
fn content_that_fails_at_several_targets_at_once_is_not_refused() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    (0..9).for_each(|number| crash(&mut crashes, start, number, 0, 500 + number as u32));
    (9..18).for_each(|number| crash(&mut crashes, start, number, 520, 900));
    let status = crashes.status(CONTENT, start + MS * 1000);
    assert_eq!(status, Status::Limited);
    assert!(crashes.record_completion(CONTENT, start + MS * 950));
    let status = crashes.status(CONTENT, start + MS * 1000);
    assert_eq!(status, Status::Clean);
}

// A target that fails a request without crashing is no evidence.
#[test]
fn failures_at_running_targets_do_not_count() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    for i in 0..9 {
        let failure = failure(CONTENT, start, i * 100, i * 100 + 50);
        failures.record(&target(u64::from(i)), failure);
    }
    (0..9_u64)
        .filter(|i| ![2, 5].contains(i))
        .for_each(|i| failures.record_answer(&target(i), start + MS * 900));
    let mut crashes = poison::Crashes::default();
    for i in 0..9 {
        assert_eq!(failures.is_open(&target(i)), [2, 5].contains(&i));
        for failure in failures.take_crashed(&target(i)) {
            crashes.add(&target(i), failure);
        }
    }
    assert_eq!(crashes.crashed_targets(CONTENT).len(), 2);
    let status = crashes.status(CONTENT, start + MS * 1000);
    assert_eq!(status, Status::Clean);
}

// A target that failed many requests long ago crashes on a new one.
#[test]
fn expired_failures_make_room_for_new_ones() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    for content in 2..1000 {
        failures.record(&target(0), failure(id::Fingerprint(content), start, 0, 0));
    }
    let later = 60_000;
    assert!(!failures.record(&target(0), failure(CONTENT, start, later - 100, later - 50)));
    assert!(failures.record(&target(0), failure(CONTENT, start, later, later + 50)));
    let taken = failures.take_crashed(&target(0));
    assert!(taken.iter().any(|failure| failure.content == CONTENT));
}

// The answer after a restart under the same name comes from another run.
#[test]
fn an_answer_does_not_hide_a_restart() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    failures.record(&target(0), failure(CONTENT, start, 0, 50));
    failures.record_answer(&target(0), start + MS * 100);
    assert!(!failures.is_open(&target(0)));
    let taken = failures.take_removed(&target(0), start + MS * 2000);
    assert_eq!(taken.len(), 1);
}

// Each quarantine is followed by one run, and a further crash makes it longer.
#[test]
fn quarantine_grows_with_each_crash_and_ends() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    let mut ends = Vec::new();
    for count in 3..=5 {
        crash_in_sequence(&mut crashes, start, count);
        for i in 0..count {
            let other = id::Fingerprint(100 + u128::from(i));
            let failure = failure(other, start, i * 100, i * 100 + 50);
            crashes.add(&target(u64::from(i)), failure);
        }
        let now = start + MS * (count * 100);
        let Status::Quarantined(until) = crashes.status(CONTENT, now) else {
            panic!("content that crashed {count} targets runs");
        };
        assert_eq!(crashes.status(CONTENT, until), Status::Limited);
        ends.push(until - start);
    }
    assert!(ends[0] <= MS * 2300, "{ends:?}");
    assert!(ends[1] >= MS * 20_000, "{ends:?}");
    assert!(ends[2] >= ends[1] * 2, "{ends:?}");
}

// A caller that resends poison now and then would crash a target after each short quarantine.
#[test]
fn content_that_crashed_targets_alone_is_refused_for_long() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crash_in_sequence(&mut crashes, start, 3);
    let status = crashes.status(CONTENT, start + MS * 60_000);
    assert!(is_quarantined(status), "{status:?}");
}

#[test]
fn crashes_expire_with_their_retention() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crash_in_sequence(&mut crashes, start, 3);
    let end = start + MS * 50 + poison::RETENTION;
    crashes.expire(end - MS);
    assert_eq!(crashes.crashed_targets(CONTENT).len(), 3);
    crashes.expire(end);
    assert_eq!(crashes.status(CONTENT, end), Status::Clean);
    crashes.expire(end + MS * 1000);
    assert!(crashes.is_empty());
}

// A target that is down takes requests until its entry goes.
#[test]
fn content_sent_to_a_target_that_is_down_is_not_suspected() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..5_u32 {
        let at = i * 1000;
        crash(&mut crashes, start, u64::from(i), at, at + 50);
        let late = failure(OTHER, start, at + 80, at + 90);
        crashes.add(&target(u64::from(i)), late);
    }
    let now = start + MS * 4100;
    assert!(is_quarantined(crashes.status(CONTENT, now)));
    assert_eq!(crashes.status(OTHER, now), Status::Clean);
}

// A caller gives up at a sound target just before poison crashes it.
#[test]
fn a_request_that_was_given_up_does_not_hide_the_crash_after_it() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..3 {
        let (target, at) = (target(u64::from(i)), i * 100);
        let given_up = Failure {
            given_up: true,
            ..failure(id::Fingerprint(100 + u128::from(i)), start, at, at + 10)
        };
        crashes.add(&target, given_up);
        crashes.add(&target, failure(CONTENT, start, at + 20, at + 50));
    }
    let status = crashes.status(CONTENT, start + MS * 300);
    assert!(is_quarantined(status), "{status:?}");
}

// Poison that runs beside another one each time is explained by it, and would crash targets on.
#[test]
fn content_is_refused_after_three_limited_crashes_whatever_ran_beside_it() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..6 {
        let status = crashes.status(CONTENT, start + MS * (i * 100));
        assert!(!is_quarantined(status), "refused after {i} crashes");
        crash(&mut crashes, start, u64::from(i), i * 100, i * 100 + 50);
        let other = failure(OTHER, start, i * 100, i * 100 + 50);
        crashes.add(&target(u64::from(i)), other);
        let alone = failure(OTHER, start, i * 100, i * 100 + 50);
        crashes.add(&target(100 + u64::from(i)), alone);
    }
    let status = crashes.status(CONTENT, start + MS * 60_000);
    assert!(is_quarantined(status), "{status:?}");
}

// The order in which failures are told differs between processes.
#[test]
fn a_failure_that_is_told_late_still_precedes_the_others() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crashes.add(&target(0), failure(OTHER, start, 80, 90));
    assert_eq!(crashes.crashed_targets(OTHER).len(), 1);
    crash(&mut crashes, start, 0, 0, 50);
    assert_eq!(crashes.crashed_targets(OTHER).len(), 0);
    assert_eq!(crashes.crashed_targets(CONTENT).len(), 1);
}

// A report with times that are too late makes it look as if the targets had been down already.
#[test]
fn a_crash_that_is_reported_again_counts_from_its_earlier_time() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..3 {
        crash(
            &mut crashes,
            start,
            u64::from(i),
            i * 100 + 400,
            i * 100 + 450,
        );
    }
    for i in 0..3 {
        let beside = id::Fingerprint(10 + u128::from(i));
        let failure = failure(beside, start, i * 100, i * 100 + 50);
        crashes.add(&target(i.into()), failure);
    }
    crash_in_sequence(&mut crashes, start, 3);
    assert!(is_quarantined(crashes.status(CONTENT, start + MS * 500)));
}

// Two contents ran beside each other at each crash, and one of them crashes a further target alone.
#[test]
fn contents_that_ran_together_are_told_apart_by_a_further_crash() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..3_u32 {
        let at = i * 100;
        crash(&mut crashes, start, u64::from(i), at, at + 50);
        crashes.add(&target(u64::from(i)), failure(OTHER, start, at, at + 50));
    }
    let now = start + MS * 400;
    assert_eq!(crashes.status(CONTENT, now), Status::Limited);
    assert_eq!(crashes.status(OTHER, now), Status::Limited);
    crash(&mut crashes, start, 3, 300, 350);
    assert!(is_quarantined(crashes.status(CONTENT, now)));
    assert_eq!(crashes.status(OTHER, now), Status::Limited);
}

// Two poisons crash one target together, and then several each; both were refused for half a minute.
#[test]
fn quarantine_does_not_become_shorter_when_another_content_is_poison_too() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    for i in 0..4_u32 {
        let others = (10..12).map(|other| id::Fingerprint(other * 100 + u128::from(i)));
        for content in others.chain([CONTENT]) {
            let failure = failure(content, start, i * 100, i * 100 + 50);
            crashes.add(&target(u64::from(i)), failure);
        }
    }
    let now = start + MS * 10_000;
    assert!(is_quarantined(crashes.status(CONTENT, now)));
    crashes.add(&target(0), failure(OTHER, start, 0, 50));
    for i in 10..16_u32 {
        let failure = failure(OTHER, start, i * 100, i * 100 + 50);
        crashes.add(&target(u64::from(i)), failure);
    }
    assert!(is_quarantined(crashes.status(OTHER, now)));
    assert!(is_quarantined(crashes.status(CONTENT, now)));
}

#[test]
fn a_completion_clears_earlier_crashes_only() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crash_in_sequence(&mut crashes, start, 2);
    assert!(crashes.is_suspected(CONTENT));
    assert!(crashes.record_completion(CONTENT, start + MS * 100));
    assert_eq!(crashes.crashed_targets(CONTENT).len(), 1);
    assert!(!crashes.record_completion(CONTENT, start + MS * 100));
    assert!(crashes.record_completion(CONTENT, start + MS * 200));
    assert!(!crashes.is_suspected(CONTENT));
}

// A gateway is told of a completion before the crashes that it clears.
#[test]
fn a_completion_clears_crashes_that_are_told_after_it() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    assert!(!crashes.record_completion(CONTENT, start + MS * 60));
    crash(&mut crashes, start, 0, 0, 50);
    assert!(!crashes.is_suspected(CONTENT));
    crash(&mut crashes, start, 2, 200, 250);
    assert!(crashes.record_completion(CONTENT, start + MS * 300));
    crash(&mut crashes, start, 1, 100, 150);
    crash(&mut crashes, start, 3, 300, 350);
    assert_eq!(crashes.crashed_targets(CONTENT).len(), 1);
}

// The gateway where a content completes tells the others, also if it knew of the crash too late.
#[test]
fn a_completion_after_a_crash_that_was_told_late_is_news() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    assert!(!crashes.record_completion(CONTENT, start + MS * 60));
    crash(&mut crashes, start, 0, 0, 50);
    assert!(crashes.record_completion(CONTENT, start + MS * 100));
    assert!(!crashes.record_completion(CONTENT, start + MS * 200));
}

// A caller that varies its content cannot displace content that crashed several targets.
#[test]
fn contents_with_one_crash_make_room() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crash_in_sequence(&mut crashes, start, 3);
    for i in 0..10_000 {
        let content = id::Fingerprint(1000 + u128::from(i));
        assert!(crashes.add(&target(100), failure(content, start, 0, 10 + i)));
    }
    assert_eq!(crashes.iter().count(), 4095 + 3);
    let now = start + MS * 300;
    assert!(is_quarantined(crashes.status(CONTENT, now)));
}

#[test]
fn a_crash_is_retracted_once_its_target_answers() {
    let start = Instant::now();
    let mut crashes = poison::Crashes::default();
    crash_in_sequence(&mut crashes, start, 3);
    crashes.retract(&target(1));
    assert_eq!(crashes.first_failure(&target(1)), None);
    let status = crashes.status(CONTENT, start + MS * 300);
    assert_eq!(status, Status::Clean);
}

#[rstest]
#[case::answered(&[poison::Probe::Answered], Some(poison::Outcome::Alive))]
#[case::refused(&[poison::Probe::Unreached], Some(poison::Outcome::Crashed(poison::Sign::Unreached)))]
#[case::closed_once(&[poison::Probe::Closed], None)]
#[case::closed_then_answered(
    &[poison::Probe::Closed, poison::Probe::Answered],
    Some(poison::Outcome::Alive)
)]
#[case::closed(&[poison::Probe::Closed; 3], Some(poison::Outcome::Crashed(poison::Sign::Closed)))]
#[case::silent(&[poison::Probe::Silent], Some(poison::Outcome::Crashed(poison::Sign::Silent)))]
#[case::replaced(
    &[poison::Probe::Replaced],
    Some(poison::Outcome::Crashed(poison::Sign::Replaced))
)]
fn probes_tell_a_crash_from_a_broken_connection(
    #[case] probes: &[poison::Probe],
    #[case] expected: Option<poison::Outcome>,
) {
    let mut check = poison::Check::default();
    let outcomes: Vec<_> = probes.iter().map(|probe| check.record(*probe)).collect();
    assert_eq!(outcomes.last(), Some(&expected));
}
