//! Responses as they arrive on a kept connection.

use std::time;

use tokio::{
    io::AsyncReadExt,
    net::tcp, //
};

use crate::soak::history::Call;

/// Bytes of one read, and of one read of a slow caller.
const READ_BYTES: usize = 4096;
const SLOW_BYTES: usize = 64;

/// Pause of a slow caller before each read.
const SLOW_PAUSE: time::Duration = time::Duration::from_millis(8);

/// Reading half of a connection.
pub(super) struct Incoming {
    stream: tcp::OwnedReadHalf,
    buffer: Vec<u8>,
    /// Whether bodies are read slowly.
    slow: bool,
}

impl Incoming {
    pub(super) fn new(stream: tcp::OwnedReadHalf, slow: bool) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            slow,
        }
    }

    /// Waits until bytes or the end arrive; reports whether it is the end.
    pub(super) async fn wait_end(&mut self) -> bool {
        let mut byte = [0];
        !matches!(self.stream.peek(&mut byte).await, Ok(1))
    }

    /// Reads a response into `call`; returns `None` if the connection ends before it.
    ///
    /// `told` is called if the head says that the connection will be closed.
    pub(super) async fn read_response(&mut self, call: &mut Call, told: impl Fn()) -> Option<()> {
        let (mut length, mut status) = (Some(0), 100);
        while status / 100 == 1 {
            status = self.read_line().await?.split(' ').nth(1)?.parse().ok()?;
            loop {
                let line = self.read_line().await?.to_ascii_lowercase();
                match line.split_once(": ") {
                    Some(("content-length", value)) => length = value.parse().ok(),
                    Some(("transfer-encoding", _)) => length = None,
                    Some(("connection", "close")) => told(),
                    Some(_) => {}
                    None => break,
                }
            }
        }
        call.status = Some(status);
        match length {
            Some(length) => self.read_bytes(length, &mut call.body).await?,
            None => loop {
                let size = usize::from_str_radix(&self.read_line().await?, 16).ok()?;
                self.read_bytes(size, &mut call.body).await?;
                self.read_line().await?;
                if size == 0 {
                    break;
                }
            },
        }
        call.complete = true;
        Some(())
    }

    async fn read_more(&mut self, most: usize) -> Option<()> {
        let mut bytes = vec![0; most];
        let count = self.stream.read(&mut bytes).await.ok()?;
        self.buffer.extend(&bytes[..count]);
        (count > 0).then_some(())
    }

    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<_> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more(READ_BYTES).await?;
        }
    }

    async fn read_bytes(&mut self, mut count: usize, body: &mut String) -> Option<()> {
        while count > 0 {
            if self.buffer.is_empty() {
                match self.slow {
                    true => {
                        tokio::time::sleep(SLOW_PAUSE).await;
                        self.read_more(SLOW_BYTES).await?;
                    }
                    false => self.read_more(READ_BYTES).await?,
                }
            }
            let part: Vec<_> = self.buffer.drain(..count.min(self.buffer.len())).collect();
            count -= part.len();
            body.push_str(&String::from_utf8_lossy(&part));
        }
        Some(())
    }
}
