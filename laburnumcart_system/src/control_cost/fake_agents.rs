//! Fake agents in this process that only respond to heartbeats.

use std::{
    io,
    net,
    sync, //
};

use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    types, //
};

use laburnumcart::{
    facts,
    id, //
};
use laburnumcart_wire::{
    agent::{
        self,
        AgentServer, //
    },
    peer,
    stage, //
};

use crate::fleet;

/// A fake agent; it listens until it is dropped.
#[derive(Debug)]
pub struct FakeAgent {
    /// Name of the instance.
    pub name: String,
    /// Service of the instance.
    pub service: String,
    state: sync::Arc<State>,
    handle: peer::Handle,
}

#[derive(Debug)]
struct State {
    report: agent::Report,
    /// Facts for the response to the next heartbeat.
    pending_facts: sync::Mutex<Option<facts::Facts>>,
}

impl FakeAgent {
    /// Starts a fake agent of a service on a free port.
    pub fn start(name: &str, service: &str, data_centre: &str) -> io::Result<Self> {
        let invalid = |e: id::ParseError| io::Error::other(e.to_string());
        let report = agent::Report {
            target: name.parse().map_err(invalid)?,
            service: service.parse().map_err(invalid)?,
            data_centre: data_centre.parse().map_err(invalid)?,
            incarnation: id::Incarnation::random(),
            leaving: false,
            ready: true,
            load: agent::Load::default(),
            facts: facts::Facts::default(),
        };
        let state = sync::Arc::new(State {
            report,
            pending_facts: sync::Mutex::default(),
        });
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let secrets = [fleet::SECRET.parse().map_err(io::Error::other)?];
        let methods = Methods(state.clone()).into_rpc();
        let handle = peer::serve(listener, &secrets, methods, &peer::Limits::default())?;
        Ok(Self {
            name: name.into(),
            service: service.into(),
            state,
            handle,
        })
    }

    /// Returns the address that the agent listens on.
    pub fn addr(&self) -> net::SocketAddr {
        self.handle.addr()
    }

    /// Sends facts with the response to the next heartbeat.
    pub fn send_facts(&self, facts: facts::Facts) {
        *self
            .state
            .pending_facts
            .lock()
            .expect("lock is not poisoned") = Some(facts);
    }
}

struct Methods(sync::Arc<State>);

impl Methods {
    fn report(&self) -> agent::Report {
        let facts = self
            .0
            .pending_facts
            .lock()
            .expect("lock is not poisoned")
            .take();
        agent::Report {
            facts: facts.unwrap_or_default(),
            ..self.0.report.clone()
        }
    }
}

fn unknown_attempt<T>() -> RpcResult<T> {
    let error = types::ErrorObjectOwned::owned(
        agent::UNKNOWN,
        "fake agents execute no attempts",
        None::<()>,
    );
    Err(error)
}

#[async_trait]
impl AgentServer for Methods {
    async fn hello(&self, _: agent::Hello) -> RpcResult<agent::Report> {
        Ok(self.report())
    }

    async fn beat(&self, _: agent::Heartbeat) -> RpcResult<agent::Report> {
        Ok(self.report())
    }

    async fn start(&self, _: stage::Call) -> RpcResult<stage::Progress> {
        unknown_attempt()
    }

    async fn next(&self, _: stage::Next) -> RpcResult<stage::Progress> {
        unknown_attempt()
    }

    async fn query(&self, _: stage::Query) -> RpcResult<stage::Progress> {
        unknown_attempt()
    }

    async fn cancel(&self, _: stage::Cancel) -> RpcResult<()> {
        Ok(())
    }

    async fn bundle(&self, _: id::Generation) -> RpcResult<Option<agent::SignedBundle>> {
        Ok(None)
    }

    async fn drain(&self) -> RpcResult<agent::Report> {
        Ok(self.report())
    }
}
