//! Fake of the platform's object service over HTTP.

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
mod handlers;

/// Key prefix of the platform's instance list, which may lag.
pub const INSTANCES_PREFIX: &str = "platform/instances/";

/// Longest wait of a watch.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_secs(60);

/// Worker threads; waiting watches are tasks and need no threads.
const WORKER_THREADS: usize = 2;

/// State that all requests share.
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
    /// Sets the address, by default a free loopback port.
    pub fn listen(mut self, addr: net::SocketAddr) -> Self {
        self.listen = addr;
        self
    }

    /// Sets the rate limit of reads, lists and watches, by default 2000/s.
    pub fn reads(mut self, rate: unit::Rate) -> Self {
        self.rates.reads = rate;
        self
    }

    /// Sets the rate limit of writes and deletions, by default 400/s.
    pub fn writes(mut self, rate: unit::Rate) -> Self {
        self.rates.writes = rate;
        self
    }

    /// Sets the lag of lists under [`INSTANCES_PREFIX`], by default none.
    pub fn list_lag(mut self, lag: unit::Period) -> Self {
        self.lag = lag;
        self
    }

    /// Binds the address and serves it on separate threads.
    pub fn start(self) -> Result<Server, StartError> {
        let listener = net::TcpListener::bind(self.listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let memory = memory::Memory::builder()
            .initial_revision(first_revision())
            .stale_reads(INSTANCES_PREFIX, self.lag)
            .build();
        let shared = sync::Arc::new(Shared {
            memory: memory.clone(),
            budget: sync::Mutex::new(budget::Budget::new(self.rates, Instant::now())),
            counts: counts::Counts::default(),
        });
        let mut server = App::new()
            .with_state(sync::Arc::clone(&shared))
            .at("/v1/objects/{*key}", service::fn_service(handlers::object))
            .at("/v1/list", route::get(service::fn_service(handlers::list)))
            .at(
                "/v1/watch",
                route::get(service::fn_service(handlers::watch)),
            )
            .at("/admin/faults", service::fn_service(handlers::faults))
            .at(
                "/admin/counts",
                route::get(service::fn_service(handlers::counts)),
            )
            .at(
                "/healthz",
                route::get(service::fn_service(handlers::health)),
            )
            .serve()
            .worker_threads(WORKER_THREADS)
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

/// Returns a first revision above those of an earlier server at the same address.
///
/// Otherwise clients would treat the objects of a restarted server as stale reads.
fn first_revision() -> store::Revision {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    store::Revision(now.map_or(0, |now| now.as_micros() as u64))
}

/// Error at the start of a server.
#[derive(Debug, Display, Error, From)]
#[display("fake object service: {_0}")]
pub struct StartError(io::Error);

/// A running server, stopped on drop.
pub struct Server {
    addr: net::SocketAddr,
    memory: memory::Memory,
    shared: sync::Arc<Shared>,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<thread::JoinHandle<io::Result<()>>>,
}

impl Server {
    /// Returns a builder with the default settings.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the listening address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the store of objects and faults.
    pub fn memory(&self) -> &memory::Memory {
        &self.memory
    }

    /// Returns the counts of all calls.
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
