//! Main function of the process: start, wait for a signal or a drain, graceful shutdown.

use std::{
    io,
    net,
    process,
    sync, //
};

use laburnumcart::{
    document,
    unit, //
};
use laburnumcart_daemon::{
    admin,
    bundle,
    event,
    metrics,
    process as process_metrics,
    stop,
    traces, //
};
use laburnumcart_platform::{
    budget,
    client, //
};
use tokio::runtime;

use crate::{
    agent,
    scheduler, //
    settings,
    shared,
};

/// Default rates of calls to the object service, per second; an agent needs few.
const STORE_RATES: budget::Rates = budget::Rates {
    reads: unit::Rate(20.0),
    writes: unit::Rate(10.0),
};

/// Number of threads that execute attempts and serve peers.
const TRAFFIC_THREADS: usize = 2;

/// Runs an agent until it is stopped; returns the exit code of the process.
pub fn run(settings: settings::Settings) -> process::ExitCode {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .thread_name("traffic")
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| runtime.block_on(serve(settings)));
    match served {
        // The exit code is how a supervisor learns that attempts were cut off.
        Ok(cut_off) if cut_off > 0 => process::ExitCode::FAILURE,
        Ok(_) => process::ExitCode::SUCCESS,
        Err(error) => {
            event!(Error, "failed", error = error);
            process::ExitCode::FAILURE
        }
    }
}

/// Serves until a signal or a drain; returns the number of attempts cut off by the stop limit.
async fn serve(settings: settings::Settings) -> io::Result<usize> {
    let mut signals = stop::Signals::listen()?;
    let _traces = traces::launch("laburnum-agent", &settings.instance, &settings.telemetry);
    let metrics = metrics::Metrics::new();
    process_metrics::register(&metrics);
    let peer = net::TcpListener::bind(settings.peer)?;
    let listener = net::TcpListener::bind(settings.admin)?;
    let store = client::Client::builder([settings.platform.address])
        .rates(settings.platform.rates(STORE_RATES))
        .build()
        .map_err(io::Error::other)?;
    metrics.register("laburnum_agent", |registry| store.register(registry));
    let options = bundle_options(&settings).map_err(io::Error::other)?;
    let parts = agent::Parts {
        limits: scheduler::Limits::default(),
        metrics: metrics.clone(),
        options: Some(options),
    };
    let agent = agent::Agent::start(settings, parts, peer, store)?;
    let shared = agent.shared().clone();
    let pages = admin::Pages::new(metrics, move || check_ready(&shared));
    let admin = admin::serve(listener, pages)?;
    tokio::select! {
        signal = signals.next() => event!(Info, "stopping", cause = signal),
        () = agent.shared().wait_for_drain() => event!(Info, "stopping", cause = "drain"),
    }
    let cut_off = agent.stop().await;
    event!(Info, "stopped", left = cut_off);
    admin.stop();
    Ok(cut_off)
}

fn bundle_options(settings: &settings::Settings) -> Result<bundle::Options, document::Faults> {
    let trust = settings.fleet.trust()?;
    Ok(bundle::Options::new(trust).peers(settings.fleet.peers.clone()))
}

fn check_ready(shared: &sync::Arc<shared::Shared>) -> Result<(), String> {
    let snapshot = shared.snapshot.load();
    if shared.is_leaving() {
        return Err("leaving".into());
    }
    if snapshot.service_kind().is_none() {
        return Err("no bundle in force contains the target's service".into());
    }
    if !snapshot.ready {
        return Err("target does not answer".into());
    }
    Ok(())
}
