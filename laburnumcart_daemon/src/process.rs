//! Metrics of the process's own use of processor, memory and file descriptors.

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

/// Clock ticks per second in `/proc`; 100 on all Linux targets of Rust.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time of all threads, user and system, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
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
            cpu_seconds: parse_cpu_seconds(&stat).ok_or_else(invalid)?,
            memory_bytes: parse_memory_bytes(&status).ok_or_else(invalid)?,
            fds: fs::read_dir("/proc/self/fd")?.count() as u64,
        })
    }
}

/// Parses user and system time from the text of `/proc/<pid>/stat`.
fn parse_cpu_seconds(stat: &str) -> Option<f64> {
    // The process name in parentheses may itself contain spaces and parentheses; the fields start
    // after the last closing one.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / TICKS_PER_SECOND)
}

/// Parses the resident memory from the text of `/proc/<pid>/status`.
fn parse_memory_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

/// Registers `process_cpu_seconds_total`, `process_resident_memory_bytes` and `process_open_fds`.
pub fn register(metrics: &metrics::Metrics) {
    metrics.register("", |r| r.register_collector(Box::new(UsageCollector)));
}

#[derive(Debug)]
struct UsageCollector;

impl Collector for UsageCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        // A metrics page without these three is more useful than none.
        let Ok(usage) = Usage::read() else {
            return Ok(());
        };
        let cpu = counter::ConstCounter::new(usage.cpu_seconds);
        let help = "Processor time, user and system";
        let out =
            encoder.encode_descriptor("process_cpu_seconds", help, None, cpu.metric_type())?;
        cpu.encode(out)?;
        encode_gauge(
            &mut encoder,
            "process_resident_memory_bytes",
            "Resident memory",
            usage.memory_bytes,
        )?;
        encode_gauge(
            &mut encoder,
            "process_open_fds",
            "Open file descriptors",
            usage.fds,
        )
    }
}

fn encode_gauge(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    value: u64,
) -> Result<(), fmt::Error> {
    let gauge = gauge::ConstGauge::new(value as i64);
    let out = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
    gauge.encode(out)
}
