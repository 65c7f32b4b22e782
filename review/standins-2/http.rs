//! HTTP/1.1 for the stand-ins: one message at a time on a blocking socket.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message arrived as a whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the second word of the line: the path or the status.
    pub fn word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a socket and keeps what follows the last one.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(count);
        std::mem::replace(&mut self.buffer, rest)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2);
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads the next head; `None` at the end of the channel.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.take_line()? else {
            return Ok(None);
        };
        let mut message = Message { line, ..Message::default() };
        while let Some(line) = self.take_line()? {
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        Ok(None)
    }

    /// Reads the body of a message; stops early, not whole, if the channel ends.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|t| t.contains("chunked"));
        if chunked {
            while let Some(line) = self.take_line()? {
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let Ok(size) = size else { return Ok(()) };
                if !self.need(size + 2)? {
                    return Ok(());
                }
                let part = self.take(size + 2);
                if size == 0 {
                    message.whole = true;
                    return Ok(());
                }
                message.body.extend_from_slice(&part[..size]);
            }
            return Ok(());
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.whole = self.need(length)?;
        let count = length.min(self.buffer.len());
        message.body = self.take(count);
        Ok(())
    }

    fn need(&mut self, count: usize) -> io::Result<bool> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }
}

/// Serves requests, one thread for each channel, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static) {
    let handle = std::sync::Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (Reader::new(copy), stream);
                while let Ok(Some(request)) = reader.read() {
                    if !request.whole || !handle(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<bool> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes())?;
    Ok(true)
}

/// Sends a request on a new channel; `None` if there was no whole answer in time.
pub fn call(addr: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    (&stream).write_all(request.as_bytes()).ok()?;
    let left = end.checked_duration_since(Instant::now())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = Reader::new(stream);
    reader.read().ok()?.filter(|m| m.whole && Instant::now() < end)
}

/// Serves requests until `alive` is unset; then closes the port and all channels at once.
pub fn serve_until(
    listener: TcpListener,
    alive: std::sync::Arc<std::sync::atomic::AtomicBool>,
    handle: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    use std::sync::{atomic::Ordering, Arc, Mutex};
    let handle = Arc::new(handle);
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        while alive.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(kept), Ok(copy)) = (stream.try_clone(), stream.try_clone()) else { continue };
            open.lock().unwrap().push(kept);
            let (handle, alive) = (handle.clone(), alive.clone());
            thread::spawn(move || {
                let (mut reader, mut writer) = (Reader::new(copy), stream);
                while let Ok(Some(request)) = reader.read() {
                    let goes_on = request.whole && alive.load(Ordering::Acquire);
                    if !goes_on || !handle(&request, &mut writer).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
        drop(listener);
        for stream in open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
}
