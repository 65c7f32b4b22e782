//! Writer that never blocks and keeps a bounded number of lines.

use std::{
    io,
    sync::{
        Arc,
        atomic,
        mpsc, //
    },
    thread,
};

/// Lines that may wait: about a second of a loaded process, and below 2 MB.
const LINES: usize = 8192;

/// Lines beyond which those of routine are dropped, so that failures keep their place.
const ROUTINE: usize = LINES * 3 / 4;

/// Longest line; the rest of a longer one is cut.
const LINE_MAX: usize = 4096;

/// What marks a line of routine.
const ROUTINE_MARK: &[u8] = b"level=info";

#[derive(Debug, Default)]
struct Counts {
    waiting: atomic::AtomicUsize,
    dropped: atomic::AtomicU64,
}

/// Hands lines to a thread that writes them.
///
/// Whoever reads the output may stop to read. A request that waited for its log line would be late
/// or lost with it, so lines are dropped instead, and their number is told.
#[derive(Debug)]
pub struct Writer {
    line: Vec<u8>,
    sender: mpsc::SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl Writer {
    /// Starts a writer to `out` on a thread of its own.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(LINES);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write(out, &receiver, &shared))?;
        Ok(Self {
            line: Vec::new(),
            sender,
            counts,
        })
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        let waiting = self.counts.waiting.load(atomic::Ordering::Relaxed);
        let routine = line.windows(ROUTINE_MARK.len()).any(|w| w == ROUTINE_MARK);
        if routine && waiting >= ROUTINE {
            self.counts.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        self.counts.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl io::Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            if self.line.len() < LINE_MAX || *byte == b'\n' {
                self.line.push(*byte);
            }
            if *byte == b'\n' {
                self.send();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what comes, as many lines at once as wait, and tells how many were dropped.
fn write(mut out: impl io::Write, receiver: &mpsc::Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(mut text) = receiver.recv() {
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
            if text.len() > (1 << 16) {
                break;
            }
        }
        counts.waiting.fetch_sub(lines, atomic::Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("level=warn event=log-dropped lines={dropped}\n");
            text.extend_from_slice(line.as_bytes());
        }
        // Nobody is left to tell of an output that is gone.
        let _ = out.write_all(&text).and_then(|()| out.flush());
    }
}
