//! Heartbeats to one agent, and the reports in its answers.

use std::{
    net,
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwapOption;
use tokio::time;

use laburnumcart_wire::agent::{
    self,
    AgentClient, //
};

use crate::{
    gossip,
    links, //
};

/// Sends heartbeats to an agent and stores its latest report.
#[derive(Debug)]
pub(super) struct Monitor {
    pub(super) addr: net::SocketAddr,
    /// Address of this process's peer port.
    pub(super) peer: net::SocketAddr,
    /// Time after which an unanswered heartbeat counts as missed.
    pub(super) timeout: time::Duration,
    pub(super) gossip: Arc<gossip::Gossip>,
    pub(super) last_report: ArcSwapOption<links::ReceivedReport>,
    pub(super) in_flight: Arc<AtomicU32>,
}

/// Outcome of a heartbeat.
pub(super) enum Outcome {
    /// The agent answered in time.
    Answered,
    /// There was no answer within the timeout.
    Missed,
    /// The connection has ended, or another process answers on it.
    Ended,
}

impl Monitor {
    pub(super) fn record_report(&self, report: agent::Report, min_rtt: Option<time::Duration>) {
        self.gossip.merge(&report.facts, self.addr);
        self.last_report.store(Some(Arc::new(links::ReceivedReport {
            report,
            received_at: time::Instant::now(),
            own_in_flight: self.in_flight.load(Ordering::Relaxed),
            min_rtt,
        })));
    }

    /// Sends a heartbeat and records the report in its answer, even if the answer is late.
    ///
    /// An agent sends each fact of the gossip only once per connection. The facts in a dropped
    /// answer would thus be missing here until the next connection.
    pub(super) async fn send(
        self: &Arc<Self>,
        connection: &Arc<links::Connection>,
        beat: agent::Heartbeat,
    ) -> Outcome {
        let (monitor, connection) = (self.clone(), connection.clone());
        let task = tokio::spawn(async move {
            let sent_at = time::Instant::now();
            let answer = tokio::select! {
                answer = connection.client.beat(beat) => answer,
                // A pending heartbeat must not keep a connection open that the lane has closed.
                () = connection.closed() => return Outcome::Ended,
            };
            match answer {
                // Another process answers at this address.
                Ok(report) if report.incarnation != connection.incarnation => Outcome::Ended,
                Ok(report) => {
                    let min_rtt = connection.record_rtt(sent_at.elapsed());
                    monitor.record_report(report, min_rtt);
                    Outcome::Answered
                }
                Err(_) => Outcome::Ended,
            }
        });
        match time::timeout(self.timeout, task).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Outcome::Ended,
            Err(_) => Outcome::Missed,
        }
    }
}
