//! A running agent within its process.

use std::{
    io,
    net,
    sync, //
};

use laburnumcart::verdict;
use laburnumcart_daemon::{
    bundle,
    control as thread,
    event,
    metrics,
    peer as server,
    stop, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::{
    agent::AgentServer,
    peer, //
};
use tokio::time;

use crate::{
    control,
    execute,
    service,
    settings,
    shared,
    work, //
};

/// Time between two looks for attempts and lanes whose time has passed.
const SWEEP: time::Duration = time::Duration::from_millis(50);

/// What an agent is made of beside its settings.
#[derive(Debug, Default)]
pub struct Parts {
    /// Limits of the work that it takes on.
    pub limits: work::Limits,
    /// Where its metrics go.
    pub metrics: metrics::Metrics,
    /// How it follows the bundle; without this it stays with none.
    pub options: Option<bundle::Options>,
}

/// An agent that serves its peers.
#[derive(Debug)]
pub struct Agent {
    shared: sync::Arc<shared::Shared>,
    running: stop::Running,
    peers: peer::Handle,
    control: thread::Control<()>,
}

impl Agent {
    /// Starts to serve on `listener`, on the current runtime and a control thread.
    pub fn start(
        settings: settings::Settings,
        parts: Parts,
        listener: net::TcpListener,
        store: impl store::Store,
    ) -> io::Result<Self> {
        let running = stop::Running::new();
        let fleet = settings.fleet.clone();
        let gate = running.gate();
        let (shared, news) = shared::Shared::new(settings, parts.limits, gate, &parts.metrics);
        let shared = sync::Arc::new(shared);
        let methods = service::Service::new(shared.clone()).into_rpc();
        let peers = server::serve(listener, &fleet, methods, &parts.metrics)?;
        let control = thread::spawn({
            let shared = shared.clone();
            move || control::run(shared, news, store, parts.options)
        })?;
        tokio::spawn(sweep(shared.clone()));
        event!(
            Info,
            "started",
            incarnation = shared.incarnation,
            peer = peers.addr()
        );
        Ok(Self {
            shared,
            running,
            peers,
            control,
        })
    }

    /// Returns the state that its threads share.
    pub fn shared(&self) -> &sync::Arc<shared::Shared> {
        &self.shared
    }

    /// Returns the address that peers reach it at.
    pub fn addr(&self) -> net::SocketAddr {
        self.peers.addr()
    }

    /// Refuses new work, finishes what runs and keeps results until they are settled, within the
    /// stop limit; returns the number of attempts that were left.
    pub async fn stop(self) -> usize {
        self.shared.leave();
        let draining = self.running.drain();
        // What still waits can run elsewhere sooner; that it did not run here is proven.
        let now = time::Instant::now();
        self.shared.work().clear(verdict::Reason::Leaving, now);
        let stopped = draining.wait(self.shared.settings.stop_limit).await;
        self.peers.stop();
        stopped.unfinished
    }

    /// Reports whether the control thread has ended.
    pub fn is_finished(&self) -> bool {
        self.control.is_finished()
    }
}

/// Ends attempts whose time has passed and forgets results that were kept long enough.
async fn sweep(shared: sync::Arc<shared::Shared>) {
    let mut ticks = time::interval(SWEEP);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = time::Instant::now();
        {
            let mut work = shared.work();
            work.sweep(now);
            let counters = &shared.counters;
            counters.running.set(work.running() as i64);
            counters.queued.set(work.queued() as i64);
            counters.limit.set(i64::from(work.limit()));
        }
        execute::pump(&shared);
    }
}
