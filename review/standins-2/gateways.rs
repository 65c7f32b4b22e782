//! Processes of the gateway, as the deploy file runs them.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const HUP: i32 = 1;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Settings {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub descriptors: u32,
    /// Writes a second that the store takes.
    pub store_writes: u32,
    /// `retry_budget_extra` of the sheet.
    pub retry_extra: u32,
}

/// One machine with its gateway.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// First port below those that the kernel gives to clients, from which free ones are sought.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Returns a free address that no other machine of this run has.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset % PORTS;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("a bound port");
        }
    }
}

impl Gateway {
    /// Writes the settings of a machine, which is not started yet.
    pub fn new(name: &str, zone: &str, cores: f64, common: &Settings) -> Self {
        let (callers, ready, peer) = (free_addr(), free_addr(), free_addr());
        let text = format!(
            r#"{{
  "instance": "{name}", "data_centre": "{zone}",
  "regions": {{ "zone-a": "geo", "zone-b": "geo", "zone-c": "geo" }},
  "callers": "{callers}", "admin": "{ready}", "ready_path": "/api/readiness", "peer": "{peer}",
  "store": "{}", "store_writes": {}, "cores": {cores}, "descriptors": {},
  "bounds": {{ "grace": "8s", "revoke": "5000ms", "retry_ratio": 0.2, "retry_extra": {} }},
  "features": {{ "target_speed": true }}, "telemetry": {{ "level": "info" }}
}}
"#,
            common.store, common.store_writes, common.descriptors, common.retry_extra
        );
        let settings = common.folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = common.folder.join(format!("{name}.log"));
        Self { name: name.to_owned(), callers, ready, peer, settings, log, child: None }
    }

    pub fn settings(&self) -> &PathBuf {
        &self.settings
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn start(&mut self) {
        let program = std::env::var("GATEWAY").unwrap_or_else(|_| "target/release/laburnum-gateway".into());
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(program)
            .env("LABURNUMCART_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the gateway starts");
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Ends the process and waits for its end.
    pub fn end(&mut self) {
        self.signal(KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|a| a.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}
