//! Snapshot of the control state, published for the traffic threads.

use std::sync;

use laburnumcart::{
    bundle,
    facts,
    id,
    suspects, //
};
use tokio::time;

/// Immutable control state; the control thread replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether the target answers.
    pub ready: bool,
    /// Generation of the current bundle.
    pub generation: id::Generation,
    /// Service of the target, if the current bundle has it.
    pub service: Option<sync::Arc<bundle::Service>>,
    /// Facts to send to peers.
    pub facts: facts::Table,
    /// Suspects, derived from the facts.
    pub suspects: sync::Arc<suspects::Suspects>,
}

impl Snapshot {
    /// Returns the kind of the target's service, which decides the protocol.
    pub fn service_kind(&self) -> Option<bundle::Kind> {
        self.service.as_ref().map(|service| service.kind)
    }

    /// Returns the facts that changed since a version.
    pub fn changes(&self, since: facts::Version, now: time::Instant) -> facts::Facts {
        let mut facts = self.facts.changes(since, now).unwrap_or_default();
        // Peers fetch the generation that an agent reports. One that is known from other peers'
        // facts only is not available here.
        facts.generation = self.generation;
        facts
    }
}
