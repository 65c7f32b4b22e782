//! The fake object service as a process.

use std::{
    fs,
    io::{
        self,
        BufRead,
        Read,
        Write, //
    },
    net, path, process, time,
};

/// Timeout of waits that normally end much earlier.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

struct Process {
    child: process::Child,
    addr: net::SocketAddr,
}

impl Process {
    fn start() -> Self {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_laburnum-fake-store"))
            .args(["--listen", "127.0.0.1:0", "--writes", "400/s"])
            .args(["--reads", "2000/s", "--list-lag", "5s"])
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = io::BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let addr = line.trim().strip_prefix("listening ").unwrap();
        let addr = addr.parse().unwrap();
        Self { child, addr }
    }

    /// Sends a request and returns the status and the body.
    fn call(&self, head: &str, body: &str) -> (u16, String) {
        let mut stream = net::TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let length = body.len();
        let (line, headers) = head.split_once('\n').unwrap_or((head, ""));
        write!(
            stream,
            "{line} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\
             {headers}\r\n{body}"
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        (status, body.to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn statuses_follow_the_protocol() {
    let process = Process::start();
    let absent = "PUT /v1/objects/a\nif-none-match: *\r\n";
    assert_eq!(process.call("GET /healthz", "").0, 200);
    assert_eq!(process.call("GET /v1/objects/a", "").0, 404);
    assert_eq!(process.call(absent, "1").0, 200);
    assert_eq!(process.call(absent, "1").0, 412);
    assert_eq!(process.call("PUT /v1/objects/a", "1").0, 400);
    assert_eq!(process.call("GET /v1/objects/a", ""), (200, "1".into()));
    let large = format!("\"{}\"", "x".repeat(1 << 20));
    assert_eq!(process.call(absent, &large).0, 413);
    let delete = "DELETE /v1/objects/b\nif-match: \"1\"\r\n";
    assert_eq!(process.call(delete, "").0, 404);
    let delete = "DELETE /v1/objects/a\nif-match: \"1\"\r\n";
    assert_eq!(process.call(delete, "").0, 412);
    let old = process.call("GET /v1/watch?prefix=a&after=1&wait=0", "");
    assert_eq!(old.0, 410);
    assert_eq!(process.call("GET /v1/watch?prefix=a", "").0, 400);
}

#[test]
fn faults_and_counts_are_available_over_http() {
    let process = Process::start();
    let down = process.call("POST /admin/faults", r#"{"down":true,"slow":"1ms"}"#);
    assert_eq!(down.0, 200);
    assert_eq!(process.call("GET /v1/objects/a/b", "").0, 503);
    assert_eq!(process.call("POST /admin/faults", "{}").0, 200);
    assert_eq!(process.call("GET /v1/objects/a/b", "").0, 404);
    assert_eq!(
        process.call("POST /admin/faults", r#"{"dwon":true}"#).0,
        400
    );
    let (status, counts) = process.call("GET /admin/counts", "");
    assert_eq!(status, 200);
    let counts: laburnumcart_fakes::store::counts::Report = serde_json::from_str(&counts).unwrap();
    assert_eq!(counts.prefixes["a"].reads, 2);
    assert_eq!(counts.total.writes, 0);
}

#[test]
fn process_has_no_io_uring_open() {
    let process = Process::start();
    assert_eq!(process.call("GET /healthz", "").0, 200);
    let dir = path::PathBuf::from(format!("/proc/{}/fd", process.child.id()));
    let links: Vec<_> = fs::read_dir(dir)
        .unwrap()
        .filter_map(|entry| fs::read_link(entry.unwrap().path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect();
    assert!(
        links.iter().any(|link| link.contains("eventpoll")),
        "{links:?}"
    );
    assert!(
        !links.iter().any(|link| link.contains("io_uring")),
        "{links:?}"
    );
}

#[test]
fn invalid_arguments_exit_with_2() {
    for args in [["--writes", "fast"], ["--nonsense", "1"]] {
        let output = process::Command::new(env!("CARGO_BIN_EXE_laburnum-fake-store"))
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2));
    }
}
