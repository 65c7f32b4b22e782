//! Reservation of loopback ports at run time.

use std::{
    net,
    sync::{
        Mutex,
        PoisonError,
        atomic, //
    },
};

/// First port; the range lies below the ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 12_000;
/// End of the range, exclusive.
const END_PORT: u16 = 32_000;

static NEXT_OFFSET: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// UDP sockets that keep the reserved ports from other test processes.
static RESERVED: Mutex<Vec<net::UdpSocket>> = Mutex::new(Vec::new());

/// Reserves a loopback address that nothing listens on.
///
/// The port comes from a counter with a random start. A UDP socket holds the same port until this
/// process ends, so that concurrent test runs do not get it. The check does not listen on the port:
/// a child process that another thread is forking would hold a copy of the listener until it calls
/// exec, and the next bind would fail with "address in use".
pub fn reserve_addr() -> net::SocketAddr {
    let _ = NEXT_OFFSET.compare_exchange(
        0,
        rand::random_range(FIRST_PORT..END_PORT),
        atomic::Ordering::Relaxed,
        atomic::Ordering::Relaxed,
    );
    loop {
        let next = NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed);
        let port = FIRST_PORT + next % (END_PORT - FIRST_PORT);
        let addr = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port));
        let Ok(reserved) = net::UdpSocket::bind(addr) else {
            continue;
        };
        if is_unused(addr) {
            let mut all = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            all.push(reserved);
            return addr;
        }
    }
}

/// Returns whether connections to an address are refused.
fn is_unused(addr: net::SocketAddr) -> bool {
    let connected = net::TcpStream::connect(addr);
    connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
