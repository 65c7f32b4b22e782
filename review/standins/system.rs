//! What the cases have in common: the record, the gateways, the engines, and the end of all of them.

use std::{
    fs,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Run, http, store};

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const SIGKILL: u64 = 9;
/// Option of `prctl`: the signal that the process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Record of a run, with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// A gateway process, which is ended when dropped.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Returns a free address; `ip` is a loopback address.
pub fn free_addr(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

impl Gateway {
    /// Prepares a gateway of a data centre; `bounds` is the JSON of its bounds.
    pub fn new(folder: &Path, number: usize, zone: &str, store: SocketAddr, bounds: &str) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let gateway = Self {
            name: format!("frontend-{zone}-{number}"),
            callers: free_addr(ip),
            admin: free_addr(ip),
            peer: free_addr(ip),
            settings: folder.join(format!("gateway-{number}.json")),
            child: None,
        };
        gateway.write_settings(zone, store, bounds);
        gateway
    }

    /// Writes the settings file, as the platform fills in the project's template.
    pub fn write_settings(&self, zone: &str, store: SocketAddr, bounds: &str) {
        let text = format!(
            "{{\n  \"instance\": \"{}\",\n  \"data_centre\": \"{zone}\",\n  \
             \"regions\": {{ \"z-1\": \"r-1\", \"z-2\": \"r-1\", \"z-3\": \"r-1\" }},\n  \
             \"callers\": \"{}\",\n  \"admin\": \"{}\",\n  \"ready_path\": \"/api/readiness\",\n  \
             \"peer\": \"{}\",\n  \"store\": \"{store}\",\n  \"store_writes\": 400,\n  \
             \"cores\": 0.19,\n  \"descriptors\": 4100,\n  \"bounds\": {bounds},\n  \
             \"features\": {{ \"target_speed\": true }},\n  \"telemetry\": {{ \"level\": \"info\" }}\n}}\n",
            self.name, self.callers, self.admin, self.peer
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let mut options = fs::OpenOptions::new();
        options.create(true).append(true);
        let log = options.open(self.settings.with_extension("log")).expect("a log");
        let mut command = Command::new("target/release/laburnum-gateway");
        // SAFETY: the call only sets a property of the new process, which ends with this one then.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .env("LABURNUMCART_BOOT", &self.settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the gateway starts"));
    }

    /// Returns whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the readiness path as the platform does.
    pub fn is_ready(&self) -> bool {
        let mut client = http::Client::new(self.admin);
        let host = self.admin.to_string();
        let ended = client.send(
            "GET /api/readiness HTTP/1.1",
            &[("Host", &host)],
            b"",
            Duration::from_secs(1),
        );
        ended.status() == 200
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_met() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// An engine's process, which can end and start again at its address.
#[derive(Clone)]
pub struct Engine {
    pub addr: SocketAddr,
    is_up: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Ends the process: its port is closed and its channels break.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Starts the process again.
    pub fn start(&self) {
        self.is_up.store(true, Ordering::SeqCst);
    }
}

/// Starts an engine that handles each call by `handle`, which writes the answer itself and returns
/// whether the channel is kept.
pub fn start_engine(
    handle: impl Fn(&http::Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> Engine {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let engine = Engine {
        addr: listener.local_addr().expect("bound"),
        is_up: Arc::new(AtomicBool::new(true)),
        channels: Arc::default(),
    };
    let (own, handle) = (engine.clone(), Arc::new(handle));
    thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if !own.is_up.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(own.addr).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept().ok()
            });
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            own.channels.lock().unwrap().extend(stream.try_clone());
            let handle = handle.clone();
            thread::spawn(move || serve_channel(stream, &*handle));
        }
    });
    engine
}

fn serve_channel(stream: TcpStream, handle: &dyn Fn(&http::Message, &mut TcpStream) -> bool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(call)) = http::read_message(&mut reader) {
        if !handle(&call, &mut writer) {
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Returns the entry of an engine in the store.
pub fn entry(service: &str, addr: SocketAddr, zone: &str, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}"
    )
}

/// Returns a service of the configuration.
pub fn service(name: &str, channels: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":{channels},\
         \"protocol\":\"h1\",\"tls\":false}}"
    )
}

/// Returns a configuration; `limits` and `tenants` as on the users' pages.
pub fn config(version: u64, routes: &[String], services: &[String], tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Bounds of the small deployment, as in the settings of the users' pages.
pub const BOUNDS: &str =
    "{ \"grace\": \"8s\", \"revoke\": \"5000ms\", \"retry_ratio\": 0.2, \"retry_extra\": 54 }";

/// Starts gateways in zones of their own and waits until they serve; `None` if they don't.
pub fn start_gateways(
    run: &Run,
    store: &store::Store,
    count: usize,
    bounds: &str,
) -> Option<Vec<Gateway>> {
    let new = |n| Gateway::new(&run.folder, n, &format!("z-{n}"), store.addr, bounds);
    let mut gateways: Vec<_> = (1..=count).map(new).collect();
    gateways.iter_mut().for_each(Gateway::start);
    let is_ready =
        || gateways.iter().all(Gateway::is_ready) && store.count("gateways") == count;
    if !wait_for(Duration::from_secs(15), is_ready) {
        run.record.line("the gateways did not become ready");
        return None;
    }
    // Lead time before the traffic, shorter than that of the pages.
    thread::sleep(Duration::from_secs(4));
    Some(gateways)
}
