//! Bounded waits on conditions.

use std::{
    future,
    time, //
};

/// Longest wait for a condition; generous, since the host may be overloaded.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics with `what` when the condition does not hold within [`TIMEOUT`].
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
