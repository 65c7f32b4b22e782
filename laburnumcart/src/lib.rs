//! Coordination and scheduling of multi-stage model pipelines, as state machines without I/O.
//!
//! Nothing in this crate opens a socket or spawns a task. The time is passed as an argument or
//! taken from the runtime's clock, so that tests can pause and advance it.

pub mod admission;
pub mod attempt;
pub mod attempts;
pub mod balancer;
pub mod batch;
pub mod budget;
pub mod bundle;
pub mod claim;
pub mod concurrency;
pub mod connection;
pub mod document;
pub mod estimate;
pub mod evacuation;
pub mod event;
pub mod facts;
pub mod fair;
pub mod fleet_budget;
pub mod forecast;
pub mod freshness;
pub mod head;
pub mod hedge;
pub mod held;
pub mod id;
pub mod ingress;
pub mod lanes;
pub mod orders;
pub mod origin;
pub mod outlier;
pub mod owners;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod poison;
pub mod quota;
pub mod readers;
pub mod rendezvous;
pub mod residency;
pub mod retry;
pub mod shedding;
pub mod signing;
pub mod speed;
pub mod sse;
pub mod starvation;
pub mod subset;
pub mod suspects;
pub mod unit;
pub mod unsettled;
pub mod verdict;
