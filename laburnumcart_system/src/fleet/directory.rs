//! Temporary folder of a fleet.

use std::{
    fs,
    path, //
};

/// A temporary folder that is removed when it is dropped, unless the test panics.
#[derive(Debug)]
pub(super) struct Directory(pub(super) path::PathBuf);

impl Directory {
    pub(super) fn new() -> Self {
        let name = format!("laburnumcart-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the processes are kept in {}", self.0.display());
        } else {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
