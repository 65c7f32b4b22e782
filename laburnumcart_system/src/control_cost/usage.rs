//! What a process has used, from `/proc`.

use std::fs;

use crate::process;

/// Clock ticks a second in `/proc/PID/stat`; fixed in the kernel's interface.
const TICKS: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the name: user and system ticks.
const USER: usize = 11;
const SYSTEM: usize = 12;

/// Use of one process up to now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, user and system.
    pub cpu_seconds: f64,
    /// Resident memory in megabytes.
    pub memory_megabytes: f64,
}

impl Usage {
    /// Reads the use of a process; zero when it has ended.
    pub fn of(process: &process::Process) -> Self {
        let id = process.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        Self {
            cpu_seconds: parse_cpu_seconds(&stat).unwrap_or_default(),
            memory_megabytes: parse_memory_megabytes(&status).unwrap_or_default(),
        }
    }
}

/// Returns the seconds in the text of `/proc/PID/stat`.
pub fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    // The name stands in brackets and can hold blanks and brackets itself.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let user: f64 = fields.get(USER)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM)?.parse().ok()?;
    Some((user + system) / TICKS)
}

/// Returns the megabytes of `VmRSS` in the text of `/proc/PID/status`.
pub fn parse_memory_megabytes(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024.0 / 1e6)
}
