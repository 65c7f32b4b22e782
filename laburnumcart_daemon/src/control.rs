//! Control thread: the single thread that owns a daemon's control state.

use std::{
    future,
    io,
    thread, //
};

use derive_more::{
    Display,
    Error, //
};

/// The control thread panicked.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the control thread panicked")]
pub struct Panicked;

/// A running control thread.
#[derive(Debug)]
pub struct Control<T> {
    thread: thread::JoinHandle<T>,
}

/// Runs `main` on a new thread with a current-thread runtime.
///
/// The future is created on that thread and need not be `Send`: control state has one owner and
/// needs no locks. Other threads read the snapshots that it publishes.
pub fn spawn<T, F>(main: impl FnOnce() -> F + Send + 'static) -> io::Result<Control<T>>
where
    T: Send + 'static,
    F: future::Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move { main().await })
    };
    let thread = thread::Builder::new().name("control".into()).spawn(run)?;
    Ok(Control { thread })
}

impl<T> Control<T> {
    /// Returns whether the thread has ended, without blocking.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Blocks the calling thread until the control thread has ended.
    pub fn join(self) -> Result<T, Panicked> {
        self.thread.join().map_err(|_| Panicked)
    }
}
