//! Sends to targets, and what the heads of their answers say.
//!
//! Requests, calls of stages and the freeing of results all go through here, so that what a target
//! says of itself is read whatever it answers.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;

use crate::{
    dialect,
    limits,
    metrics,
    pool,
    view, //
};

/// An answer whose head has come.
pub struct Received {
    /// Answer.
    pub answer: pool::Answer,
    /// What its head says.
    pub reply: dialect::Reply,
}

/// Sends to targets.
pub struct Outbound {
    /// Connections to targets.
    pub pool: Arc<pool::Pool>,
    /// Rates that targets have named.
    pub limits: limits::Limits,
    dialect: Arc<dyn dialect::Dialect>,
}

impl Outbound {
    /// Creates an outbound side without connections.
    pub fn new(dialect: Arc<dyn dialect::Dialect>, metrics: &metrics::Metrics) -> Arc<Self> {
        Arc::new(Self {
            pool: Arc::default(),
            limits: limits::Limits::new(metrics),
            dialect,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future closes the connection, so that the target stops its work.
    pub async fn send(
        &self,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &pool::Bounds,
    ) -> Result<Received, pool::Failure> {
        self.limits.count(target);
        let answer = self.pool.send(target, request, bounds).await?;
        let reply = self.dialect.reply(&answer.head);
        // Another target's answer, from an address that it has taken over, says nothing of this one.
        if !reply.misdirected {
            self.limits.note(target, reply.limit);
        }
        Ok(Received { answer, reply })
    }
}
