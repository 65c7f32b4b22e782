//! What traffic threads read of the control state.

use laburnumcart::{
    bundle,
    facts, //
};

/// Control state at one moment; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether the target answers.
    pub ready: bool,
    /// Protocol of the target, once a bundle that has its service is in force.
    pub kind: Option<bundle::Kind>,
    /// Facts to pass on.
    pub facts: facts::Facts,
}
