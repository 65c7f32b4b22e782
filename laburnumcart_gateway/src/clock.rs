//! Clock that goes on while the instance is suspended.

use std::time;

use laburnumcart::freshness;

/// Returns the present moment.
///
/// Used for the age of knowledge and of requests; everything else takes the runtime's clock.
pub fn now() -> freshness::BootTime {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    // The call cannot fail for a clock that the kernel has; all supported kernels have this one.
    let time = time.expect("the kernel has a boot-time clock");
    freshness::BootTime(time::Duration::from(time))
}
