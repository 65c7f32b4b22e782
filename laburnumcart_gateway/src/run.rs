//! From settings to a running gateway, and its stop.

use std::{
    io,
    process,
    sync::Arc,
    time, //
};

use tokio::{
    net,
    runtime,
    signal::unix,
    sync::watch, //
};

use laburnumcart::{
    event,
    unit, //
};
use laburnumcart_daemon::{
    admin,
    control as thread,
    metrics as registry,
    process as usage,
    stop, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::{
    gateway as wire,
    peer,
    secret, //
};

use crate::{
    callers,
    control,
    dialect,
    gateway,
    metrics,
    peers::{
        self,
        PeerServer, //
    },
    relay::{
        RelayServer,
        copies, //
    },
    settings,
    starvation,
    state,
    view, //
};

/// Time in which the balancer notices that the process is not ready: two checks a second apart.
const NOTICE: time::Duration = time::Duration::from_millis(2400);

/// Time before the end of the grace period at which the process exits.
const RESERVE: time::Duration = time::Duration::from_millis(500);

/// Time before the exit at which requests that still wait are refused.
const REFUSE: time::Duration = time::Duration::from_millis(500);

/// Pause between two looks at what is in flight.
const CHECK: time::Duration = time::Duration::from_millis(50);

/// Age of the configuration beyond which the process is not ready.
const READY_AGE: time::Duration = time::Duration::from_secs(30);

/// What a platform brings.
pub struct Platform<S> {
    /// Its store.
    pub store: S,
    /// Its HTTP.
    pub dialect: Arc<dyn dialect::Dialect>,
    /// What its store holds.
    pub directory: Arc<dyn dialect::Directory>,
}

/// Runs a gateway until it is told to stop.
pub fn run<S: store::Store + Clone>(
    settings: settings::Settings,
    platform: impl FnOnce(&settings::Settings) -> Platform<S>,
) -> process::ExitCode {
    let platform = platform(&settings);
    match serve(settings, platform) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            event!(Error, "failed", error = error);
            process::ExitCode::FAILURE
        }
    }
}

fn serve<S: store::Store + Clone>(
    settings: settings::Settings,
    platform: Platform<S>,
) -> io::Result<()> {
    let traffic = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = traffic.block_on(main(settings, platform));
    traffic.shutdown_background();
    result
}

async fn main<S: store::Store + Clone>(
    settings: settings::Settings,
    platform: Platform<S>,
) -> io::Result<()> {
    let mut signals = stop::Signals::listen()?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    let listener = net::TcpListener::bind(settings.callers).await?;
    let peer_listener = std::net::TcpListener::bind(settings.peer)?;
    let admin_listener = std::net::TcpListener::bind(settings.admin)?;
    let running = stop::Running::new();
    let view = Arc::new(view::View::default());
    let registry = registry::Metrics::new();
    let counters = metrics::Metrics::default();
    let gateway = gateway::Gateway::new(
        settings.clone(),
        view.clone(),
        platform.dialect,
        running.gate(),
        counters.clone(),
    );
    counters.register(&registry, &gateway.outbound.pool.counters);
    usage::register(&registry);
    let own = control::member(&settings);
    let targets = gateway.outbound.quotas.signals.clone();
    let copies = Arc::new(copies::Copies::new(targets));
    let _peers = serve_peers(&gateway, &own, &copies, peer_listener)?;
    let _admin = serve_admin(&gateway, registry, admin_listener)?;
    let followed = (platform.store, platform.directory, view.clone(), own);
    let (store, directory, shared, own) = followed;
    let evacuates = settings.bounds.evacuation.is_some();
    let _control =
        thread::spawn(move || control::run(store, directory, shared, own, copies, evacuates))?;
    tokio::spawn(gateway.clone().follow());
    tokio::spawn(starvation::monitor(counters));
    tokio::spawn(gateway.dispatcher.clone().run());
    let (closing, closed) = watch::channel(false);
    tokio::spawn(callers::serve(gateway.clone(), listener, closed));
    event!(
        Info,
        "started",
        instance = settings.instance,
        callers = settings.callers,
        peer = settings.peer,
        store = settings.store
    );
    loop {
        tokio::select! {
            signal = signals.next() => {
                event!(Info, "stopping", cause = signal);
                break;
            }
            // The addresses cannot change while the process runs; the rest comes from the store.
            _ = reload.recv() => event!(Info, "reload", outcome = "unchanged"),
        }
    }
    stop(&gateway, running, closing).await;
    // Nothing here must last. The threads of libraries would take their own time to end, and the
    // process would still be there at the end of the grace period.
    process::exit(0)
}

/// Leaves without cutting off a request.
///
/// The process goes on to serve until the balancer has noticed, then closes connections after
/// their answer. New work for its queues goes to the next owner at once.
async fn stop(gateway: &gateway::Gateway, running: stop::Running, closing: watch::Sender<bool>) {
    let start = tokio::time::Instant::now();
    let view = &gateway.view;
    let end = start + gateway.settings.bounds.grace.0.saturating_sub(RESERVE);
    view.leave(end - REFUSE);
    gateway.dispatcher.hand_over_all();
    tokio::time::sleep_until(end.min(start + NOTICE)).await;
    // Without a receiver there is no connection.
    let _ = closing.send(true);
    let gate = running.gate();
    // Connections close by themselves when they are idle; requests may still come on others.
    while gate.count() + closing.receiver_count() > 1 && tokio::time::Instant::now() < end {
        if tokio::time::Instant::now() + REFUSE >= end {
            view.exit();
        }
        tokio::time::sleep(CHECK).await;
    }
    let left = running.drain().wait(unit::Period::default()).await.left;
    event!(
        Info,
        "stopped",
        left = left,
        taken_ms = start.elapsed().as_millis()
    );
    // The log's own thread needs a moment for the last lines.
    tokio::time::sleep(CHECK).await;
}

/// Serves other gateways: jobs for the queues that this one owns, and what it knows of the store.
pub fn serve_peers(
    gateway: &Arc<gateway::Gateway>,
    own: &view::Member,
    copies: &Arc<copies::Copies>,
    listener: std::net::TcpListener,
) -> io::Result<peer::Handle> {
    let secret: secret::Secret = own.secret.parse().map_err(io::Error::other)?;
    let served = peers::Served {
        dispatcher: gateway.dispatcher.clone(),
        view: gateway.view.clone(),
    };
    let mut methods = served.into_rpc().remove_context();
    let relay = copies::Served(copies.clone()).into_rpc();
    methods.merge(relay).map_err(io::Error::other)?;
    peer::Server::new(&[secret]).serve(listener, methods)
}

fn serve_admin(
    gateway: &Arc<gateway::Gateway>,
    registry: registry::Metrics,
    listener: std::net::TcpListener,
) -> io::Result<admin::Admin> {
    let (shown, view) = (gateway.clone(), gateway.view.clone());
    let ready = move || {
        let fresh = view.freshness.is_within(READY_AGE, crate::clock::now());
        match (view.is_leaving(), view.is_complete(), fresh) {
            (true, _, _) => Err("leaving".to_owned()),
            (_, false, _) => Err("no configuration".to_owned()),
            (_, _, false) => Err("configuration too old".to_owned()),
            _ => Ok(()),
        }
    };
    let mut pages = admin::Pages::new(registry, ready);
    pages = pages.page(wire::STATE, move || state::page(&shown));
    if let Some(path) = &gateway.settings.ready_path {
        pages = pages.ready_path(path.as_str());
    }
    admin::serve(listener, pages)
}
