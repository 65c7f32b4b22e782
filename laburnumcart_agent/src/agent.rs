//! Start and graceful stop of an agent within its process.

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
    scheduler, //
    service,
    settings,
    shared,
};

/// Time between two expiries of attempts, lanes and results.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Dependencies of an agent beside its settings.
#[derive(Debug, Default)]
pub struct Parts {
    /// Limits on the accepted work.
    pub limits: scheduler::Limits,
    /// Registry of its metrics.
    pub metrics: metrics::Metrics,
    /// Options for following the bundle; without them the agent never has one.
    pub options: Option<bundle::Options>,
}

/// Running agent that serves its peers.
#[derive(Debug)]
pub struct Agent {
    shared: sync::Arc<shared::Shared>,
    running: stop::Running,
    peers: peer::Handle,
    control: thread::Control<()>,
}

impl Agent {
    /// Starts to serve on `listener`, on the current runtime and a new control thread.
    pub fn start(
        settings: settings::Settings,
        parts: Parts,
        listener: net::TcpListener,
        store: impl store::Store,
    ) -> io::Result<Self> {
        let running = stop::Running::new();
        let fleet = settings.fleet.clone();
        let gate = running.gate();
        let (shared, messages) = shared::Shared::new(settings, parts.limits, gate, &parts.metrics);
        let shared = sync::Arc::new(shared);
        let methods = service::Service::new(shared.clone()).into_rpc();
        let peers = server::serve(listener, &fleet, methods, &parts.metrics)?;
        let control = thread::spawn({
            let shared = shared.clone();
            move || control::run(shared, messages, store, parts.options)
        })?;
        tokio::spawn(expire_periodically(shared.clone()));
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

    /// Returns the state shared by the agent's threads.
    pub fn shared(&self) -> &sync::Arc<shared::Shared> {
        &self.shared
    }

    /// Returns the address that it serves peers at.
    pub fn addr(&self) -> net::SocketAddr {
        self.peers.addr()
    }

    /// Stops gracefully: refuses new and waiting work, finishes running attempts and keeps results
    /// until they are settled, within the stop limit. Returns the number of attempts cut off.
    pub async fn stop(self) -> usize {
        self.shared.start_drain();
        let draining = self.running.drain();
        // Waiting attempts can run sooner elsewhere; they are proven not executed here.
        let now = time::Instant::now();
        self.shared
            .scheduler()
            .refuse_queued(verdict::Reason::Leaving, now);
        let stopped = draining.wait(self.shared.settings.stop_limit).await;
        self.peers.stop();
        stopped.unfinished
    }

    /// Reports whether the control thread has ended.
    pub fn is_finished(&self) -> bool {
        self.control.is_finished()
    }
}

/// Periodically expires attempts, lanes and results, and updates the gauges.
async fn expire_periodically(shared: sync::Arc<shared::Shared>) {
    let mut ticks = time::interval(EXPIRY_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = time::Instant::now();
        {
            let mut scheduler = shared.scheduler();
            scheduler.expire(now);
            let counters = &shared.counters;
            counters.running.set(scheduler.running_count() as i64);
            counters.queued.set(scheduler.queued_count() as i64);
            counters.limit.set(i64::from(scheduler.concurrency_limit()));
        }
        execute::start_queued(&shared);
    }
}
