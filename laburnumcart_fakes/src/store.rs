//! Stand-in for the platform's object service, over HTTP.

use std::{
    io,
    net,
    sync,
    thread,
    time, //
};

use derive_more::{
    Display,
    Error,
    From, //
};
use tokio::time::Instant;
use xitca_web::{
    App,
    route,
    service, //
};

use laburnumcart::unit;
use laburnumcart_platform::{
    budget,
    memory,
    store, //
};

pub mod args;
pub mod counts;
mod handle;

/// Prefix of the platform's own list, which may lag.
pub const INSTANCES_PREFIX: &str = "platform/instances/";

/// Longest time that a watch waits.
const WAIT_MAX: time::Duration = time::Duration::from_secs(60);

/// Threads that serve; waiting watches are tasks and need none of their own.
const THREADS: usize = 2;

/// What all requests share.
pub(crate) struct Shared {
    memory: memory::Memory,
    budget: sync::Mutex<budget::Budget>,
    counts: counts::Counts,
}

/// Settings of a [`Server`].
#[derive(Clone, Debug)]
pub struct Builder {
    listen: net::SocketAddr,
    rates: budget::Rates,
    lag: unit::Period,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            rates: budget::Rates {
                reads: unit::Rate(2000.0),
                writes: unit::Rate(400.0),
            },
            lag: unit::Period::default(),
        }
    }
}

impl Builder {
    /// Sets the address; a free port of the loopback unless set.
    pub fn listen(mut self, addr: net::SocketAddr) -> Self {
        self.listen = addr;
        self
    }

    /// Sets the rate of reads, lists and watches; 2000/s unless set.
    pub fn reads(mut self, rate: unit::Rate) -> Self {
        self.rates.reads = rate;
        self
    }

    /// Sets the rate of writes and deletions; 400/s unless set.
    pub fn writes(mut self, rate: unit::Rate) -> Self {
        self.rates.writes = rate;
        self
    }

    /// Sets the lag of [`INSTANCES_PREFIX`]; none unless set.
    pub fn list_lag(mut self, lag: unit::Period) -> Self {
        self.lag = lag;
        self
    }

    /// Binds the address and serves on threads of its own.
    pub fn start(self) -> Result<Server, StartError> {
        let listener = net::TcpListener::bind(self.listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let memory = memory::Memory::builder()
            .start(first_revision())
            .lag(INSTANCES_PREFIX, self.lag)
            .build();
        let shared = sync::Arc::new(Shared {
            memory: memory.clone(),
            budget: sync::Mutex::new(budget::Budget::new(self.rates, Instant::now())),
            counts: counts::Counts::default(),
        });
        let mut server = App::new()
            .with_state(sync::Arc::clone(&shared))
            .at("/v1/objects/{*key}", service::fn_service(handle::object))
            .at("/v1/list", route::get(service::fn_service(handle::list)))
            .at("/v1/watch", route::get(service::fn_service(handle::watch)))
            .at("/admin/faults", service::fn_service(handle::faults))
            .at(
                "/admin/counts",
                route::get(service::fn_service(handle::counts)),
            )
            .at("/healthz", route::get(service::fn_service(handle::health)))
            .serve()
            .worker_threads(THREADS)
            .disable_signal()
            .listen(listener)?
            .run();
        let handle = server.handle()?;
        let thread = thread::Builder::new()
            .name("fake-store".into())
            .spawn(move || server.wait())?;
        let stop = Box::new(move || handle.stop(false));
        Ok(Server {
            addr,
            memory,
            shared,
            stop,
            thread: Some(thread),
        })
    }
}

/// Returns a first revision above all that an earlier stand-in at the address can have given.
///
/// Otherwise clients would take the objects of a restarted stand-in for a stale read.
fn first_revision() -> store::Revision {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    store::Revision(now.map_or(0, |now| now.as_micros() as u64))
}

/// A server that could not be started.
#[derive(Debug, Display, Error, From)]
#[display("object service stand-in: {_0}")]
pub struct StartError(io::Error);

/// A running stand-in; dropping it ends the server.
pub struct Server {
    addr: net::SocketAddr,
    memory: memory::Memory,
    shared: sync::Arc<Shared>,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl Server {
    /// Starts the settings of a server.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the address that it serves.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the objects and the faults.
    pub fn memory(&self) -> &memory::Memory {
        &self.memory
    }

    /// Returns the counts of the calls so far.
    pub fn counts(&self) -> counts::Report {
        self.shared.counts.report()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        (self.stop)();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
