//! Content that crashes targets, and content that only was there.

use std::time;

use laburnumcart::{
    id,
    poison::{
        self,
        Failure, //
    },
};
use tokio::time::Instant;

const CONTENT: id::Fingerprint = id::Fingerprint(1);
const MS: time::Duration = time::Duration::from_millis(1);

fn target(number: u64) -> id::TargetLife {
    id::TargetLife {
        name: format!("engine-{number}").parse().unwrap(),
        life: id::Life(1),
    }
}

/// Adds a failure of [`CONTENT`] at a target, from one moment to another in milliseconds.
fn strike(strikes: &mut poison::Failures, start: Instant, number: u64, sent: u32, failed: u32) {
    let strike = Failure {
        content: CONTENT,
        sent: start + MS * sent,
        failed: start + MS * failed,
    };
    strikes.record_failure(target(number), strike);
}

// Half of all targets crash in one moment, and many callers have asked for the same.
#[test]
fn requests_that_ran_at_once_on_targets_that_crashed_are_innocent() {
    let start = Instant::now();
    let mut strikes = poison::Failures::default();
    (0..9).for_each(|number| strike(&mut strikes, start, number, 0, 500 + number as u32));
    (9..18).for_each(|number| strike(&mut strikes, start, number, 520, 900));
    assert_eq!(
        strikes.refused_until(CONTENT, |_| true, start + MS * 1000),
        None
    );
}

// A target fails a request and lives on.
#[test]
fn targets_that_are_still_there_did_not_crash() {
    let start = Instant::now();
    let mut strikes = poison::Failures::default();
    (0..9).for_each(|i| strike(&mut strikes, start, i, i as u32 * 100, i as u32 * 100 + 50));
    let is_gone = |life: &id::TargetLife| [target(2), target(5)].contains(life);
    assert_eq!(
        strikes.refused_until(CONTENT, is_gone, start + MS * 1000),
        None
    );
}

// A target that has failed many requests long ago is crashed by the next one.
#[test]
fn failures_that_are_forgotten_make_room_for_others() {
    let start = Instant::now();
    let mut strikes = poison::Failures::default();
    for content in 2..1000 {
        let strike = Failure {
            content: id::Fingerprint(content),
            sent: start,
            failed: start,
        };
        strikes.record_failure(target(0), strike);
    }
    let later = 60_000;
    (0..3).for_each(|i| {
        let sent = later + i as u32 * 100;
        strike(&mut strikes, start, i, sent, sent + 50);
    });
    let now = start + MS * (later + 300);
    assert!(strikes.refused_until(CONTENT, |_| true, now).is_some());
}

// The content comes again once its failures are forgotten.
#[test]
fn a_refusal_ends() {
    let start = Instant::now();
    let mut strikes = poison::Failures::default();
    (0..3).for_each(|i| strike(&mut strikes, start, i, i as u32 * 100, i as u32 * 100 + 50));
    let until = strikes.refused_until(CONTENT, |_| true, start + MS * 250);
    let end = start + MS * 50 + poison::RETENTION;
    assert_eq!(until, Some(end));
    assert_eq!(strikes.refused_until(CONTENT, |_| true, end), None);
    strikes.expire(end + MS * 1000);
    assert_eq!(strikes.targets().count(), 0);
}
