//! What the threads of one entry share.

use std::{
    net,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwap;
use tokio::{
    runtime,
    sync, //
};

use laburnumcart::id;

use crate::{
    answers,
    control, //
};

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name from the settings.
    pub instance: id::InstanceName,
    /// Data centre from the settings.
    pub zone: id::DataCentre,
    /// Address of the peer port.
    pub peer: net::SocketAddr,
    /// Life of this process.
    pub incarnation: id::Incarnation,
}

/// State that is shared between the threads of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Who this process is.
    pub identity: Identity,
    /// Control state as last published; traffic threads only read it.
    pub view: ArcSwap<control::View>,
    /// Final answers of claimed requests.
    pub answers: answers::Answers,
    /// Runtime of the drivers and lanes.
    pub traffic: runtime::Handle,
    leaving: AtomicBool,
    running: AtomicU32,
    idle: sync::Notify,
}

impl Entry {
    /// Creates the state of an entry that has no bundle yet.
    pub fn new(identity: Identity, traffic: runtime::Handle) -> Arc<Self> {
        Arc::new(Self {
            identity,
            view: ArcSwap::default(),
            answers: answers::Answers::default(),
            traffic,
            leaving: AtomicBool::new(false),
            running: AtomicU32::new(0),
            idle: sync::Notify::new(),
        })
    }

    /// Returns whether new requests are refused.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.idle.notify_waiters();
    }

    /// Counts a request in; `None` when the entry is leaving.
    pub fn enter(self: &Arc<Self>) -> Option<Running> {
        // Counted before the flag is read: a stop that finds no request in flight has then set the
        // flag already, so that a request which comes in between is refused and none is cut off.
        self.running.fetch_add(1, Ordering::SeqCst);
        let guard = Running(self.clone());
        (!self.is_leaving()).then_some(guard)
    }

    /// Waits until no request is in flight.
    pub async fn drained(&self) {
        loop {
            let mut idle = std::pin::pin!(self.idle.notified());
            idle.as_mut().enable();
            if self.running() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// A request in flight; counted out when dropped.
#[derive(Debug)]
pub struct Running(Arc<Entry>);

impl Drop for Running {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
