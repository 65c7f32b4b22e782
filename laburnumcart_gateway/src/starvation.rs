//! Detection of processor starvation by the lateness of a timer.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    event,
    starvation, //
};

use crate::metrics;

/// Interval of the timer.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Measures the lateness of the timer until the process ends, and logs changes of starvation.
pub async fn monitor(metrics: metrics::Metrics) {
    let mut detector = starvation::Detector::default();
    loop {
        let start = Instant::now();
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let has_changed = detector.record_lateness(start.elapsed().saturating_sub(SAMPLE_INTERVAL));
        metrics.timer_lag.set(detector.lateness().as_secs_f64());
        if has_changed {
            event!(
                Info,
                "strain",
                starved = detector.is_starved(),
                late_ms = detector.lateness().as_millis()
            );
        }
    }
}
