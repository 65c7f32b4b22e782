//! Lanes (series of connections to an agent) of fake entries in this process; they only send
//! heartbeats.

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

/// Heartbeat interval of an entry without attempts in flight.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Lanes that send heartbeats until they are dropped.
#[derive(Debug, Default)]
pub struct Lanes(tokio::task::JoinSet<()>);

impl Lanes {
    /// Opens a lane to the agent at `addr` and completes the handshake.
    ///
    /// # Panics
    ///
    /// Panics when the agent does not respond.
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
        client.hello(hello).await.expect("response to hello");
        self.0.spawn(send_heartbeats(client, session));
    }
}

async fn send_heartbeats(client: peer::Client, session: lane::Session) {
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        ticks.tick().await;
        let facts = None;
        let response = client
            .beat(agent::Heartbeat {
                session,
                peer: None,
                facts,
            })
            .await;
        response.expect("response to a heartbeat");
    }
}
