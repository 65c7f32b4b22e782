//! Sessions of lanes, and verdicts on unknown attempts.

use laburnumcart::{
    id::Incarnation,
    lanes::Lanes,
    verdict::{
        Reason,
        Verdict, //
    },
};
use rstest::rstest;
use tokio::time::{
    self,
    Duration,
    Instant, //
};

const IDLE: Duration = Duration::from_secs(600);
const LANE: Incarnation = Incarnation(1);

fn lanes(sessions: &[u64]) -> Lanes {
    let mut lanes = Lanes::new(IDLE);
    for number in sessions {
        lanes.open(LANE, *number, Instant::now()).unwrap();
    }
    lanes
}

#[rstest]
#[case::unknown_lane(&[], 1, false)]
#[case::newest(&[1], 1, true)]
#[case::older(&[1, 2], 1, false)]
#[case::not_opened(&[1], 2, false)]
#[case::skipped(&[1, 5], 5, true)]
#[tokio::test(start_paused = true)]
async fn only_the_newest_session_may_call(
    #[case] sessions: &[u64],
    #[case] number: u64,
    #[case] allowed: bool,
) {
    let checked = lanes(sessions).check(LANE, number, Instant::now());
    assert_eq!(checked.is_ok(), allowed);
    let refusal = checked.err();
    assert!(refusal.is_none_or(|r| r.reason == Reason::Fenced && r.verdict == Verdict::NotRun));
}

/// A late or repeated `hello` opens no session.
#[rstest]
#[case(1)]
#[case(2)]
#[tokio::test(start_paused = true)]
async fn session_numbers_only_increase(#[case] number: u64) {
    let mut lanes = lanes(&[2]);
    assert!(lanes.open(LANE, number, Instant::now()).is_err());
    assert!(lanes.check(LANE, 2, Instant::now()).is_ok());
}

#[rstest]
#[case::fenced(&[1, 2], 1, Verdict::NotRun)]
#[case::long_fenced(&[1, 2, 3], 1, Verdict::NotRun)]
#[case::not_fenced(&[1], 1, Verdict::MayHaveRun)]
#[case::older_than_the_agent(&[4, 5], 3, Verdict::MayHaveRun)]
#[case::unknown_lane(&[], 1, Verdict::MayHaveRun)]
#[tokio::test(start_paused = true)]
async fn verdict_on_an_unknown_attempt(
    #[case] sessions: &[u64],
    #[case] session: u64,
    #[case] verdict: Verdict,
) {
    assert_eq!(lanes(sessions).unknown_verdict(LANE, session), verdict);
}

/// If an expired result were reported as not run, the request would be executed twice.
#[tokio::test(start_paused = true)]
async fn expired_attempt_may_have_run() {
    let mut lanes = lanes(&[1, 2, 3]);
    lanes.record_expired(LANE, 2);
    assert_eq!(lanes.unknown_verdict(LANE, 1), Verdict::NotRun);
    assert_eq!(lanes.unknown_verdict(LANE, 2), Verdict::MayHaveRun);
    lanes.open(LANE, 4, Instant::now()).unwrap();
    assert_eq!(lanes.unknown_verdict(LANE, 3), Verdict::NotRun);
}

/// Attempts of a dropped lane may have run, so they must not be reported as not run.
#[tokio::test(start_paused = true)]
async fn dropped_lane_proves_nothing() {
    let mut lanes = lanes(&[1, 2]);
    time::advance(IDLE - Duration::from_millis(1)).await;
    lanes.expire(Instant::now());
    assert_eq!(lanes.len(), 1);
    lanes.check(LANE, 2, Instant::now()).unwrap();
    time::advance(IDLE).await;
    lanes.expire(Instant::now());
    assert!(lanes.is_empty());
    // Its old calls stay refused.
    assert!(lanes.check(LANE, 2, Instant::now()).is_err());
    lanes.open(LANE, 3, Instant::now()).unwrap();
    assert_eq!(lanes.unknown_verdict(LANE, 2), Verdict::MayHaveRun);
}

/// If a delayed `hello` proved all later sessions, a stage that ran would be reported as not run.
#[tokio::test(start_paused = true)]
async fn late_hello_proves_nothing_about_a_dropped_lane() {
    // Session 2 runs a stage, and its lane is dropped as idle.
    let mut lanes = lanes(&[2]);
    time::advance(IDLE).await;
    lanes.expire(Instant::now());
    // The delayed `hello` reopens the lane.
    lanes.open(LANE, 1, Instant::now()).unwrap();
    lanes.open(LANE, 3, Instant::now()).unwrap();
    assert_eq!(lanes.unknown_verdict(LANE, 2), Verdict::MayHaveRun);
    assert_eq!(lanes.unknown_verdict(LANE, 1), Verdict::NotRun);
}

/// Only the latest sessions are remembered; nothing is proven about older ones.
#[tokio::test(start_paused = true)]
async fn memory_is_bounded() {
    let sessions: Vec<u64> = (1..=20).collect();
    let lanes = lanes(&sessions);
    assert_eq!(lanes.unknown_verdict(LANE, 4), Verdict::MayHaveRun);
    assert_eq!(lanes.unknown_verdict(LANE, 5), Verdict::NotRun);
}
