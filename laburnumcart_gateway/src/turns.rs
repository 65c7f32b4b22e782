//! Turns of the tasks of a thread, beside one that could read without end.

use std::{
    pin,
    task, //
};

/// Bytes that are read in one turn.
const TURN_SIZE: usize = 4 << 10;

/// Turns of a connection that is read as fast as its peer sends.
///
/// hyper parses all that it can read before it returns, so that the timers of the connection itself
/// would wait as well.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// Bytes read in this turn.
    read: usize,
}

impl Turns {
    /// Waits for a turn to read.
    pub(crate) fn poll_turn(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if self.read < TURN_SIZE {
            return task::Poll::Ready(());
        }
        self.read = 0;
        // After a plain wake, dozens of turns could pass before the runtime looks at its timers.
        pin::pin!(tokio::task::yield_now()).poll(context)
    }

    /// Records that there is nothing to read, which ends the turn.
    pub(crate) fn record_wait(&mut self) {
        self.read = 0;
    }

    /// Records that bytes were read.
    pub(crate) fn record_read(&mut self, size: usize) {
        self.read += size;
    }
}
