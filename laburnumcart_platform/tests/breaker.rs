//! State transitions of the circuit breaker.

use std::time;

use tokio::time::Instant;

use laburnumcart_platform::outage;

const MS: time::Duration = time::Duration::from_millis(1);

fn limits() -> outage::Limits {
    outage::Limits {
        failures: 3,
        first: MS * 100,
        longest: MS * 1000,
        probe: MS * 2000,
    }
}

/// Returns a breaker that was opened by the minimum number of failures.
fn open_breaker(now: Instant, jitter: f64) -> outage::Outage {
    let mut breaker = outage::Outage::new(limits());
    for _ in 0..3 {
        assert_eq!(breaker.admit(now), outage::Admission::Pass);
        breaker.failed(now, jitter);
    }
    breaker
}

#[test]
fn isolated_failures_do_not_open_the_breaker() {
    let now = Instant::now();
    let mut breaker = outage::Outage::new(limits());
    for _ in 0..10 {
        breaker.failed(now, 1.0);
        breaker.failed(now, 1.0);
        breaker.succeeded();
    }
    assert_eq!(breaker.admit(now), outage::Admission::Pass);
}

#[test]
fn one_probe_follows_each_pause() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    assert!(breaker.is_open());
    let refused = outage::Admission::Refuse(laburnumcart::unit::Period(MS));
    assert_eq!(breaker.admit(now + MS * 99), refused);
    assert_eq!(breaker.admit(now + MS * 100), outage::Admission::Probe);
    let second = breaker.admit(now + MS * 100);
    assert!(matches!(second, outage::Admission::Refuse(_)));
    breaker.succeeded();
    assert_eq!(breaker.admit(now + MS * 101), outage::Admission::Pass);
}

#[test]
fn pauses_double_up_to_the_longest() {
    let mut now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    for pause in [100, 200, 400, 800, 1000, 1000] {
        let early = breaker.admit(now + MS * (pause - 1));
        assert!(matches!(early, outage::Admission::Refuse(_)));
        now += MS * pause;
        assert_eq!(breaker.admit(now), outage::Admission::Probe);
        breaker.failed(now, 1.0);
    }
}

#[test]
fn jitter_spreads_the_probes_of_many_processes() {
    let now = Instant::now();
    let mut early = open_breaker(now, 0.0);
    let mut late = open_breaker(now, 1.0);
    assert_eq!(early.admit(now + MS * 50), outage::Admission::Probe);
    assert!(matches!(
        late.admit(now + MS * 50),
        outage::Admission::Refuse(_)
    ));
}

#[test]
fn late_failures_of_earlier_calls_do_not_lengthen_the_pause() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    for _ in 0..50 {
        breaker.failed(now + MS * 10, 1.0);
    }
    assert_eq!(breaker.admit(now + MS * 100), outage::Admission::Probe);
}

// The task of a probe was dropped, so its outcome is never recorded. After the probe's time limit
// another probe must be admitted, or every call would be refused after the service has recovered.
#[test]
fn lost_probe_is_replaced() {
    let now = Instant::now();
    let mut breaker = open_breaker(now, 1.0);
    let first = now + MS * 100;
    assert_eq!(breaker.admit(first), outage::Admission::Probe);
    let waiting = breaker.admit(first + MS * 1999);
    assert!(matches!(waiting, outage::Admission::Refuse(_)));
    assert_eq!(breaker.admit(first + MS * 2000), outage::Admission::Probe);
}
