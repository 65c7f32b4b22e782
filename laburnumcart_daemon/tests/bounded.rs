//! The log's writer under readers that stop.

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

/// An output whose reader stands still until it is told to go on.
struct Gate {
    open: mpsc::Receiver<()>,
    passed: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
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

// Whoever reads the log stops to read while the process is busy. Requests go on: no line waits for
// the reader. Later the reader sees that lines are missing, and the failures are there.
#[test]
fn a_reader_that_stops_holds_up_nothing() {
    let text = Arc::new(Mutex::new(Vec::new()));
    let (open, gate) = mpsc::channel();
    let out = Gate {
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
        assert!(time::Instant::now() < end, "neither written nor told");
        std::thread::sleep(time::Duration::from_millis(5));
    }
    let kept = text.lock().unwrap().iter().filter(|b| **b == b'\n').count();
    assert!(kept < 9000, "{kept}");
}

#[test]
fn a_long_line_is_cut() {
    let text = Arc::new(Mutex::new(Vec::new()));
    let (open, gate) = mpsc::channel();
    open.send(()).unwrap();
    let out = Gate {
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
