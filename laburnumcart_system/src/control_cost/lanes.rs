//! Lanes of entries in this process that only send heartbeats.

use std::{
    net,
    time, //
};

use laburnumcart::{
    facts,
    id, //
};
use laburnumcart_wire::{
    agent::{
        self,
        AgentClient, //
    },
    lane,
    peer, //
};

use crate::fleet;

/// Time between two heartbeats of an entry without attempts in flight.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Lanes that beat until they are dropped.
#[derive(Debug, Default)]
pub struct Lanes(tokio::task::JoinSet<()>);

impl Lanes {
    /// Opens a lane to the agent at `addr` and returns when it was greeted.
    ///
    /// # Panics
    ///
    /// Panics when the agent does not answer.
    pub async fn open(&mut self, addr: net::SocketAddr, number: usize) {
        let secret = fleet::SECRET.parse().expect("secret");
        let limits = peer::Limits::default();
        let client = peer::connect(addr, &secret, &limits).await;
        let client = client.expect("connection to the agent");
        let session = lane::Session {
            lane: id::Incarnation::random(),
            number: 1,
        };
        let hello = agent::Hello {
            instance: format!("fake-{number}").parse().expect("name"),
            session,
            peer: None,
            facts: facts::Facts::default(),
        };
        client.hello(hello).await.expect("answer to hello");
        self.0.spawn(beat(client, session));
    }
}

async fn beat(client: peer::Client, session: lane::Session) {
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        ticks.tick().await;
        let facts = None;
        let answer = client
            .beat(agent::Heartbeat {
                session,
                peer: None,
                facts,
            })
            .await;
        answer.expect("answer to a heartbeat");
    }
}
