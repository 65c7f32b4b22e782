//! Control state of one thread, published as immutable views for the traffic threads.

pub mod rules;
pub mod thread;

use std::{
    collections,
    sync::Arc, //
};

use laburnumcart::id;

use crate::routes;

pub use rules::Rules;

/// Immutable view of the control state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Bundle in force, if any.
    pub rules: Option<Arc<Rules>>,
    /// Whether agents are listed and each one in the subsets was called once.
    pub agents_known: bool,
    /// Targets by service.
    pub routes: collections::BTreeMap<id::ServiceName, routes::Routes>,
}
