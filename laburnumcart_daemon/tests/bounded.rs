//! Bounded log writer with a stalled reader.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    time,
};

use laburnumcart_daemon::logs::bounded;

/// An output that blocks until the test opens it.
struct Blocked {
    open: mpsc::Receiver<()>,
    passed: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.passed {
            self.passed = self.open.recv().is_ok();
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A stalled log reader must not block requests; it gets failures and the drop count on resuming.
#[test]
fn stalled_reader_does_not_block_writes() {
    let text = Arc::new(Mutex::new(Vec::new()));
    let (open, gate) = mpsc::channel();
    let out = Blocked {
        open: gate,
        passed: false,
        text: text.clone(),
    };
    let mut log = bounded::Writer::start(out).unwrap();
    for n in 0..50_000 {
        writeln!(log, "level=info event=routine n={n}").unwrap();
    }
    writeln!(log, "level=warn event=failure").unwrap();
    open.send(()).unwrap();
    let end = time::Instant::now() + time::Duration::from_secs(20);
    let has = |mark: &str| String::from_utf8_lossy(&text.lock().unwrap()).contains(mark);
    while !(has("event=failure") && has("event=log-dropped")) {
        assert!(
            time::Instant::now() < end,
            "failure or number of dropped lines not written"
        );
        std::thread::sleep(time::Duration::from_millis(5));
    }
    let kept = text.lock().unwrap().iter().filter(|b| **b == b'\n').count();
    assert!(kept < 9000, "{kept}");
}

#[test]
fn long_line_is_truncated() {
    let text = Arc::new(Mutex::new(Vec::new()));
    let (open, gate) = mpsc::channel();
    open.send(()).unwrap();
    let out = Blocked {
        open: gate,
        passed: false,
        text: text.clone(),
    };
    let mut log = bounded::Writer::start(out).unwrap();
    writeln!(log, "{}", "x".repeat(100_000)).unwrap();
    let end = time::Instant::now() + time::Duration::from_secs(20);
    while !text.lock().unwrap().ends_with(b"\n") {
        assert!(time::Instant::now() < end);
        std::thread::sleep(time::Duration::from_millis(5));
    }
    assert_eq!(text.lock().unwrap().len(), 4097);
}
