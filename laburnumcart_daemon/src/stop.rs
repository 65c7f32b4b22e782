//! Graceful shutdown: `Running -> Draining -> Stopped`.
//!
//! Work enters through a [`Gate`] and holds a [`Work`] for as long as it is in flight. Draining
//! closes the gate and waits, within a bound, for the work that is left.

use std::{
    io,
    sync::{
        self,
        atomic, //
    }, //
};

use tokio::{
    signal::unix,
    sync::Notify,
    time, //
};

use laburnumcart::unit;

/// Waits for SIGTERM or SIGINT.
#[derive(Debug)]
pub struct Signals {
    term: unix::Signal,
    int: unix::Signal,
}

impl Signals {
    /// Starts to listen; signals from here on are not lost. Needs a runtime.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            term: unix::signal(unix::SignalKind::terminate())?,
            int: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal and returns its name.
    pub async fn next(&mut self) -> &'static str {
        tokio::select! {
            _ = self.term.recv() => "SIGTERM",
            _ = self.int.recv() => "SIGINT",
        }
    }
}

/// Bit of [`Shared::state`] that closes the gate; the rest counts the work, in steps of [`ONE`].
const CLOSED: usize = 1;
const ONE: usize = 2;

#[derive(Debug, Default)]
struct Shared {
    state: atomic::AtomicUsize,
    empty: Notify,
}

/// A process that accepts work.
#[derive(Debug, Default)]
pub struct Running {
    shared: sync::Arc<Shared>,
}

/// A process that accepts no more work and finishes what it has.
#[derive(Debug)]
pub struct Draining {
    shared: sync::Arc<Shared>,
}

/// A process whose work has ended, or whose bound on waiting for it has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Work that was still in flight when the bound passed; 0 for a graceful shutdown.
    pub unfinished: usize,
}

/// Where work enters; shared by all threads.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: sync::Arc<Shared>,
}

/// A piece of work in flight, until it is dropped.
#[derive(Debug)]
pub struct Work {
    shared: sync::Arc<Shared>,
}

impl Running {
    /// Creates a process without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the gate for the threads that accept work.
    pub fn gate(&self) -> Gate {
        Gate {
            shared: self.shared.clone(),
        }
    }

    /// Closes the gate.
    pub fn drain(self) -> Draining {
        self.shared.state.fetch_or(CLOSED, atomic::Ordering::AcqRel);
        Draining {
            shared: self.shared,
        }
    }
}

impl Gate {
    /// Lets a piece of work in, unless the process is draining.
    ///
    /// The check and the count are one step: work that were let in between the two would be cut
    /// off by an exit that has counted none.
    pub fn enter(&self) -> Option<Work> {
        let open = |state: usize| (state & CLOSED == 0).then_some(state + ONE);
        self.shared
            .state
            .fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, open)
            .ok()
            .map(|_| Work {
                shared: self.shared.clone(),
            })
    }

    /// Reports whether the process refuses new work.
    pub fn is_closed(&self) -> bool {
        self.shared.state.load(atomic::Ordering::Acquire) & CLOSED != 0
    }

    /// Returns how many pieces of work are in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.count()
    }
}

impl Shared {
    fn count(&self) -> usize {
        self.state.load(atomic::Ordering::Acquire) / ONE
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let before = self.shared.state.fetch_sub(ONE, atomic::Ordering::AcqRel);
        if before == ONE | CLOSED {
            self.shared.empty.notify_waiters();
        }
    }
}

impl Draining {
    /// Returns how many pieces of work are in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.count()
    }

    /// Waits until no work is left, at most for `limit`.
    pub async fn wait(self, limit: unit::Period) -> Stopped {
        // A timeout is not an error here: `left` tells of it.
        let _ = time::timeout(limit.0, self.empty()).await;
        Stopped {
            unfinished: self.in_flight(),
        }
    }

    async fn empty(&self) {
        loop {
            let notified = self.shared.empty.notified();
            tokio::pin!(notified);
            // Registered before the count is read, or the last piece of work could end in between
            // and its notice would be missed.
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}
