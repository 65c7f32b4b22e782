//! The one thread that owns a daemon's control state.

use std::{
    future,
    io,
    thread, //
};

use derive_more::{
    Display,
    Error, //
};

/// The control thread ended in a panic.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the control thread panicked")]
pub struct Panicked;

/// A running control thread.
#[derive(Debug)]
pub struct Control<T> {
    thread: thread::JoinHandle<T>,
}

/// Runs `main` on a thread of its own with a current-thread runtime.
///
/// The future is made on that thread and need not be `Send`: control state has one owner and no
/// locks; other threads read the snapshots that it publishes.
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
    /// Reports whether the thread has ended, without waiting.
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the thread to end; blocks the caller's thread.
    pub fn join(self) -> Result<T, Panicked> {
        self.thread.join().map_err(|_| Panicked)
    }
}
