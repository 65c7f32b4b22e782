//! The process's own use of processor, memory and file descriptors, as metrics.

use std::{
    fmt,
    fs,
    io, //
};

use prometheus_client::{
    collector::Collector,
    encoding::{
        DescriptorEncoder,
        EncodeMetric, //
    },
    metrics::{
        counter,
        gauge, //
    }, //
};

use crate::metrics;

/// Ticks a second in `/proc`; Linux reports 100 on every machine that Rust has a target for.
const TICKS: f64 = 100.0;

/// What a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of all threads, user and system, in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Open file descriptors.
    pub fds: u64,
}

impl Usage {
    /// Reads the usage of this process from `/proc/self`.
    pub fn read() -> io::Result<Self> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let stat = fs::read_to_string("/proc/self/stat")?;
        let status = fs::read_to_string("/proc/self/status")?;
        Ok(Self {
            cpu: cpu(&stat).ok_or_else(invalid)?,
            memory: memory(&status).ok_or_else(invalid)?,
            fds: fs::read_dir("/proc/self/fd")?.count() as u64,
        })
    }
}

/// Reads user and system time from the text of `/proc/<pid>/stat`.
fn cpu(stat: &str) -> Option<f64> {
    // The name in parentheses may contain spaces and parentheses; the fields follow the last one.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS)
}

/// Reads the resident memory from the text of `/proc/<pid>/status`.
fn memory(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

/// Registers `process_cpu_seconds_total`, `process_resident_memory_bytes` and `process_open_fds`.
pub fn register(metrics: &metrics::Metrics) {
    metrics.register("", |r| r.register_collector(Box::new(Own)));
}

#[derive(Debug)]
struct Own;

impl Collector for Own {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        // A page without these three is of more use than no page.
        let Ok(usage) = Usage::read() else {
            return Ok(());
        };
        let cpu = counter::ConstCounter::new(usage.cpu);
        let help = "Processor time, user and system";
        let out =
            encoder.encode_descriptor("process_cpu_seconds", help, None, cpu.metric_type())?;
        cpu.encode(out)?;
        gauge(
            &mut encoder,
            "process_resident_memory_bytes",
            "Resident memory",
            usage.memory,
        )?;
        gauge(
            &mut encoder,
            "process_open_fds",
            "Open file descriptors",
            usage.fds,
        )
    }
}

fn gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> Result<(), fmt::Error> {
    let gauge = gauge::ConstGauge::new(value as i64);
    let out = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
    gauge.encode(out)
}
