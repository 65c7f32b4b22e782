//! Starts a fake target, and restarts it after a crash.

use std::{
    io,
    net,
    process,
    sync::{
        self,
        mpsc, //
    },
    thread,
    time, //
};

use laburnumcart::event;
use xitca_web::{
    App,
    handler::handler_service,
    route::{
        get,
        post, //
    },
};

use crate::target::{
    routes,
    settings,
    state, //
};

/// Exit code of a process whose target crashed.
const CRASH_CODE: i32 = 70;

/// Idle timeout, longer than a test run because the targets of a platform keep connections open.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(3600);

/// Interval between attempts to bind the address after a crash.
const BIND_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A running fake target, stopped on drop.
pub struct Target {
    address: net::SocketAddr,
    stop: mpsc::Sender<()>,
    server: Server,
    thread: Option<thread::JoinHandle<()>>,
}

/// Function that closes all connections and the listener of the running server.
type StopServer = Box<dyn Fn() + Send>;

type Server = sync::Arc<sync::Mutex<Option<StopServer>>>;

/// Starts a target on separate threads.
pub fn start(settings: settings::Settings) -> io::Result<Target> {
    let listener = net::TcpListener::bind(settings.address)?;
    let address = listener.local_addr()?;
    let server = Server::default();
    let close_all = stop_function(&server);
    let state = sync::Arc::new(state::State::new(settings, close_all));
    let (stop, stopped) = mpsc::channel();
    let supervisor = Supervisor {
        state,
        address,
        server: server.clone(),
        stopped,
    };
    let thread = thread::spawn(move || supervisor.run(listener));
    Ok(Target {
        address,
        stop,
        server,
        thread: Some(thread),
    })
}

/// Returns a function that closes all connections and the listener of a server.
fn stop_function(server: &Server) -> impl Fn() + Send + Sync + 'static {
    let server = server.clone();
    move || {
        if let Some(stop) = &*server.lock().unwrap() {
            stop();
        }
    }
}

impl Target {
    /// Returns the listening address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        stop_function(&self.server)();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Supervisor {
    state: sync::Arc<state::State>,
    address: net::SocketAddr,
    server: Server,
    stopped: mpsc::Receiver<()>,
}

impl Supervisor {
    fn run(self, mut listener: net::TcpListener) {
        loop {
            if let Err(error) = self.serve(listener) {
                let target = &self.state.settings.name;
                event!(Error, "target-failed", target = target, error = error);
                return;
            }
            let downtime = self.state.take_downtime();
            if self.state.settings.exit_on_crash && !self.wait_stop(time::Duration::ZERO) {
                process::exit(CRASH_CODE);
            }
            if self.wait_stop(downtime) {
                return;
            }
            self.state.clear_memory();
            event!(Info, "target-restarted", target = self.state.settings.name);
            let Some(next) = self.rebind() else { return };
            listener = next;
        }
    }

    /// Serves until the server stops.
    fn serve(&self, listener: net::TcpListener) -> io::Result<()> {
        let server = {
            // Locked during the start, so that a crash in the first call finds the handle.
            let mut stop = self.server.lock().unwrap();
            let mut server = App::new()
                .with_state(self.state.clone())
                .at("/v1/run", post(handler_service(routes::run)))
                .at("/v1/generate", post(handler_service(routes::generate)))
                .at("/v1/cancel", post(handler_service(routes::cancel)))
                .at("/v1/load", get(handler_service(routes::load)))
                .at("/v1/state", get(handler_service(routes::state)))
                .at("/v1/orders", post(handler_service(routes::orders)))
                .at("/v1/cache", get(handler_service(routes::cache)))
                .at("/healthz", get(handler_service(routes::health)))
                .at(
                    "/admin/executions",
                    get(handler_service(routes::executions)),
                )
                .at("/admin/cost", get(handler_service(routes::cost)))
                .at("/admin/orders", get(handler_service(routes::pending)))
                .at("/admin/reset", post(handler_service(routes::reset)))
                .at("/admin/behave", post(handler_service(routes::behave)))
                .serve()
                .worker_threads(1)
                .disable_signal()
                .keep_alive_timeout(KEEP_ALIVE)
                .listen(listener)?
                .run();
            let handle = server.handle()?;
            *stop = Some(Box::new(move || handle.stop(false)));
            server
        };
        server.wait()
    }

    /// Waits up to `time` and returns whether the target was stopped.
    fn wait_stop(&self, time: time::Duration) -> bool {
        !matches!(
            self.stopped.recv_timeout(time),
            Err(mpsc::RecvTimeoutError::Timeout)
        )
    }

    /// Binds the address again; `None` if the target is stopped first.
    fn rebind(&self) -> Option<net::TcpListener> {
        loop {
            match net::TcpListener::bind(self.address) {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    let address = self.address;
                    event!(Warn, "address-taken", address = address, error = error);
                }
            }
            if self.wait_stop(BIND_INTERVAL) {
                return None;
            }
        }
    }
}
