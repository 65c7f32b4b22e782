//! Content that crashes targets, and innocent content that fails with them.

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

/// Records a failure of [`CONTENT`] at a target; times are milliseconds after `start`.
fn fail(failures: &mut poison::Failures, start: Instant, number: u64, sent: u32, failed: u32) {
    let failure = Failure {
        content: CONTENT,
        sent: start + MS * sent,
        failed: start + MS * failed,
    };
    failures.record_failure(target(number), failure);
}

// Half of all targets crash at once while many callers send the same content.
#[test]
fn content_that_fails_at_several_targets_at_once_is_not_refused() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    (0..9).for_each(|number| fail(&mut failures, start, number, 0, 500 + number as u32));
    (9..18).for_each(|number| fail(&mut failures, start, number, 520, 900));
    assert_eq!(
        failures.refused_until(CONTENT, |_| true, start + MS * 1000),
        None
    );
}

// A target that fails a request without crashing is no evidence.
#[test]
fn failures_at_running_targets_do_not_count() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    (0..9).for_each(|i| fail(&mut failures, start, i, i as u32 * 100, i as u32 * 100 + 50));
    let is_gone = |life: &id::TargetLife| [target(2), target(5)].contains(life);
    assert_eq!(
        failures.refused_until(CONTENT, is_gone, start + MS * 1000),
        None
    );
}

// A target that failed many requests long ago crashes on a new one.
#[test]
fn expired_failures_make_room_for_new_ones() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    for content in 2..1000 {
        let failure = Failure {
            content: id::Fingerprint(content),
            sent: start,
            failed: start,
        };
        failures.record_failure(target(0), failure);
    }
    let later = 60_000;
    (0..3).for_each(|i| {
        let sent = later + i as u32 * 100;
        fail(&mut failures, start, i, sent, sent + 50);
    });
    let now = start + MS * (later + 300);
    assert!(failures.refused_until(CONTENT, |_| true, now).is_some());
}

#[test]
fn refusal_ends_with_the_retention_of_its_failures() {
    let start = Instant::now();
    let mut failures = poison::Failures::default();
    (0..3).for_each(|i| fail(&mut failures, start, i, i as u32 * 100, i as u32 * 100 + 50));
    let until = failures.refused_until(CONTENT, |_| true, start + MS * 250);
    let end = start + MS * 50 + poison::RETENTION;
    assert_eq!(until, Some(end));
    assert_eq!(failures.refused_until(CONTENT, |_| true, end), None);
    failures.expire(end + MS * 1000);
    assert_eq!(failures.targets().count(), 0);
}
