//! Control state, which one thread owns, and the immutable views that traffic threads read.

pub mod rules;
pub mod thread;

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::id;

use crate::routes;

pub use rules::Rules;

/// Control state at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Bundle in force, if any.
    pub rules: Option<Arc<Rules>>,
    /// Whether instances with agents are known and each chosen agent was called once.
    pub agents_known: bool,
    /// Targets by service.
    pub routes: collections::BTreeMap<id::ServiceName, routes::Routes>,
}
