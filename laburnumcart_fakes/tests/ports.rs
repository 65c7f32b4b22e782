//! Choice of free ports for processes that start later.

use std::{
    net,
    process,
    sync::atomic,
    thread, //
};

use laburnumcart_fakes::port;

/// Ports that each thread reserves.
const PORTS_PER_THREAD: usize = 100;

// A forked child holds copies of all listeners until exec, so probing by listening breaks the bind.
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
            for _ in 0..PORTS_PER_THREAD {
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
