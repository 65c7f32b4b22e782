//! What traffic threads read of the control state.

use std::sync;

use laburnumcart::{
    bundle,
    facts,
    id,
    suspects, //
};
use tokio::time;

/// Control state at one moment; replaced as a whole by the control thread.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether the target answers.
    pub ready: bool,
    /// Generation in force.
    pub generation: id::Generation,
    /// The target's service, once a bundle that has it is in force.
    pub service: Option<sync::Arc<bundle::Service>>,
    /// Facts to pass on.
    pub facts: facts::Table,
    /// Suspects that follow from the facts.
    pub suspects: sync::Arc<suspects::Suspects>,
}

impl Snapshot {
    /// Returns the protocol of the target.
    pub fn kind(&self) -> Option<bundle::Kind> {
        self.service.as_ref().map(|service| service.kind)
    }

    /// Returns the facts that changed since a version.
    pub fn changes(&self, since: facts::Version, now: time::Instant) -> facts::Facts {
        let mut facts = self.facts.changes(since, now).unwrap_or_default();
        // A generation that was only heard of is not in force here, and cannot be fetched here.
        facts.generation = self.generation;
        facts
    }
}
