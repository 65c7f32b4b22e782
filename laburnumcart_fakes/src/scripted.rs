//! Fake target that sends the bytes that a script returns.
//!
//! It answers status checks and load reports by itself until it crashes. It reproduces faults on a connection: truncated, late, duplicate or invalid responses.

use std::{
    io, net,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic, //
    },
    time,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
};

/// Paths of the target's status check and of its load report.
const PROBE_PATHS: [&str; 2] = ["/health", "/api/report"];

/// Answer to these.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Least number of bytes that an endless step without pauses writes at once.
const ENDLESS_WRITE: usize = 16 << 10;

/// What callers see of a target that has crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// Its connections are reset and new ones are refused.
    Refuses,
    /// Its connections are reset, new ones as soon as they are accepted.
    Resets,
    /// Its connections stay open, new ones are accepted, and no byte comes any more.
    Silent,
}

/// Next action of the target on the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(time::Duration),
    /// Sends bytes again and again, with a pause between, until the caller closes the connection,
    /// and counts it.
    Endless(Vec<u8>, time::Duration),
    /// Waits until the caller closes the connection and counts it.
    Hang,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Crashes the target, with all of its connections.
    Crash(Crash),
}

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Names in lower case with their values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

type Script = dyn Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync;

/// Script of a new connection, which gets the number of earlier ones.
pub type AcceptScript = dyn Fn(usize) -> Vec<Step> + Send + Sync;

/// Script of the head of a request.
pub type HeadScript = dyn Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync;

/// Scripts of what happens before a request is read as a whole.
#[derive(Default)]
pub struct Early {
    /// Steps on a new connection before anything is read, by the number of earlier connections.
    pub on_accept: Option<Box<AcceptScript>>,
    /// Steps after the head of a request has been read, before its body.
    pub on_head: Option<Box<HeadScript>>,
}

struct Shared {
    script: Box<Script>,
    early: Early,
    requests: Mutex<Vec<ReceivedRequest>>,
    connections: atomic::AtomicUsize,
    closed_by_caller: atomic::AtomicUsize,
    probes: atomic::AtomicUsize,
    /// What the target sends to status checks, if it does not answer them.
    probe_steps: Mutex<Option<Vec<Step>>>,
    crash: watch::Sender<Option<Crash>>,
    stopped: watch::Sender<bool>,
}

impl Shared {
    /// Waits until the target is stopped, or until it is not.
    async fn wait_stopped(&self, expected: bool) {
        let mut stopped = self.stopped.subscribe();
        // The sender is part of the target, so that it outlives the wait.
        let _ = stopped.wait_for(|stopped| *stopped == expected).await;
    }
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    addr: net::SocketAddr,
    shared: Arc<Shared>,
}

impl Target {
    /// Starts a target on loopback; the script gets each request and the number of earlier ones.
    pub async fn start(
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_early(Early::default(), script).await
    }

    /// Starts a target like [`Target::start`] that also acts before it has read a request.
    pub async fn start_early(
        early: Early,
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Self {
            addr: listener.local_addr()?,
            shared: Arc::new(Shared {
                script: Box::new(script),
                early,
                requests: Mutex::default(),
                connections: atomic::AtomicUsize::new(0),
                closed_by_caller: atomic::AtomicUsize::new(0),
                probes: atomic::AtomicUsize::new(0),
                probe_steps: Mutex::default(),
                crash: watch::Sender::new(None),
                stopped: watch::Sender::new(false),
            }),
        };
        tokio::spawn(accept(listener, target.shared.clone()));
        Ok(target)
    }

    /// Returns the address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the number of status checks and load reports.
    pub fn probes(&self) -> usize {
        self.shared.probes.load(atomic::Ordering::Acquire)
    }

    /// Sets what the target does on status checks and load reports instead of answering them.
    pub fn set_probe_steps(&self, steps: Vec<Step>) {
        let steps = Some(steps);
        *lock(&self.shared.probe_steps) = steps;
    }

    /// Crashes the target.
    pub fn crash(&self, crash: Crash) {
        self.shared.crash.send_replace(Some(crash));
    }

    /// Stops the target, as a signal stops a process: it accepts, reads and sends nothing more,
    /// while the system accepts connections and keeps what is sent.
    pub fn stop(&self) {
        self.shared.stopped.send_replace(true);
    }

    /// Continues a stopped target, which then reads all that waits.
    pub fn resume(&self) {
        self.shared.stopped.send_replace(false);
    }

    /// Returns whether the target has crashed.
    pub fn is_crashed(&self) -> bool {
        self.shared.crash.borrow().is_some()
    }

    /// Returns the received requests in order, without those that it answers by itself.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.requests).clone()
    }

    /// Returns the number of connections opened.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of connections that the caller closed during a [`Step::Hang`] or a
    /// [`Step::Endless`].
    pub fn closed_by_caller(&self) -> usize {
        self.shared.closed_by_caller.load(atomic::Ordering::Acquire)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut crash = shared.crash.subscribe();
    loop {
        shared.wait_stopped(false).await;
        let stream = tokio::select! {
            biased;
            () = shared.wait_stopped(true) => continue,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => return,
            },
            // Dropping the listener makes the system refuse new connections.
            _ = crash.wait_for(|crash| *crash == Some(Crash::Refuses)) => return,
        };
        let number = shared.connections.fetch_add(1, atomic::Ordering::AcqRel);
        tokio::spawn(serve_until_crash(stream, shared.clone(), number));
    }
}

async fn serve_until_crash(mut stream: TcpStream, shared: Arc<Shared>, number: usize) {
    let mut crash = shared.crash.subscribe();
    let crash = tokio::select! {
        biased;
        // The sender is dropped only with the target.
        crash = crash.wait_for(Option::is_some) => crash.ok().and_then(|crash| *crash),
        // Many scripts break the connection on purpose.
        _ = serve(&mut stream, &shared, number) => None,
    };
    match crash {
        None => {}
        Some(Crash::Silent) => std::future::pending().await,
        Some(Crash::Refuses | Crash::Resets) => {
            // Fails only if the caller has closed the connection.
            let _ = stream.set_zero_linger();
        }
    }
}

async fn serve(stream: &mut TcpStream, shared: &Shared, number: usize) -> io::Result<()> {
    let on_accept = shared.early.on_accept.as_ref();
    let steps = on_accept.map_or_else(Vec::new, |script| script(number));
    if !run_steps(stream, shared, steps).await? {
        return Ok(());
    }
    let mut buffer = Vec::new();
    while let Some(mut request) = read_head(stream, &mut buffer, shared).await? {
        let is_probe = PROBE_PATHS.contains(&request.path());
        let on_head = shared.early.on_head.as_ref().filter(|_| !is_probe);
        let steps = on_head.map_or_else(Vec::new, |script| script(&request));
        if !run_steps(stream, shared, steps).await? {
            return Ok(());
        }
        if !read_body(stream, &mut buffer, shared, &mut request).await? {
            return Ok(());
        }
        let steps = if is_probe {
            shared.probes.fetch_add(1, atomic::Ordering::AcqRel);
            let steps = lock(&shared.probe_steps).clone();
            steps.unwrap_or_else(|| vec![Step::Send(HEALTHY.to_vec())])
        } else {
            let number = {
                let mut all = lock(&shared.requests);
                all.push(request.clone());
                all.len() - 1
            };
            (shared.script)(&request, number)
        };
        if !run_steps(stream, shared, steps).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Runs steps and returns whether the connection goes on.
async fn run_steps(stream: &mut TcpStream, shared: &Shared, steps: Vec<Step>) -> io::Result<bool> {
    let count_close = || {
        let closed = &shared.closed_by_caller;
        closed.fetch_add(1, atomic::Ordering::AcqRel);
    };
    for step in steps {
        shared.wait_stopped(false).await;
        match step {
            Step::Send(bytes) => stream.write_all(&bytes).await?,
            Step::Pause(period) => tokio::time::sleep(period).await,
            Step::Endless(bytes, pause) => {
                let result = send_endless(stream, &bytes, pause).await;
                count_close();
                return result.map(|()| false);
            }
            Step::Hang => {
                let mut byte = [0];
                if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                    count_close();
                    return Ok(false);
                }
            }
            Step::Close => return Ok(false),
            Step::Reset => {
                stream.set_zero_linger()?;
                return Ok(false);
            }
            Step::Crash(crash) => {
                shared.crash.send_replace(Some(crash));
                std::future::pending().await
            }
        }
    }
    Ok(true)
}

/// Sends bytes again and again until the caller closes the connection.
async fn send_endless(
    stream: &mut TcpStream,
    bytes: &[u8],
    pause: time::Duration,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let send = async {
        if !pause.is_zero() {
            loop {
                writer.write_all(bytes).await?;
                tokio::time::sleep(pause).await;
            }
        }
        let bytes = bytes.repeat(ENDLESS_WRITE.div_ceil(bytes.len()));
        loop {
            writer.write_all(&bytes).await?;
        }
    };
    let mut byte = [0];
    tokio::select! {
        result = send => result,
        // The caller sends nothing while its request is in progress.
        result = reader.read(&mut byte) => result.map(|_| ()),
    }
}

/// Reads bytes, but none while the target is stopped.
async fn read_some(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    shared: &Shared,
) -> io::Result<usize> {
    loop {
        shared.wait_stopped(false).await;
        tokio::select! {
            biased;
            () = shared.wait_stopped(true) => {}
            read = stream.read_buf(buffer) => return read,
        }
    }
}

/// Reads the head of a request; `None` if the connection is closed.
async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    shared: &Shared,
) -> io::Result<Option<ReceivedRequest>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if read_some(stream, buffer, shared).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut request = ReceivedRequest {
        line: lines.next().unwrap_or_default().into(),
        ..ReceivedRequest::default()
    };
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let pair = |(name, value): (&str, &str)| (name.to_ascii_lowercase(), value.trim().to_owned());
    request.headers.extend(pairs.map(pair));
    Ok(Some(request))
}

/// Reads the body of a request; returns `false` if the connection is closed before its end.
async fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    shared: &Shared,
    request: &mut ReceivedRequest,
) -> io::Result<bool> {
    let length = request
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if read_some(stream, buffer, shared).await? == 0 {
            return Ok(false);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(true)
}
