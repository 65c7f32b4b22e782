//! State shared by the threads of an entry, the process that accepts requests of callers.

use std::{
    net,
    sync::{
        Arc,
        OnceLock, //
    },
};

use arc_swap::ArcSwap;
use tokio::{
    runtime,
    sync::watch, //
};

use laburnumcart::{
    claim,
    id, //
};
use laburnumcart_daemon::{
    bundle,
    stop, //
};

use crate::{
    answers,
    at_most_once,
    control,
    gossip,
    metrics,
    policy, //
};

/// Identity of this process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name from the settings.
    pub instance: id::InstanceName,
    /// Data centre from the settings.
    pub data_centre: id::DataCentre,
    /// Address of the peer port.
    pub peer: net::SocketAddr,
    /// Random number of this run of the process.
    pub incarnation: id::Incarnation,
}

/// State shared by the threads of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Identity of this process.
    pub identity: Identity,
    /// Rules and routes, last published by the control thread; traffic threads only read them.
    pub view: ArcSwap<control::View>,
    /// Final answers of claimed requests.
    pub answers: Arc<answers::Answers>,
    /// Crashes, cleared content and leaving processes, replicated by gossip on heartbeats.
    pub gossip: Arc<gossip::Gossip>,
    /// Admission, routing and retry decisions.
    pub policy: Arc<policy::Policy>,
    /// Metrics of this entry.
    pub metrics: metrics::Metrics,
    /// Counts requests in flight, and admits none after it was closed.
    pub gate: stop::Gate,
    /// Runtime of the tasks that execute requests and serve the lanes to agents.
    pub traffic: runtime::Handle,
    claims: OnceLock<Arc<dyn at_most_once::Claims>>,
    leave: watch::Sender<bool>,
}

impl Entry {
    /// Creates the state of an entry; `feed` holds the bundle, the signed configuration in force.
    pub fn new(
        identity: Identity,
        feed: bundle::Feed,
        gate: stop::Gate,
        traffic: runtime::Handle,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            view: ArcSwap::default(),
            answers: Arc::default(),
            claims: OnceLock::new(),
            gossip: Arc::new(gossip::Gossip::new(feed)),
            policy: Arc::default(),
            metrics: metrics::Metrics::default(),
            gate,
            traffic,
            leave: watch::channel(false).0,
        })
    }

    /// Sets the claim service; has an effect only the first time.
    pub fn set_claims(&self, claims: Arc<dyn at_most_once::Claims>) {
        // A second service would run a second task for each shard.
        let _ = self.claims.set(claims);
    }

    /// Returns the claim service, if set.
    pub fn claims(&self) -> Option<Arc<dyn at_most_once::Claims>> {
        self.claims.get().cloned()
    }

    /// Returns this process as the holder of claims.
    pub fn holder(&self) -> claim::Holder {
        claim::Holder {
            addr: self.identity.peer,
            incarnation: self.identity.incarnation,
        }
    }

    /// Requests a graceful shutdown.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// Waits until a graceful shutdown is requested.
    pub async fn wait_leaving(&self) {
        let mut leave = self.leave.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = leave.wait_for(|leave| *leave).await;
    }

    /// Returns whether the entry refuses new requests or is about to.
    pub fn is_leaving(&self) -> bool {
        *self.leave.borrow() || self.gate.is_closed()
    }
}
