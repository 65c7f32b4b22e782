//! HTTP gateway: ingress by host and path, batched stages, model engines and plain services.
//!
//! The crate is independent of the platform: header names, the form of calls to targets and the
//! contents of the store are supplied by a [`dialect::Dialect`] and a [`dialect::StoreLayout`].

pub mod admission;
pub mod balancer;
pub mod budgets;
pub mod clock;
pub mod control;
pub mod crashes;
pub mod dialect;
pub mod dispatcher;
pub mod durations;
pub mod engines;
pub mod forward;
pub mod gateway;
pub mod held;
pub mod http_server;
pub mod metrics;
pub mod origins;
pub mod outbound;
pub mod paces;
pub mod peers;
pub mod pipeline;
pub mod pool;
pub mod quotas;
pub mod relay;
pub mod reply;
pub mod request;
pub mod route;
pub mod run;
pub mod settings;
pub mod starvation;
pub mod state;
pub mod stream;
mod turns;
pub mod view;
