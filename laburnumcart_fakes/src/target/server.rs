//! Starts a stand-in target, and starts it again after a crash.

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
    core,
    routes,
    settings, //
};

/// Exit code of a process whose target crashed.
const CRASH_CODE: i32 = 70;

/// Idle connections stay open for the whole run, as a platform's targets would keep them.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(3600);

/// Time between tries to take the address again after a crash.
const BIND_PAUSE: time::Duration = time::Duration::from_millis(20);

/// A running stand-in target; stops when dropped.
pub struct Target {
    address: net::SocketAddr,
    stop: mpsc::Sender<()>,
    server: Server,
    thread: Option<thread::JoinHandle<()>>,
}

/// Drops all connections and the listener of the server that runs, if one does.
type Halt = Box<dyn Fn() + Send>;

type Server = sync::Arc<sync::Mutex<Option<Halt>>>;

/// Starts a target on its own threads.
pub fn start(settings: settings::Settings) -> io::Result<Target> {
    let listener = net::TcpListener::bind(settings.address)?;
    let address = listener.local_addr()?;
    let server = Server::default();
    let crash = halt(&server);
    let core = sync::Arc::new(core::Core::new(settings, crash));
    let (stop, stopped) = mpsc::channel();
    let supervisor = Supervisor {
        core,
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

/// Returns a function that drops all connections and the listener of a server.
fn halt(server: &Server) -> impl Fn() + Send + Sync + 'static {
    let server = server.clone();
    move || {
        if let Some(halt) = &*server.lock().unwrap() {
            halt();
        }
    }
}

impl Target {
    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        halt(&self.server)();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Supervisor {
    core: sync::Arc<core::Core>,
    address: net::SocketAddr,
    server: Server,
    stopped: mpsc::Receiver<()>,
}

impl Supervisor {
    fn run(self, mut listener: net::TcpListener) {
        loop {
            if let Err(error) = self.serve(listener) {
                let target = &self.core.settings.name;
                event!(Error, "target-failed", target = target, error = error);
                return;
            }
            let restart = self.core.downtime();
            if self.core.settings.exit_on_crash && !self.stops(time::Duration::ZERO) {
                process::exit(CRASH_CODE);
            }
            if self.stops(restart) {
                return;
            }
            self.core.reboot();
            event!(Info, "target-restarted", target = self.core.settings.name);
            let Some(next) = self.bind() else { return };
            listener = next;
        }
    }

    /// Serves until the server is stopped.
    fn serve(&self, listener: net::TcpListener) -> io::Result<()> {
        let server = {
            // Held over the start, so that a crash in the first call finds the handle.
            let mut halt = self.server.lock().unwrap();
            let mut server = App::new()
                .with_state(self.core.clone())
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
            *halt = Some(Box::new(move || handle.stop(false)));
            server
        };
        server.wait()
    }

    /// Waits for a stop for at most `time`.
    fn stops(&self, time: time::Duration) -> bool {
        !matches!(
            self.stopped.recv_timeout(time),
            Err(mpsc::RecvTimeoutError::Timeout)
        )
    }

    /// Takes the address again; `None` when stopped meanwhile.
    fn bind(&self) -> Option<net::TcpListener> {
        loop {
            match net::TcpListener::bind(self.address) {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    let address = self.address;
                    event!(Warn, "address-taken", address = address, error = error);
                }
            }
            if self.stops(BIND_PAUSE) {
                return None;
            }
        }
    }
}
