//! Settings of a gateway that change while it runs.

use std::{
    env,
    fs,
    path,
    process as std_process,
    time, //
};

use laburnumcart_fakes::port;
use laburnumcart_system::process;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;

/// Time from SIGTERM to SIGKILL, at the start and after the change.
const GRACE: &str = "8s";
const SHORTER_GRACE: &str = "1s";

/// Time after which the process must have ended, the shorter grace period.
const ENDED_MAX: time::Duration = time::Duration::from_secs(1);

/// Time for the process to start.
const STARTED_MAX: time::Duration = time::Duration::from_secs(10);

fn write_settings(file: &path::Path, addrs: &[String], grace: &str) {
    let settings = json!({
        "instance": "gateway-1", "data_centre": "north", "callers": addrs[0], "admin": addrs[1],
        "peer": addrs[2], "store": addrs[3], "bounds": { "grace": grace }
    });
    fs::write(file, settings.to_string()).unwrap();
}

fn wait_until(is_done: impl Fn() -> bool) {
    let end = time::Instant::now() + STARTED_MAX;
    while !is_done() {
        assert!(time::Instant::now() < end, "not in time");
        std::thread::sleep(time::Duration::from_millis(10));
    }
}

// A process that counts on the longer grace period accepts requests with which it is killed.
#[rstest]
#[case::signalled(true)]
#[case::unsignalled(false)]
fn a_gateway_stops_within_a_grace_period_that_was_shortened(#[case] is_signalled: bool) {
    let name = format!("reload-{}-{is_signalled}", std_process::id());
    let dir = env::temp_dir().join(name);
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join("gateway.json");
    let addrs: Vec<_> = (0..4).map(|_| port::reserve_addr().to_string()).collect();
    write_settings(&file, &addrs, GRACE);
    let args = ["--settings".into(), file.display().to_string()];
    let mut gateway = process::Process::start(&dir, "gateway-1", "laburnum-gateway", &args);
    wait_until(|| gateway.output().contains("event=started"));
    write_settings(&file, &addrs, SHORTER_GRACE);
    if is_signalled {
        gateway.signal(Signal::SIGHUP);
        wait_until(|| gateway.output().contains("event=reload"));
    }
    gateway.signal(Signal::SIGTERM);
    let start = time::Instant::now();
    while gateway.exit_status().is_none() && start.elapsed() < ENDED_MAX {
        std::thread::sleep(time::Duration::from_millis(10));
    }
    let has_ended = gateway.exit_status().is_some();
    println!("{}", gateway.output());
    gateway.kill();
    fs::remove_dir_all(&dir).unwrap();
    assert!(has_ended, "still there after {:?}", start.elapsed());
}
