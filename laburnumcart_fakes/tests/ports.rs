//! Ports for processes that are started later.

use std::{
    net,
    process,
    sync::atomic,
    thread, //
};

use laburnumcart_fakes::port;

/// Ports that each thread asks for.
const PORTS: usize = 100;

// A test asks for a port and binds it, or lets a process bind it, while others start processes. A
// process that is being started has copies of all descriptors until it runs its program. Were the
// port looked for by listening on it, such a copy would go on listening for a moment, and the bind
// would fail with "address in use": a process of the fleet would end, and its test wait in vain.
#[test]
fn a_port_can_be_bound_while_processes_start() {
    let done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !done.load(atomic::Ordering::Relaxed) {
                    process::Command::new("true").status().unwrap();
                }
            });
        }
        let bind = || {
            for _ in 0..PORTS {
                let addr = port::reserve_addr();
                net::TcpListener::bind(addr).unwrap_or_else(|e| panic!("{addr}: {e}"));
            }
        };
        let binders: Vec<_> = (0..4).map(|_| scope.spawn(bind)).collect();
        let ended: Vec<_> = binders
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect();
        done.store(true, atomic::Ordering::Relaxed);
        assert!(ended.iter().all(Result::is_ok));
    });
}

#[test]
fn no_port_is_given_twice() {
    let ports: std::collections::HashSet<_> = (0..200).map(|_| port::reserve_addr()).collect();
    assert_eq!(ports.len(), 200);
}
