//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with the time since the start; clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<File>>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(BufWriter::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let time = self.0.0.elapsed().as_secs_f64();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.0.1.lock().unwrap().flush();
    }
}
