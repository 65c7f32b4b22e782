//! Boot-time clock, which counts suspended time.

use std::time;

use laburnumcart::freshness;

/// Returns the current time.
///
/// Used for the ages of store data and of requests; everything else uses the runtime's clock.
pub fn now() -> freshness::BootTime {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    // The call fails only for an unknown clock, and all supported kernels have this one.
    let time = time.expect("the kernel has a boot-time clock");
    freshness::BootTime(time::Duration::from(time))
}
