//! Decisions on calls to a service that has failed.

use std::time;

use tokio::time::Instant;

use laburnumcart_platform::breaker;

const MS: time::Duration = time::Duration::from_millis(1);

fn limits() -> breaker::Limits {
    breaker::Limits {
        failures: 3,
        first_pause: MS * 100,
        longest_pause: MS * 1000,
        probe_timeout: MS * 2000,
    }
}

/// Returns the state after just enough failures to pause.
fn paused(now: Instant, jitter: f64) -> breaker::CircuitBreaker {
    let mut outage = breaker::CircuitBreaker::new(limits());
    for _ in 0..3 {
        assert_eq!(outage.admit(now), breaker::Admission::Pass);
        outage.record_failure(now, jitter);
    }
    outage
}

#[test]
fn single_failures_do_not_stop_calls() {
    let now = Instant::now();
    let mut outage = breaker::CircuitBreaker::new(limits());
    for _ in 0..10 {
        outage.record_failure(now, 1.0);
        outage.record_failure(now, 1.0);
        outage.record_success();
    }
    assert_eq!(outage.admit(now), breaker::Admission::Pass);
}

#[test]
fn one_probe_follows_each_pause() {
    let now = Instant::now();
    let mut outage = paused(now, 1.0);
    assert!(outage.is_open());
    let refused = breaker::Admission::Refuse(laburnumcart::unit::Period(MS));
    assert_eq!(outage.admit(now + MS * 99), refused);
    assert_eq!(outage.admit(now + MS * 100), breaker::Admission::Probe);
    let second = outage.admit(now + MS * 100);
    assert!(matches!(second, breaker::Admission::Refuse(_)));
    outage.record_success();
    assert_eq!(outage.admit(now + MS * 101), breaker::Admission::Pass);
}

#[test]
fn pauses_double_up_to_the_longest() {
    let mut now = Instant::now();
    let mut outage = paused(now, 1.0);
    for pause in [100, 200, 400, 800, 1000, 1000] {
        let early = outage.admit(now + MS * (pause - 1));
        assert!(matches!(early, breaker::Admission::Refuse(_)));
        now += MS * pause;
        assert_eq!(outage.admit(now), breaker::Admission::Probe);
        outage.record_failure(now, 1.0);
    }
}

#[test]
fn jitter_spreads_the_probes_of_many_processes() {
    let now = Instant::now();
    let mut early = paused(now, 0.0);
    let mut late = paused(now, 1.0);
    assert_eq!(early.admit(now + MS * 50), breaker::Admission::Probe);
    assert!(matches!(
        late.admit(now + MS * 50),
        breaker::Admission::Refuse(_)
    ));
}

#[test]
fn late_failures_of_earlier_calls_do_not_lengthen_the_pause() {
    let now = Instant::now();
    let mut outage = paused(now, 1.0);
    for _ in 0..50 {
        outage.record_failure(now + MS * 10, 1.0);
    }
    assert_eq!(outage.admit(now + MS * 100), breaker::Admission::Probe);
}

// The caller sees every call refused although the service is back. The probe was made by a task
// that was dropped before its answer, so that no outcome was ever reported. The probe's own time
// limit lets another one through.
#[test]
fn lost_probe_is_replaced() {
    let now = Instant::now();
    let mut outage = paused(now, 1.0);
    let first = now + MS * 100;
    assert_eq!(outage.admit(first), breaker::Admission::Probe);
    let waiting = outage.admit(first + MS * 1999);
    assert!(matches!(waiting, breaker::Admission::Refuse(_)));
    assert_eq!(outage.admit(first + MS * 2000), breaker::Admission::Probe);
}
