//! Startup and graceful shutdown of the gateway process.

use std::{
    io,
    path,
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
    settings as files,
    stop, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::{
    gateway as wire,
    peer,
    route as wire_route,
    secret, //
};

use crate::{
    control,
    dialect,
    gateway,
    http_server,
    metrics,
    origins::{
        calls::{
            OriginCallsServer,
            OriginService, //
        },
        journal, usage as used,
    },
    peers::{
        self,
        PeerServer, //
    },
    relay::{
        RelayServer,
        cache, //
    },
    route,
    settings,
    starvation,
    state,
    view, //
};

/// Time in which the load balancer notices that the process isn't ready: two checks, 1 s apart.
const BALANCER_DELAY: time::Duration = time::Duration::from_millis(2400);

/// Time before the end of the grace period at which the process exits.
const EXIT_RESERVE: time::Duration = time::Duration::from_millis(500);

/// Time before the exit at which waiting requests are refused.
const REFUSAL_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Receivers of the signal to close that are no connections: the task that accepts them.
const ACCEPTING: usize = 1;

/// Interval at which requests in flight are counted during a shutdown.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Maximum age of the configuration of a ready process.
const READY_AGE_MAX: time::Duration = time::Duration::from_secs(30);

/// Platform-specific parts of a gateway.
pub struct Platform<S> {
    /// Client of the platform's store.
    pub store: S,
    /// HTTP protocol of the platform.
    pub dialect: Arc<dyn dialect::Dialect>,
    /// Layout and encoding of the platform's store.
    pub layout: Arc<dyn dialect::StoreLayout>,
}

/// Runs a gateway until a signal stops it; `file` holds its settings.
pub fn run<S: store::Store + Clone>(
    settings: settings::Settings,
    file: path::PathBuf,
    platform: impl FnOnce(&settings::Settings) -> Platform<S>,
) -> process::ExitCode {
    let platform = platform(&settings);
    match serve(settings, file, platform) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            event!(Error, "failed", error = error);
            process::ExitCode::FAILURE
        }
    }
}

fn serve<S: store::Store + Clone>(
    settings: settings::Settings,
    file: path::PathBuf,
    platform: Platform<S>,
) -> io::Result<()> {
    let traffic = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = traffic.block_on(main(settings, file, platform));
    traffic.shutdown_background();
    result
}

async fn main<S: store::Store + Clone>(
    settings: settings::Settings,
    file: path::PathBuf,
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
    let own = control::new_member(&settings);
    let target_signals = gateway.outbound.quotas.signals.clone();
    let cache = Arc::new(cache::Cache::new(target_signals));
    let pool = &gateway.outbound.pool;
    counters.register(&registry, pool, &cache.reads);
    usage::register(&registry);
    let _peers = serve_peers(&gateway, &own, &cache, peer_listener)?;
    let _admin = serve_admin(&gateway, registry, admin_listener)?;
    let followed = (platform.store, platform.layout, view.clone(), own);
    let (store, layout, shared, own) = followed;
    let has_evacuations = settings.bounds.evacuation.is_some();
    let origins = gateway.origins.clone();
    let store_writes = settings.store_writes;
    let _control = thread::spawn(move || async move {
        let (notes, shown) = (layout.clone(), shared.clone());
        let used = used::run(shown, store.clone(), notes, &own, store_writes);
        let journal = journal::run(origins, store.clone(), layout.clone(), store_writes);
        let control = control::run(store, layout, shared, own, cache, has_evacuations);
        tokio::join!(journal, used, control);
    })?;
    tokio::spawn(gateway.clone().follow_changes());
    tokio::spawn(starvation::monitor(counters));
    tokio::spawn(gateway.dispatcher.clone().run());
    let (closing, closed) = watch::channel(false);
    tokio::spawn(http_server::serve(gateway.clone(), listener, closed));
    event!(
        Info,
        "started",
        instance = settings.instance,
        callers = settings.callers,
        peer = settings.peer,
        store = settings.store
    );
    let mut grace = settings.bounds.grace;
    loop {
        tokio::select! {
            signal = signals.next() => {
                event!(Info, "stopping", cause = signal);
                break;
            }
            _ = reload.recv() => grace = read_grace(&file, grace),
        }
    }
    // The file may have changed without a signal.
    let grace = read_grace(&file, grace);
    shut_down(&gateway, running, closing, grace).await;
    // All state is expendable. Waiting for threads of libraries could last beyond the grace period.
    process::exit(0)
}

/// Reads the grace period again, the only setting that takes effect at run time.
///
/// A process that counts on a longer one than it has accepts requests that are then killed with it.
fn read_grace(file: &path::Path, known: unit::Period) -> unit::Period {
    let grace = match files::load::<settings::Settings>(file) {
        Ok(settings) => settings.bounds.grace,
        Err(error) => {
            event!(Warn, "settings-unreadable", error = error);
            known
        }
    };
    let outcome = match grace == known {
        true => "unchanged",
        false => "changed",
    };
    event!(Info, "reload", outcome = outcome, grace = grace);
    grace
}

/// Shuts down without cutting off requests.
///
/// The process serves new connections until the load balancer has noticed, then closes each
/// connection after its response. New jobs for its queues go to the next owner immediately.
async fn shut_down(
    gateway: &gateway::Gateway,
    running: stop::Running,
    closing: watch::Sender<bool>,
    grace: unit::Period,
) {
    let start = tokio::time::Instant::now();
    let view = &gateway.view;
    let end = start + grace.0.saturating_sub(EXIT_RESERVE);
    view.start_leaving(end - REFUSAL_PERIOD);
    gateway.dispatcher.hand_over_all();
    let noticed = tokio::time::sleep_until(end.min(start + BALANCER_DELAY));
    tokio::join!(gateway.origins.hand_over(), noticed);
    // It fails only without receivers, when there are no connections.
    let _ = closing.send(true);
    let gate = running.gate();
    let open = || gate.in_flight() + closing.receiver_count();
    // Idle connections close by themselves; requests may still arrive on others.
    wait_until(|| open() <= ACCEPTING, end - REFUSAL_PERIOD).await;
    view.announce_exit();
    // A process that stood still until the end has answered nothing meanwhile.
    let end = end.max(tokio::time::Instant::now() + REFUSAL_PERIOD);
    wait_until(|| open() == 0, end).await;
    let left = running
        .drain()
        .wait(unit::Period::default())
        .await
        .unfinished;
    event!(
        Info,
        "stopped",
        left = left,
        taken_ms = start.elapsed().as_millis()
    );
    // The logging thread needs time to write the last lines.
    tokio::time::sleep(CHECK_INTERVAL).await;
}

async fn wait_until(is_done: impl Fn() -> bool, end: tokio::time::Instant) {
    while !is_done() && tokio::time::Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Serves calls from other gateways: jobs for the queues of this one, and cached store data.
pub fn serve_peers(
    gateway: &Arc<gateway::Gateway>,
    own: &view::Member,
    cache: &Arc<cache::Cache>,
    listener: std::net::TcpListener,
) -> io::Result<peer::Handle> {
    let secret: secret::Secret = own.secret.parse().map_err(io::Error::other)?;
    let served = peers::PeerService {
        dispatcher: gateway.dispatcher.clone(),
        view: gateway.view.clone(),
    };
    let mut methods = served.into_rpc().remove_context();
    let relay = cache::RelayService(cache.clone()).into_rpc();
    methods.merge(relay).map_err(io::Error::other)?;
    let origins = OriginService(gateway.origins.clone()).into_rpc();
    methods.merge(origins).map_err(io::Error::other)?;
    peer::Server::new(&[secret]).serve(listener, methods)
}

fn serve_admin(
    gateway: &Arc<gateway::Gateway>,
    registry: registry::Metrics,
    listener: std::net::TcpListener,
) -> io::Result<admin::Admin> {
    let (shown, view) = (gateway.clone(), gateway.view.clone());
    let ready = move || {
        let fresh = view.freshness.is_fresh(READY_AGE_MAX, crate::clock::now());
        match (view.is_leaving(), view.is_loaded(), fresh) {
            (true, _, _) => Err("leaving".to_owned()),
            (_, false, _) => Err("no configuration".to_owned()),
            (_, _, false) => Err("configuration too old".to_owned()),
            _ => Ok(()),
        }
    };
    let mut pages = admin::Pages::new(registry, ready);
    pages = pages.page(wire::STATE, move || state::page(&shown));
    let asked = gateway.clone();
    pages = pages.query_page(wire_route::PATH, move |query| route::page(&asked, query));
    if let Some(path) = &gateway.settings.ready_path {
        pages = pages.ready_path(path.as_str());
    }
    admin::serve(listener, pages)
}
