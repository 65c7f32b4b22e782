//! Bounded waits on conditions.

use std::{
    future,
    time, //
};

/// Longest wait for a condition that must come true; long, as the machine may be busy.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Pause between two looks at a condition.
const STEP: time::Duration = time::Duration::from_millis(20);

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics with `what` when the condition does not come true within [`TIMEOUT`].
pub async fn until<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: future::Future<Output = Option<T>>,
{
    let start = tokio::time::Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        tokio::time::sleep(STEP).await;
    }
}
