//! Non-blocking log writer with a bounded queue of lines.

use std::{
    io,
    sync::{
        Arc,
        atomic,
        mpsc, //
    },
    thread,
};

/// Maximum number of queued lines: about one second of a loaded process, and below 2 MB.
const QUEUE_LINES: usize = 8192;

/// Queued lines above which routine lines are dropped, which reserves the rest for failures.
const ROUTINE_LINES: usize = QUEUE_LINES * 3 / 4;

/// Maximum length of a line in bytes; longer ones are truncated.
const LINE_MAX: usize = 4096;

/// Substring that marks a routine line.
const ROUTINE_MARK: &[u8] = b"level=info";

#[derive(Debug, Default)]
struct Counts {
    queued: atomic::AtomicUsize,
    dropped: atomic::AtomicU64,
}

/// Writer that passes lines to a thread that writes them to the output.
///
/// The reader of the output may stall. A request that waited for its log line would be late or lost,
/// so lines are dropped instead and their number is logged.
#[derive(Debug)]
pub struct Writer {
    line: Vec<u8>,
    sender: mpsc::SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl Writer {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(QUEUE_LINES);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_queued(out, &receiver, &shared))?;
        Ok(Self {
            line: Vec::new(),
            sender,
            counts,
        })
    }

    fn send(&mut self) {
        let line = std::mem::take(&mut self.line);
        let queued = self.counts.queued.load(atomic::Ordering::Relaxed);
        let routine = line.windows(ROUTINE_MARK.len()).any(|w| w == ROUTINE_MARK);
        if routine && queued >= ROUTINE_LINES {
            self.counts.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        self.counts.queued.fetch_add(1, atomic::Ordering::Relaxed);
        if self.sender.try_send(line).is_err() {
            self.counts.queued.fetch_sub(1, atomic::Ordering::Relaxed);
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

/// Writes queued lines in batches, and logs the number of dropped lines.
fn write_queued(mut out: impl io::Write, receiver: &mpsc::Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(mut text) = receiver.recv() {
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
            if text.len() > (1 << 16) {
                break;
            }
        }
        counts.queued.fetch_sub(lines, atomic::Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("level=warn event=log-dropped lines={dropped}\n");
            text.extend_from_slice(line.as_bytes());
        }
        // There is nowhere else to report a failed output.
        let _ = out.write_all(&text).and_then(|()| out.flush());
    }
}
