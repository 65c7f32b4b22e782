//! Child processes of a test.

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

/// A running binary; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: process::Child,
    log: path::PathBuf,
}

/// Returns the path of a binary of this workspace.
///
/// Searches the directory of the running executable first and then each of its parents.
///
/// # Panics
///
/// Panics when the binary has not been built.
pub fn binary(name: &str) -> path::PathBuf {
    let executable = env::current_exe().expect("path of the running executable");
    let found = executable
        .ancestors()
        .skip(1)
        .map(|dir| dir.join(name))
        .find(|file| file.is_file());
    found.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace first"))
}

impl Process {
    /// Starts a binary of this workspace and appends its output to `<dir>/<name>.log`.
    ///
    /// # Panics
    ///
    /// Panics when the binary cannot be started.
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

    /// Returns the name that the process was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of the process so far.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: signal::Signal) {
        let id = unistd::Pid::from_raw(self.child.id().cast_signed());
        // The process may have ended already; tests wait for its end separately.
        let _ = signal::kill(id, signal);
    }

    /// Suspends the process and waits until all its threads are stopped.
    ///
    /// One thread takes the signal and stops the others, which run on until that thread is
    /// scheduled. On a busy host that is long enough to read and answer a message sent after the
    /// signal, so a test must not rely on the signal alone.
    pub async fn pause(&self) {
        self.signal(signal::Signal::SIGSTOP);
        wait::until(&format!("threads of {} to stop", self.name), || async {
            self.is_paused().then_some(())
        })
        .await;
    }

    /// Resumes the process after [`Process::pause`].
    pub fn resume(&self) {
        self.signal(signal::Signal::SIGCONT);
    }

    /// Reports whether all threads of the process are stopped.
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

    /// Returns the exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the targets of the open file descriptors of the process.
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

    /// Returns the process IDs of the child processes.
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

/// Reports whether the text of `/proc/PID/task/TID/stat` shows a stopped thread.
///
/// The state follows the thread's name, which is enclosed in parentheses.
fn is_stopped(stat: &str) -> bool {
    let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
    state.is_some_and(|rest| rest.starts_with(['T', 't']))
}
