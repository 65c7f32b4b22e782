//! How late this process gets to its work, looked at by a timer of its own.

use std::time;

use tokio::time::Instant;

use laburnumcart::{
    event,
    starvation, //
};

use crate::metrics;

/// Pause between two looks.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Looks at it until the process ends.
pub async fn watch(metrics: metrics::Metrics) {
    let mut strain = starvation::Detector::default();
    loop {
        let start = Instant::now();
        tokio::time::sleep(LOOK).await;
        let has_changed = strain.record_lateness(start.elapsed().saturating_sub(LOOK));
        metrics.timer_lag.set(strain.lateness().as_secs_f64());
        if has_changed {
            event!(
                Info,
                "strain",
                starved = strain.is_starved(),
                late_ms = strain.lateness().as_millis()
            );
        }
    }
}
