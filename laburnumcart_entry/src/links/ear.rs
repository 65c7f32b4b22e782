//! Reports of one agent, as they come on heartbeats.

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

/// Takes in an agent's reports.
#[derive(Debug)]
pub(super) struct Ear {
    pub(super) addr: net::SocketAddr,
    /// Address of this process's peer port.
    pub(super) peer: net::SocketAddr,
    /// Time after which a heartbeat counts as missed.
    pub(super) answer: time::Duration,
    pub(super) gossip: Arc<gossip::Gossip>,
    pub(super) seen: ArcSwapOption<links::Seen>,
    pub(super) running: Arc<AtomicU32>,
}

/// What came of a heartbeat.
pub(super) enum Heard {
    /// The agent has answered.
    Live,
    /// No answer came in time.
    Missed,
    /// The connection is of no use any more.
    Ended,
}

impl Ear {
    pub(super) fn note(&self, report: agent::Report, trip: Option<time::Duration>) {
        self.gossip.merge(&report.facts, self.addr);
        self.seen.store(Some(Arc::new(links::Seen {
            report,
            at: time::Instant::now(),
            own: self.running.load(Ordering::Relaxed),
            trip,
        })));
    }

    /// Sends a heartbeat and takes in its answer, also when that comes late.
    ///
    /// An agent sends each fact once over a connection. Were a late answer dropped, its facts would
    /// not be known here before the next connection.
    pub(super) async fn beat(
        self: &Arc<Self>,
        connection: &Arc<links::Connection>,
        beat: agent::Heartbeat,
    ) -> Heard {
        let (ear, connection) = (self.clone(), connection.clone());
        let task = tokio::spawn(async move {
            let begun = time::Instant::now();
            let answer = tokio::select! {
                answer = connection.client.beat(beat) => answer,
                // A connection that is given up must not be kept open by a question.
                () = connection.closed() => return Heard::Ended,
            };
            match answer {
                // Another process answers at the same address.
                Ok(report) if report.incarnation != connection.incarnation => Heard::Ended,
                Ok(report) => {
                    let trip = connection.record(begun.elapsed());
                    ear.note(report, trip);
                    Heard::Live
                }
                Err(_) => Heard::Ended,
            }
        });
        match time::timeout(self.answer, task).await {
            Ok(Ok(heard)) => heard,
            Ok(Err(_)) => Heard::Ended,
            Err(_) => Heard::Missed,
        }
    }
}
