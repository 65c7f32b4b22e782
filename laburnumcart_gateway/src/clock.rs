//! Boot-time clock, which counts suspended time.

use std::time;

use tokio::time::Instant;

use laburnumcart::freshness;

/// Clock by which a process measures the age of store data.
#[derive(Clone, Copy, Debug, Default)]
pub enum Clock {
    /// Boot-time clock of the kernel.
    #[default]
    Boot,
    /// Clock of the runtime since an instant; it can be paused, but doesn't count suspended time.
    Runtime(Instant),
}

impl Clock {
    /// Returns the current time.
    pub fn now(self) -> freshness::BootTime {
        match self {
            Self::Boot => now(),
            Self::Runtime(start) => freshness::BootTime(start.elapsed()),
        }
    }
}

/// Returns the time of day in milliseconds since 1970.
///
/// It may step; used only for ages that outlive the process.
pub fn unix_ms() -> u64 {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Returns the current time.
///
/// Used for the ages of store data and of requests; everything else uses the runtime's clock.
pub fn now() -> freshness::BootTime {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    // The call fails only for an unknown clock, and all supported kernels have this one.
    let time = time.expect("the kernel has a boot-time clock");
    freshness::BootTime(time::Duration::from(time))
}
