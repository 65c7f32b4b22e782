//! RPC client for the entries and agents of the fleet.

use std::net;

use jsonrpsee::{
    core::client,
    types::error as code, //
};
use serde::Serialize;

use laburnumcart::{
    facts,
    id, //
};
use laburnumcart_daemon::settings;
use laburnumcart_wire::{
    agent::{
        self,
        AgentClient, //
    },
    entry::{
        self,
        EntryClient, //
    },
    lane,
    peer, //
};

use crate::error;

/// State that a process reports.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum State {
    /// State of an entry.
    Entry(entry::Status),
    /// State of an agent.
    Agent(agent::Report),
}

impl State {
    /// Returns the generation of the bundle in force in the process.
    pub fn generation(&self) -> id::Generation {
        match self {
            Self::Entry(status) => status.generation,
            Self::Agent(report) => report.facts.generation,
        }
    }
}

/// A connection to one process.
pub struct Process {
    addr: net::SocketAddr,
    client: peer::Client,
}

impl Process {
    /// Connects to a process and authenticates with the secret of the fleet.
    pub async fn connect(
        addr: net::SocketAddr,
        fleet: &settings::Fleet,
    ) -> Result<Self, error::Error> {
        let secret = fleet.secret().ok_or_else(|| {
            let text = "`fleet.secrets` in the settings is empty";
            error::Error::Usage(text.into())
        })?;
        let client = peer::connect(addr, secret, &peer::Limits::default()).await;
        let client = client.map_err(|e| match e {
            peer::ConnectError::Unauthorized => error::Error::Refused(format!("{addr}: {e}")),
            e => error::Error::Unreachable(format!("{addr}: {e}")),
        })?;
        Ok(Self { addr, client })
    }

    /// Queries the state of the process, whose role is not known beforehand.
    pub async fn state(&self) -> Result<State, error::Error> {
        match EntryClient::status(&self.client).await {
            Err(e) if is_unknown_method(&e) => self.query_agent().await,
            other => other.map(State::Entry).map_err(|e| self.call_error(&e)),
        }
    }

    /// Starts the graceful shutdown of the process and returns its state.
    pub async fn drain(&self) -> Result<State, error::Error> {
        match EntryClient::drain(&self.client).await {
            Err(e) if is_unknown_method(&e) => {
                let report = AgentClient::drain(&self.client).await;
                report.map(State::Agent).map_err(|e| self.call_error(&e))
            }
            other => other.map(State::Entry).map_err(|e| self.call_error(&e)),
        }
    }

    /// Queries the state of an agent by opening a lane, which is then not used.
    async fn query_agent(&self) -> Result<State, error::Error> {
        let hello = agent::Hello {
            instance: "laburnumctl".parse().expect("a valid instance name"),
            session: lane::Session {
                lane: id::Incarnation::random(),
                number: 1,
            },
            peer: None,
            facts: facts::Facts::default(),
        };
        let report = AgentClient::hello(&self.client, hello).await;
        report.map(State::Agent).map_err(|e| self.call_error(&e))
    }

    fn call_error(&self, cause: &client::Error) -> error::Error {
        let text = format!("{}: {cause}", self.addr);
        match cause {
            client::Error::Call(_) => error::Error::Refused(text),
            _ => error::Error::Unreachable(text),
        }
    }
}

fn is_unknown_method(error: &client::Error) -> bool {
    let code = code::ErrorCode::MethodNotFound.code();
    matches!(error, client::Error::Call(e) if e.code() == code)
}
