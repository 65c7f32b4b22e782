//! Resource usage of a process, read from `/proc`.

use std::fs;

use crate::process;

/// Clock ticks per second in `/proc/PID/stat`; fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of the user time in `/proc/PID/stat`, counted from the field after the name.
const USER_FIELD: usize = 11;

/// Index of the system time in `/proc/PID/stat`, counted from the field after the name.
const SYSTEM_FIELD: usize = 12;

/// Resource usage of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, user and system.
    pub cpu_seconds: f64,
    /// Resident memory in megabytes.
    pub memory_megabytes: f64,
}

impl Usage {
    /// Reads the usage of a process; all values are zero if it has ended.
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

/// Returns the processor time in seconds from the text of `/proc/PID/stat`.
pub fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    // The name is enclosed in parentheses and can itself contain spaces and parentheses.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let user: f64 = fields.get(USER_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_FIELD)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the resident memory in megabytes from the text of `/proc/PID/status`.
pub fn parse_memory_megabytes(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024.0 / 1e6)
}
