//! Metrics of the time that a target spent.

use std::time;

use laburnumcart_agent::counters;
use laburnumcart_daemon::metrics;

#[test]
fn busy_time_shows_by_stage() {
    let metrics = metrics::Metrics::new();
    let counters = counters::Counters::new(&metrics);
    let second = time::Duration::from_secs(1);
    let stage = "generate".parse().unwrap();
    counters.record_busy_time(&stage, counters::Spent::Whole, 2 * second);
    counters.record_busy_time(&stage, counters::Spent::Wasted, second);
    let page = metrics.encode().unwrap();
    for line in [
        "laburnum_agent_stage_busy_seconds_total{stage=\"generate\",spent=\"Whole\"} 2.0",
        "laburnum_agent_stage_busy_seconds_total{stage=\"generate\",spent=\"Wasted\"} 1.0",
    ] {
        assert!(page.contains(line), "{line} in {page}");
    }
}

// Each new bundle can bring new stage names; the number of series must stay bounded.
#[test]
fn stages_beyond_the_cap_are_others() {
    let metrics = metrics::Metrics::new();
    let counters = counters::Counters::new(&metrics);
    for n in 0..1000 {
        let stage = format!("stage-{n}").parse().unwrap();
        let busy = time::Duration::from_secs(1);
        counters.record_busy_time(&stage, counters::Spent::Whole, busy);
    }
    let page = metrics.encode().unwrap();
    let series = page
        .matches("laburnum_agent_stage_busy_seconds_total{")
        .count();
    assert_eq!(series, 65);
    assert!(
        page.contains("{stage=\"other\",spent=\"Whole\"} 936.0"),
        "{page}"
    );
}
