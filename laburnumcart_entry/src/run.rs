//! Start of an entry, the process that accepts requests of callers, and its graceful shutdown.

use std::{
    io,
    net,
    process,
    sync::Arc,
    thread, //
};

use tokio::runtime;

use laburnumcart::{
    id,
    unit, //
};
use laburnumcart_daemon::{
    bundle,
    event,
    metrics,
    peer,
    process as process_metrics,
    stop,
    traces, //
};
use laburnumcart_platform::{
    budget,
    client, //
};
use laburnumcart_wire::entry::EntryServer;

use crate::{
    at_most_once,
    callers,
    claims,
    control,
    entry,
    links,
    peers::{
        self,
        pool, //
    },
    settings, //
};

/// Timeout of each step of the shutdown after the requests in flight have ended.
const SHUTDOWN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// Default rate limits of calls to the object service, per second.
///
/// Most calls are appends to the claim log, with up to two writes per batch of a shard.
const STORE_RATES: budget::Rates = budget::Rates {
    reads: unit::Rate(100.0),
    writes: unit::Rate(150.0),
};

/// Maximum time that a call waits for this process's rate limit.
const STORE_BUDGET_WAIT: unit::Period = unit::Period::from_millis(500);

/// Runs an entry until it receives a signal or a drain command.
pub fn run(settings: settings::Settings) -> process::ExitCode {
    match serve(settings) {
        Ok(code) => code,
        Err(error) => {
            event!(Error, "failed", error = error);
            process::ExitCode::FAILURE
        }
    }
}

/// Returns the number of traffic threads for this machine: half the cores, from 1 to 4.
fn traffic_threads() -> usize {
    let cores = thread::available_parallelism().map_or(2, usize::from);
    (cores / 2).clamp(1, 4)
}

fn serve(settings: settings::Settings) -> io::Result<process::ExitCode> {
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(traffic_threads())
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let callers = net::TcpListener::bind(settings.callers)?;
    let peer = net::TcpListener::bind(settings.peer)?;
    // Counts the requests in flight, on which the shutdown waits.
    let running = stop::Running::new();
    let metrics = metrics::Metrics::new();
    // Holds the signed configuration in force, called the bundle.
    let feed = bundle::Feed::new(&metrics);
    let identity = entry::Identity {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer,
        incarnation: id::Incarnation::random(),
    };
    let entry = entry::Entry::new(identity, feed, running.gate(), traffic.handle().clone());
    let code = traffic.block_on(run_until_stopped(
        settings, entry, metrics, running, callers, peer,
    ))?;
    traffic.shutdown_background();
    Ok(code)
}

async fn run_until_stopped(
    settings: settings::Settings,
    entry: Arc<entry::Entry>,
    metrics: metrics::Metrics,
    running: stop::Running,
    callers: net::TcpListener,
    listener: net::TcpListener,
) -> io::Result<process::ExitCode> {
    let mut signals = stop::Signals::listen()?;
    let _traces = traces::launch("laburnum-entry", &settings.instance, &settings.telemetry);
    process_metrics::register(&metrics);
    entry.metrics.register(&metrics);
    start_control(&settings, &entry, &metrics)?;
    let methods = peers::Server::new(entry.clone()).into_rpc();
    let peers = peer::serve(listener, &settings.fleet, methods, &metrics)?;
    let mut server = callers::serve(entry.clone(), metrics, callers, traffic_threads())?;
    let handle = server.handle()?;
    let server = tokio::spawn(server);
    let identity = &entry.identity;
    event!(
        Info,
        "started",
        instance = identity.instance,
        incarnation = identity.incarnation,
        callers = settings.callers,
        peer = settings.peer
    );
    tokio::select! {
        signal = signals.next() => event!(Info, "stopping", cause = signal),
        () = entry.wait_leaving() => event!(Info, "stopping", cause = "drain"),
    }
    entry.leave();
    let stopped = running.drain().wait(settings.stop_limit).await;
    event!(Info, "stopped", left = stopped.unfinished);
    if let Some(claims) = entry.claims() {
        // Lets other entries take the shards over without a timeout.
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, claims.drain()).await;
    }
    handle.stop(true);
    // Callers may keep idle connections open, so the wait is bounded.
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, server).await;
    peers.stop();
    Ok(match stopped.unfinished {
        0 => process::ExitCode::SUCCESS,
        _ => process::ExitCode::FAILURE,
    })
}

/// Starts the claim service and the control thread.
fn start_control(
    settings: &settings::Settings,
    entry: &Arc<entry::Entry>,
    metrics: &metrics::Metrics,
) -> io::Result<()> {
    let store = client::Client::builder([settings.platform.address])
        .rates(settings.platform.rates(STORE_RATES))
        .budget_wait(STORE_BUDGET_WAIT)
        .build();
    let store = store.map_err(io::Error::other)?;
    metrics.register("laburnum_entry", |r| store.register(r));
    let secret = settings.fleet.secret().cloned();
    let secret = secret.ok_or(io::ErrorKind::InvalidInput)?;
    let counters = claims::metrics::Metrics::default();
    metrics.register("laburnum_entry", |r| counters.register(r));
    let pool = pool::Pool::new(entry.holder(), secret.clone(), entry.answers.clone());
    let peers = Arc::new(pool);
    let service = claims::Builder::new(entry.holder())
        .metrics(counters)
        .start(Arc::new(store.clone()), peers.clone());
    entry.set_claims(Arc::new(at_most_once::ClaimService { service, peers }));
    let lane_config = links::Config {
        instance: settings.instance.clone(),
        incarnation: entry.identity.incarnation,
        peer: settings.peer,
        gossip: entry.gossip.clone(),
        closed_connections: entry.metrics.closed_connections.clone(),
        outcome_queries: entry.metrics.outcome_queries.clone(),
        secret: secret.clone(),
        timing: links::Timing::default(),
    };
    let trust = settings.fleet.trust().map_err(io::Error::other)?;
    let start = control::thread::Start {
        entry: entry.clone(),
        store,
        lane_config,
        secret,
        options: bundle::Options::new(trust).peers(settings.fleet.peers.clone()),
    };
    control::thread::start(start).map(|_| ())
}
