//! The entry as a process: start without the object service, shutdown, and invalid settings.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net,
    path,
    process,
    thread,
    time, //
};

use laburnumcart_fakes::port;

const LIMIT: time::Duration = time::Duration::from_secs(30);

/// Public key that no signature is checked with.
const KEY: &str = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=";

struct Entry {
    child: process::Child,
    callers: net::SocketAddr,
    dir: path::PathBuf,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The process has ended unless the test failed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn settings(callers: net::SocketAddr, secret: &str) -> String {
    serde_json::json!({
        "instance": "entry-1",
        "data_centre": "dc-1",
        "callers": callers.to_string(),
        "peer": port::reserve_addr().to_string(),
        "fleet": { "secrets": [secret], "keys": { "ops": KEY }, "signers": 1 },
        "platform": { "address": port::reserve_addr().to_string() },
        "stop_limit": "5s",
    })
    .to_string()
}

fn start(secret: &str) -> Entry {
    let dir = std::env::temp_dir().join(format!("laburnum-entry-{}", port::reserve_addr().port()));
    fs::create_dir_all(&dir).unwrap();
    let callers = port::reserve_addr();
    let file = dir.join("entry.json");
    fs::write(&file, settings(callers, secret)).unwrap();
    let child = process::Command::new(env!("CARGO_BIN_EXE_laburnum-entry"))
        .arg("--settings")
        .arg(&file)
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap();
    Entry {
        child,
        callers,
        dir,
    }
}

fn send_request(addr: net::SocketAddr, line: &str) -> Option<String> {
    let mut stream = net::TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer x\r\n\
         connection: close\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn wait<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let start_time = time::Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start_time.elapsed() < LIMIT, "not within the limit");
        thread::sleep(time::Duration::from_millis(20));
    }
}

// An entry without a bundle must be alive but not ready, refuse callers, and exit 0 on SIGTERM.
#[test]
fn starts_and_stops_without_object_service() {
    let mut entry = start("secret-of-the-fleet");
    let health = wait(|| send_request(entry.callers, "GET /healthz"));
    assert!(health.starts_with("HTTP/1.1 200"), "{health}");
    let ready = send_request(entry.callers, "GET /readyz").unwrap();
    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    let metrics = send_request(entry.callers, "GET /metrics").unwrap();
    assert!(metrics.contains("laburnum_entry_lanes 0"), "{metrics}");
    let refused = send_request(entry.callers, "POST /v1/pipelines/echo").unwrap();
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(
        refused.to_lowercase().contains("retry-after: 1"),
        "{refused}"
    );
    assert!(
        refused.contains("\"no-bundle\"") && refused.contains("\"not-run\""),
        "{refused}"
    );
    let pid = entry.child.id().to_string();
    let sent = process::Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.unwrap().success());
    let status = wait(|| entry.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(0));
}

#[test]
fn invalid_settings_exit_2() {
    let mut entry = start("short");
    let status = wait(|| entry.child.try_wait().unwrap());
    assert_eq!(status.code(), Some(2));
}
