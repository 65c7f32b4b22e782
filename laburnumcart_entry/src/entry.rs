//! What the threads of one entry share.

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

/// Who this process is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name from the settings.
    pub instance: id::InstanceName,
    /// Data centre from the settings.
    pub data_centre: id::DataCentre,
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
    pub answers: Arc<answers::Answers>,
    /// Facts that travel on heartbeats.
    pub gossip: Arc<gossip::Gossip>,
    /// Decisions on requests and attempts.
    pub policy: Arc<policy::Policy>,
    /// Counters.
    pub metrics: metrics::Metrics,
    /// Where requests enter.
    pub gate: stop::Gate,
    /// Runtime of the drivers and lanes.
    pub traffic: runtime::Handle,
    claims: OnceLock<Arc<dyn at_most_once::Claims>>,
    leave: watch::Sender<bool>,
}

impl Entry {
    /// Creates the state of an entry that has no bundle yet.
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

    /// Sets the claims service, once.
    pub fn set_claims(&self, claims: Arc<dyn at_most_once::Claims>) {
        // Set once at the start; a second one would split the shards' tasks in two.
        let _ = self.claims.set(claims);
    }

    /// Returns the claims service.
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

    /// Asks for a graceful shutdown.
    pub fn leave(&self) {
        self.leave.send_replace(true);
    }

    /// Waits until a graceful shutdown was asked for.
    pub async fn wait_leaving(&self) {
        let mut leave = self.leave.subscribe();
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = leave.wait_for(|leave| *leave).await;
    }

    /// Reports whether new requests are refused, now or at once.
    pub fn is_leaving(&self) -> bool {
        *self.leave.borrow() || self.gate.is_closed()
    }
}
