//! Choice of loopback ports at run time.

use std::{
    net,
    sync::{
        Mutex,
        PoisonError,
        atomic, //
    },
};

/// Ports below the range that the kernel hands to outgoing connections.
const FIRST: u16 = 12_000;
const LAST: u16 = 32_000;

static NEXT: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// UDP sockets on the ports that were given out, which keep other test processes from them.
static RESERVED: Mutex<Vec<net::UdpSocket>> = Mutex::new(Vec::new());

/// Returns a loopback address that nothing listens on.
///
/// The number comes from a counter with a random start, and is reserved by a UDP socket of the same
/// number for as long as this process lives, so that test runs side by side are not handed the same
/// one. It is not tried by listening on it: a process that another thread is just starting has a
/// copy of the socket until it runs its program, and would go on listening for that moment. The
/// port would be in use for whoever binds it next.
pub fn reserve_addr() -> net::SocketAddr {
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
        let Ok(reserved) = net::UdpSocket::bind(addr) else {
            continue;
        };
        if is_refused(addr) {
            let mut all = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            all.push(reserved);
            return addr;
        }
    }
}

/// Reports whether nothing accepts connections at an address.
fn is_refused(addr: net::SocketAddr) -> bool {
    let connected = net::TcpStream::connect(addr);
    connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
