//! Graceful shutdown: `Running -> Draining -> Stopped`.
//!
//! A [`Gate`] admits work and returns a [`Work`] guard, which is held while the work is in flight.
//! Draining closes the gate and waits, up to a limit, for the work in flight.

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

/// Listener for SIGTERM and SIGINT.
#[derive(Debug)]
pub struct Signals {
    term: unix::Signal,
    int: unix::Signal,
}

impl Signals {
    /// Starts to listen; later signals are queued until [`next`](Self::next). Must be called in a
    /// tokio runtime.
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

/// Bit of [`Shared::state`] that marks the gate as closed; the higher bits count the work.
const CLOSED: usize = 1;

/// Increment of [`Shared::state`] for each piece of work in flight.
const WORK_UNIT: usize = 2;

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

/// A process that accepts no new work and finishes the work in flight.
#[derive(Debug)]
pub struct Draining {
    shared: sync::Arc<Shared>,
}

/// A process whose work has ended, or whose drain limit has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Pieces of work still in flight when the limit passed; 0 after a graceful shutdown.
    pub unfinished: usize,
}

/// Admission of work; clones share it between threads.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: sync::Arc<Shared>,
}

/// Guard of a piece of work, which counts as in flight until the guard is dropped.
#[derive(Debug)]
pub struct Work {
    shared: sync::Arc<Shared>,
}

impl Running {
    /// Creates a process with an open gate and no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the gate that admits work.
    pub fn gate(&self) -> Gate {
        Gate {
            shared: self.shared.clone(),
        }
    }

    /// Closes the gate and starts to drain.
    pub fn drain(self) -> Draining {
        self.shared.state.fetch_or(CLOSED, atomic::Ordering::AcqRel);
        Draining {
            shared: self.shared,
        }
    }
}

impl Gate {
    /// Admits a piece of work, or returns `None` if the process is draining.
    ///
    /// The check and the count are one atomic step. Work admitted between the two would be cut off
    /// by a process that has counted no work and exits.
    pub fn enter(&self) -> Option<Work> {
        let admit = |state: usize| (state & CLOSED == 0).then_some(state + WORK_UNIT);
        self.shared
            .state
            .fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, admit)
            .ok()
            .map(|_| Work {
                shared: self.shared.clone(),
            })
    }

    /// Returns whether the process refuses new work.
    pub fn is_closed(&self) -> bool {
        self.shared.state.load(atomic::Ordering::Acquire) & CLOSED != 0
    }

    /// Returns the number of pieces of work in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.count()
    }
}

impl Shared {
    fn count(&self) -> usize {
        self.state.load(atomic::Ordering::Acquire) / WORK_UNIT
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let before = self
            .shared
            .state
            .fetch_sub(WORK_UNIT, atomic::Ordering::AcqRel);
        if before == WORK_UNIT | CLOSED {
            self.shared.empty.notify_waiters();
        }
    }
}

impl Draining {
    /// Returns the number of pieces of work in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.count()
    }

    /// Waits until no work is in flight, for at most `limit`.
    pub async fn wait(self, limit: unit::Period) -> Stopped {
        // A timeout is reported as `unfinished` work.
        let _ = time::timeout(limit.0, self.wait_empty()).await;
        Stopped {
            unfinished: self.in_flight(),
        }
    }

    async fn wait_empty(&self) {
        loop {
            let notified = self.shared.empty.notified();
            tokio::pin!(notified);
            // Registered before the count is read. Otherwise the last piece of work could end in
            // between and its notification would be lost.
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}
