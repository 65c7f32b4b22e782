//! Fake target that sends the bytes that a script returns.
//!
//! It reproduces faults on a connection: truncated, late, duplicate or invalid responses.

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
};

/// Next action of the target on the connection.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits.
    Pause(time::Duration),
    /// Waits until the caller closes the connection and counts it.
    Hang,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
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

struct Shared {
    script: Box<Script>,
    requests: Mutex<Vec<ReceivedRequest>>,
    connections: atomic::AtomicUsize,
    closed_by_caller: atomic::AtomicUsize,
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
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let target = Self {
            addr: listener.local_addr()?,
            shared: Arc::new(Shared {
                script: Box::new(script),
                requests: Mutex::default(),
                connections: atomic::AtomicUsize::new(0),
                closed_by_caller: atomic::AtomicUsize::new(0),
            }),
        };
        tokio::spawn(accept(listener, target.shared.clone()));
        Ok(target)
    }

    /// Returns the address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the received requests in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock_requests(&self.shared).clone()
    }

    /// Returns the number of connections opened.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(atomic::Ordering::Acquire)
    }

    /// Returns the number of connections that the caller closed during a [`Step::Hang`].
    pub fn closed_by_caller(&self) -> usize {
        self.shared.closed_by_caller.load(atomic::Ordering::Acquire)
    }
}

fn lock_requests(shared: &Shared) -> MutexGuard<'_, Vec<ReceivedRequest>> {
    shared
        .requests
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.connections.fetch_add(1, atomic::Ordering::AcqRel);
        let shared = shared.clone();
        tokio::spawn(async move {
            // Many scripts break the connection on purpose.
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let number = {
            let mut all = lock_requests(shared);
            all.push(request.clone());
            all.len() - 1
        };
        for step in (shared.script)(&request, number) {
            match step {
                Step::Send(bytes) => stream.write_all(&bytes).await?,
                Step::Pause(period) => tokio::time::sleep(period).await,
                Step::Hang => {
                    let mut byte = [0];
                    if matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {
                        shared
                            .closed_by_caller
                            .fetch_add(1, atomic::Ordering::AcqRel);
                        return Ok(());
                    }
                }
                Step::Close => return Ok(()),
                Step::Reset => {
                    stream.set_zero_linger()?;
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Reads a request; `None` if the connection is closed.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buffer).await? == 0 {
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
    let length = request
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}
