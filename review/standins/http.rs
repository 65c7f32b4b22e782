//! HTTP/1.1 messages over blocking sockets, as far as the cases need them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response: first line, headers in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the first line and the headers; `None` if the channel ends before the first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message, by its length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if size == 0 {
                return Ok(());
            }
        }
    }
    let size = message.header("content-length").and_then(|n| n.parse().ok());
    message.body.resize(size.unwrap_or(0), 0);
    reader.read_exact(&mut message.body)
}

/// Reads a whole message; `None` if the channel ends before the first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a message with its length.
pub fn write_message(
    stream: &mut impl Write,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    stream.flush()
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// A whole answer.
    Answer(Message),
    /// The channel ended, or nothing came in time, before the answer was whole.
    Cut(String),
}

impl Ended {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            Self::Cut(_) => 0,
        }
    }
}

/// A client with one kept channel.
pub struct Client {
    addr: SocketAddr,
    channel: Option<BufReader<TcpStream>>,
    /// Requests that were answered on the open channel.
    pub answered: u32,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            channel: None,
            answered: 0,
        }
    }

    pub fn is_open(&self) -> bool {
        self.channel.is_some()
    }

    /// Sends a request on the kept channel, or on a new one, and waits for the whole answer.
    pub fn send(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
    ) -> Ended {
        match self.exchange(first, headers, body, wait) {
            Ok(Some(message)) => {
                let says_close = message.header("connection") == Some("close");
                self.answered += 1;
                if says_close {
                    self.close();
                }
                Ended::Answer(message)
            }
            Ok(None) => {
                self.close();
                Ended::Cut("the channel was closed".into())
            }
            Err(error) => {
                self.close();
                Ended::Cut(error.to_string())
            }
        }
    }

    pub fn close(&mut self) {
        self.channel = None;
        self.answered = 0;
    }

    fn exchange(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
    ) -> io::Result<Option<Message>> {
        if self.channel.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.channel = Some(BufReader::new(stream));
        }
        let reader = self.channel.as_mut().expect("was opened");
        reader.get_ref().set_read_timeout(Some(wait))?;
        reader.get_ref().set_write_timeout(Some(wait))?;
        write_message(reader.get_mut(), first, headers, body)?;
        read_message(reader)
    }
}

/// Returns the value of a member of a JSON object, or of an element, as raw text.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let quoted = format!("\"{name}\"");
    let (bytes, mut depth, mut at) = (text.as_bytes(), 0_i32, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let end = string_end(bytes, at);
                if depth == 1 && text[at..=end] == quoted {
                    let rest = text[end + 1..].trim_start();
                    if let Some(value) = rest.strip_prefix(':') {
                        let value = value.trim_start();
                        return Some(&value[..value_end(value.as_bytes())]);
                    }
                }
                at = end;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    None
}

fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at.min(bytes.len() - 1)
}

fn value_end(bytes: &[u8]) -> usize {
    let (mut depth, mut at) = (0_i32, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = string_end(bytes, at),
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// Returns a text value without its quotes.
pub fn text(value: Option<&str>) -> &str {
    value.unwrap_or("").trim().trim_matches('"')
}
