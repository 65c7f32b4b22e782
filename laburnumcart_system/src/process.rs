//! One child process of a test.

use std::{
    env,
    fs,
    io,
    path,
    process, //
};

use nix::{
    sys::signal,
    unistd, //
};

use crate::wait;

/// A running binary; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: process::Child,
    log: path::PathBuf,
}

/// Returns the path of a binary of this workspace, beside the test's own.
///
/// # Panics
///
/// Panics when the binary has not been built.
pub fn binary(name: &str) -> path::PathBuf {
    let test = env::current_exe().expect("path of the test");
    let found = test
        .ancestors()
        .skip(1)
        .map(|dir| dir.join(name))
        .find(|file| file.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace first"))
}

impl Process {
    /// Starts a binary of this workspace with its output in `<dir>/<name>.log`.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub fn start(dir: &path::Path, name: &str, program: &str, args: &[String]) -> Self {
        let log = dir.join(format!("{name}.log"));
        let out = fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("log file");
        let child = process::Command::new(binary(program))
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(out.try_clone().expect("log file"))
            .stderr(out)
            .spawn()
            .unwrap_or_else(|error| panic!("{program}: {error}"));
        Self {
            name: name.into(),
            child,
            log,
        }
    }

    /// Returns the name that it was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the number of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what it has printed so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: signal::Signal) {
        let id = unistd::Pid::from_raw(self.child.id().cast_signed());
        // A process that has already ended is not an error here: tests wait for its end.
        let _ = signal::kill(id, signal);
    }

    /// Stops it where it is, and waits until it stands still.
    ///
    /// One of its threads takes the signal and stops the others. Until that thread gets the
    /// processor the others go on, on a busy host for long enough to read and answer what is sent
    /// after the signal. A test that takes the process for standing still would be wrong then.
    pub async fn pause(&self) {
        self.signal(signal::Signal::SIGSTOP);
        wait::until(&format!("{} stands still", self.name), || async {
            self.is_paused().then_some(())
        })
        .await;
    }

    /// Lets it go on after [`Process::pause`].
    pub fn resume(&self) {
        self.signal(signal::Signal::SIGCONT);
    }

    /// Reports whether each of its threads is stopped.
    pub fn is_paused(&self) -> bool {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.id()));
        tasks.is_ok_and(|tasks| {
            let paths = tasks.flatten().map(|task| task.path().join("stat"));
            // A thread can end between listing and reading.
            paths
                .filter_map(|path| fs::read_to_string(path).ok())
                .all(|stat| is_stopped(&stat))
        })
    }

    /// Returns its exit status if it has ended.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it at once and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns what its open descriptors point to.
    pub fn descriptors(&self) -> io::Result<Vec<String>> {
        let mut links = Vec::new();
        for entry in fs::read_dir(format!("/proc/{}/fd", self.id()))? {
            // A descriptor can be closed between listing and reading.
            if let Ok(link) = fs::read_link(entry?.path()) {
                links.push(link.to_string_lossy().into_owned());
            }
        }
        Ok(links)
    }

    /// Returns the numbers of its child processes.
    pub fn children(&self) -> Vec<u32> {
        let path = format!("/proc/{0}/task/{0}/children", self.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        text.split_whitespace()
            .filter_map(|id| id.parse().ok())
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the state of a thread, which stands behind its name in brackets.
fn is_stopped(stat: &str) -> bool {
    let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
    state.is_some_and(|rest| rest.starts_with(['T', 't']))
}
