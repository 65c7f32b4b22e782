//! Fetches of bundles from other processes.

use std::{
    future,
    net, //
};

use derive_more::{
    Display,
    Error, //
};
use jsonrpsee::{
    core::client,
    types::error, //
};

use laburnumcart::id;
use laburnumcart_wire::{
    agent::{
        self,
        AgentClient, //
    },
    entry::EntryClient,
    peer,
    secret, //
};

/// Failed fetch from a peer.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("peer did not answer: {cause}")]
pub struct PeerError {
    /// Cause reported by the connection or the call.
    #[error(not(source))]
    pub cause: String,
}

/// Client for the bundles of other processes.
pub trait Peers: Send + Sync + 'static {
    /// Returns the bundle of the process at `peer`, if its generation is at least `least`.
    fn fetch(
        &self,
        peer: net::SocketAddr,
        least: id::Generation,
    ) -> impl future::Future<Output = Result<Option<agent::SignedBundle>, PeerError>> + Send;
}

/// Client that opens a connection for each fetch, as fetches are rare.
#[derive(Clone, Debug)]
pub struct RpcPeers {
    secret: secret::Secret,
    limits: peer::Limits,
}

impl RpcPeers {
    /// Creates a client that authenticates with this secret.
    pub fn new(secret: secret::Secret) -> Self {
        Self {
            secret,
            limits: peer::Limits::default(),
        }
    }
}

impl Peers for RpcPeers {
    async fn fetch(
        &self,
        addr: net::SocketAddr,
        least: id::Generation,
    ) -> Result<Option<agent::SignedBundle>, PeerError> {
        let client = peer::connect(addr, &self.secret, &self.limits).await;
        let client = client.map_err(|e| peer_error(&e))?;
        match EntryClient::bundle(&client, least).await {
            // The address does not say whether the peer is an agent or an entry.
            Err(e) if is_unknown_method(&e) => AgentClient::bundle(&client, least).await,
            other => other,
        }
        .map_err(|e| peer_error(&e))
    }
}

fn is_unknown_method(error: &client::Error) -> bool {
    let code = error::ErrorCode::MethodNotFound.code();
    matches!(error, client::Error::Call(e) if e.code() == code)
}

fn peer_error(cause: &impl std::fmt::Display) -> PeerError {
    PeerError {
        cause: cause.to_string(),
    }
}
