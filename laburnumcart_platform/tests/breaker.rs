//! State transitions of the circuit breaker.

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

/// Returns a breaker that was opened by the minimum number of failures.
fn open_breaker(now: Instant, jitter: f64) -> breaker::CircuitBreaker {
    let mut breaker = breaker::CircuitBreaker::new(limits());
    for _ in 0..3 {
        assert_eq!(breaker.admit(now), breaker::Admission::Pass);
        breaker.record_failure(now, jitter);
    }
    breaker
}

#[test]
fn isolated_failures_do_not_open_the_breaker() {
    let now = Instant::now();
    let mut breaker = breaker::CircuitBreaker::new(limits());
    for _ in 0..10 {
        breaker.record_failure(now, 1.0);
        breaker.record_failure(now, 1.0);
        breaker.record_success();
    }
    assert_eq!(breaker.admit(now), breaker::Admission::Pass);
}

#[test]
fn one_probe_follows_each_pause() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    assert!(breaker.is_open());
    let refused = breaker::Admission::Refuse(laburnumcart::unit::Period(MS));
    assert_eq!(breaker.admit(now + MS * 99), refused);
    assert_eq!(breaker.admit(now + MS * 100), breaker::Admission::Probe);
    let second = breaker.admit(now + MS * 100);
    assert!(matches!(second, breaker::Admission::Refuse(_)));
    breaker.record_success();
    assert_eq!(breaker.admit(now + MS * 101), breaker::Admission::Pass);
}

#[test]
fn pauses_double_up_to_the_longest() {
    let mut now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    for pause in [100, 200, 400, 800, 1000, 1000] {
        let early = breaker.admit(now + MS * (pause - 1));
        assert!(matches!(early, breaker::Admission::Refuse(_)));
        now += MS * pause;
        assert_eq!(breaker.admit(now), breaker::Admission::Probe);
        breaker.record_failure(now, 1.0);
    }
}

#[test]
fn jitter_spreads_the_probes_of_many_processes() {
    let now = Instant::now();
    let mut early = open_breaker(now, 0.0);
    let mut late = open_breaker(now, 1.0);
    assert_eq!(early.admit(now + MS * 50), breaker::Admission::Probe);
    assert!(matches!(
        late.admit(now + MS * 50),
        breaker::Admission::Refuse(_)
    ));
}

#[test]
fn late_failures_of_earlier_calls_do_not_lengthen_the_pause() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    for _ in 0..50 {
        breaker.record_failure(now + MS * 10, 1.0);
    }
    assert_eq!(breaker.admit(now + MS * 100), breaker::Admission::Probe);
}

// If a lost probe were not replaced, every call would be refused after the service has recovered.
#[test]
fn lost_probe_is_replaced() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    let first = now + MS * 100;
    // The task of this probe is dropped, so its outcome is never recorded.
    assert_eq!(breaker.admit(first), breaker::Admission::Probe);
    let waiting = breaker.admit(first + MS * 1999);
    assert!(matches!(waiting, breaker::Admission::Refuse(_)));
    assert_eq!(breaker.admit(first + MS * 2000), breaker::Admission::Probe);
}
