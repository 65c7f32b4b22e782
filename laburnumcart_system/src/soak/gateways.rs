//! Processes of the gateways under test.

use std::{
    fs,
    io,
    net,
    path,
    time, //
};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::{
    port,
    process,
    soak::repeats, //
};

struct Gateway {
    name: String,
    callers: net::SocketAddr,
    admin: net::SocketAddr,
    settings: path::PathBuf,
    process: process::Process,
}

/// All gateways of a run.
pub(super) struct Gateways {
    dir: path::PathBuf,
    all: Vec<Gateway>,
}

impl Gateways {
    pub(super) fn start(
        dir: &path::Path,
        count: usize,
        store: net::SocketAddr,
    ) -> io::Result<Self> {
        let mut all = Vec::new();
        for number in 0..count {
            let name = format!("gateway-{number}");
            let (callers, admin, peer) = (
                port::reserve_addr(),
                port::reserve_addr(),
                port::reserve_addr(),
            );
            let settings = json!({
                "instance": name, "data_centre": "north", "callers": callers.to_string(),
                "admin": admin.to_string(), "peer": peer.to_string(), "store": store.to_string(),
                "bounds": { "grace": "6s", "revoke": "5s", "evacuation": "5s",
                    "retry_ratio": repeats::RATIO, "retry_extra": repeats::EXTRA }
            });
            let file = dir.join(format!("{name}.json"));
            fs::write(&file, settings.to_string())?;
            let process = spawn(dir, &name, &file);
            all.push(Gateway {
                name,
                callers,
                admin,
                settings: file,
                process,
            });
        }
        Ok(Self {
            dir: dir.into(),
            all,
        })
    }

    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    pub(super) fn name(&self, index: usize) -> &str {
        &self.all[index].name
    }

    pub(super) fn caller_addr(&self, index: usize) -> net::SocketAddr {
        self.all[index].callers
    }

    /// Returns the lines of an event in the logs, with the name of the gateway.
    pub(super) fn log_lines(&self, event: &str) -> Vec<(&str, String)> {
        let mark = format!(" event={event} ");
        let mut found = Vec::new();
        for gateway in &self.all {
            let output = gateway.process.output();
            let lines = output.lines().filter(|line| line.contains(&mark));
            found.extend(lines.map(|line| (gateway.name.as_str(), line.to_owned())));
        }
        found
    }

    pub(super) fn signal(&mut self, index: usize, signal: Signal) {
        self.all[index].process.signal(signal);
    }

    /// Restarts the gateways that have exited.
    pub(super) fn restart_ended(&mut self) {
        for gateway in &mut self.all {
            if gateway.process.exit_status().is_some() {
                gateway.process = spawn(&self.dir, &gateway.name, &gateway.settings);
            }
        }
    }

    /// Resumes all gateways; has no effect on those that are not stopped.
    pub(super) fn resume_all(&mut self) {
        for index in 0..self.all.len() {
            self.signal(index, Signal::SIGCONT);
        }
    }

    /// Restarts exited gateways and waits until all are ready.
    pub(super) async fn wait_ready(&mut self, limit: time::Duration) -> io::Result<()> {
        let end = time::Instant::now() + limit;
        loop {
            self.restart_ended();
            let mut ready = 0;
            for gateway in &self.all {
                ready += usize::from(is_ready(gateway.admin).await);
            }
            if ready == self.all.len() {
                return Ok(());
            }
            if time::Instant::now() > end {
                return Err(io::Error::other(
                    "the gateways did not become ready in time",
                ));
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

fn spawn(dir: &path::Path, name: &str, settings: &path::Path) -> process::Process {
    let args = ["--settings".into(), settings.display().to_string()];
    process::Process::start(dir, name, "laburnum-gateway", &args)
}

async fn is_ready(addr: net::SocketAddr) -> bool {
    use tokio::io::{
        AsyncReadExt,
        AsyncWriteExt, //
    };
    let probe = async {
        let mut stream = tokio::net::TcpStream::connect(addr).await.ok()?;
        let request = b"GET /readyz HTTP/1.1\r\nhost: soak\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(&head[9..] == b"200")
    };
    let status = tokio::time::timeout(time::Duration::from_secs(1), probe).await;
    status.ok().flatten().unwrap_or(false)
}
