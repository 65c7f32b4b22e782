//! Sends to targets, and what the heads of their answers say.
//!
//! Requests, calls of stages and the freeing of results all go through here, so that what a target
//! says of itself is read whatever it answers.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::Request;
use tokio::time::Instant;

use laburnumcart::quota;

use crate::{
    dialect,
    pool,
    quotas,
    view, //
};

/// Time for which a target is left alone at whose address another one answers.
///
/// Refusing costs that one little, so that the address seems idle until its entry is removed.
const MISDIRECTED: time::Duration = time::Duration::from_secs(1);

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
    /// What targets take.
    pub quotas: Arc<quotas::Quotas>,
    dialect: Arc<dyn dialect::Dialect>,
}

impl Outbound {
    /// Creates an outbound side without connections.
    pub fn new(dialect: Arc<dyn dialect::Dialect>, quotas: Arc<quotas::Quotas>) -> Arc<Self> {
        Arc::new(Self {
            pool: Arc::default(),
            quotas,
            dialect,
        })
    }

    /// Sends a request and waits for the head of its answer; a target that echoes `label` answers
    /// this request and no other.
    ///
    /// Dropping the future closes the connection, so that the target stops its work.
    pub async fn send(
        &self,
        target: &view::Target,
        request: Request<Bytes>,
        bounds: &pool::Bounds,
        label: Option<&str>,
    ) -> Result<Received, pool::Failure> {
        let sent = Instant::now();
        self.quotas.count(target);
        let is_open = || !self.quotas.is_closed(target);
        let answer = self.pool.send_if(target, request, bounds, is_open).await?;
        let reply = self.dialect.reply(&answer.head);
        // Another target's answer, from an address that it has taken over, says nothing of this one but
        // that it is not there.
        if reply.misdirected {
            self.quotas.back_off(target, MISDIRECTED);
        } else {
            let echoed = |label| reply.attempt.as_deref().is_none_or(|echo| echo == label);
            let word = quota::Observation {
                limit: reply.limit,
                trusted: answer.head.status.is_success() && label.is_some_and(echoed),
                sent,
            };
            self.quotas.note(target, word);
            if reply.leaving {
                self.quotas.leave(target);
            }
            if let Some(wait) = reply.backoff {
                self.quotas.back_off(target, wait);
            }
        }
        Ok(Received { answer, reply })
    }
}
