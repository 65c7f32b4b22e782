//! RPC server of the peer port, for other processes of the system.

pub mod pool;

use std::sync::Arc;

use jsonrpsee::core::{
    RpcResult,
    async_trait, //
};

use laburnumcart::{
    id,
    unit,
    verdict, //
};
use laburnumcart_wire::{
    agent,
    entry::{
        self,
        EntryServer, //
    },
};

use crate::entry as shared;

/// Maximum time that one call waits for an answer.
const WAIT_MAX: unit::Period = unit::Period::from_secs(10);

/// RPC server of the peer port.
#[derive(Clone, Debug)]
pub struct Server {
    entry: Arc<shared::Entry>,
}

impl Server {
    /// Creates the server.
    pub fn new(entry: Arc<shared::Entry>) -> Self {
        Self { entry }
    }

    fn current_status(&self) -> entry::Status {
        let view = self.entry.view.load();
        let lanes = view.routes.values().flat_map(|routes| routes.lanes());
        let open = lanes.filter(|lane| lane.connection().is_some()).count();
        let generation = self.entry.gossip.feed().generation();
        entry::Status {
            instance: self.entry.identity.instance.clone(),
            data_centre: self.entry.identity.data_centre.clone(),
            incarnation: self.entry.identity.incarnation,
            generation,
            leaving: self.entry.is_leaving(),
            running: self.entry.gate.in_flight().try_into().unwrap_or(u32::MAX),
            agents: open.try_into().unwrap_or(u32::MAX),
            facts: self.entry.gossip.all(),
        }
    }
}

#[async_trait]
impl EntryServer for Server {
    async fn status(&self) -> RpcResult<entry::Status> {
        Ok(self.current_status())
    }

    async fn drain(&self) -> RpcResult<entry::Status> {
        self.entry.leave();
        Ok(self.current_status())
    }

    async fn claim(&self, claim: entry::Claim) -> RpcResult<entry::Decision> {
        let refusal = verdict::Refusal::not_run(verdict::Reason::ClaimUnavailable);
        Ok(match self.entry.claims() {
            Some(claims) => claims.serve_claim(claim).await,
            None => entry::Decision::Refused(refusal),
        })
    }

    async fn release(&self, release: entry::Release) -> RpcResult<bool> {
        Ok(match self.entry.claims() {
            Some(claims) => claims.serve_release(release).await,
            None => false,
        })
    }

    async fn fetch(&self, fetch: entry::Fetch) -> RpcResult<entry::Answer> {
        if fetch.incarnation != self.entry.identity.incarnation {
            return Ok(entry::Answer::Unknown);
        }
        let wait = fetch.wait.min(WAIT_MAX);
        Ok(self.entry.answers.fetch(fetch.request, wait.0).await)
    }

    async fn bundle(&self, least: id::Generation) -> RpcResult<Option<agent::SignedBundle>> {
        Ok(self.entry.gossip.feed().signed_bundle(least))
    }
}
