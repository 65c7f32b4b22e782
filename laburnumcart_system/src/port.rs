//! Choice of loopback ports at run time.

use std::{
    net,
    sync::atomic, //
};

/// Ports below the range that the kernel hands to outgoing connections.
const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;

static NEXT: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a loopback address that nothing listens on.
///
/// The number comes from a counter with a random start, so that neither tests in one process nor
/// test runs side by side are handed the same one.
pub fn free() -> net::SocketAddr {
    let _ = NEXT.compare_exchange(
        0,
        rand::random_range(FIRST..LAST),
        atomic::Ordering::Relaxed,
        atomic::Ordering::Relaxed,
    );
    loop {
        let next = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST + next % (LAST - FIRST);
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        if net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
