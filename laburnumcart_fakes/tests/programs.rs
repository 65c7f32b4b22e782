//! Command lines, exit codes and crashes of the programs.

use std::{
    fs,
    io::{
        self,
        BufRead, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use laburnumcart_fakes::client;
use rstest::rstest;

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Child process, killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a fake target with one pool and returns its address.
fn start_target(args: &[&str]) -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_laburnum-fake-target"))
        .args(["--target", "t-1=pool@127.0.0.1:0"])
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let process = Process(child);
    let line = io::BufReader::new(stdout).lines().next().unwrap().unwrap();
    let (_, address) = line.split_once("address=").unwrap();
    (process, address.into())
}

// Without an exit, tests could not check how a system handles a lost target process.
#[tokio::test]
async fn crash_exits_the_process_with_exit_on_crash() {
    let (mut process, address) = start_target(&["--exit-on-crash"]);
    let client = client::Client::default();
    let behave = format!("http://{address}/admin/behave");
    let change = r#"{"crash_on":"poison"}"#;
    assert_eq!(client.post(&behave, &[], change).await.unwrap().status, 200);
    let headers = [("x-request-id", "r"), ("x-attempt-id", "a")];
    let body = r#"{"stage":"s","input":"poison","previous":null}"#;
    let run = format!("http://{address}/v1/run");
    assert!(client.post(&run, &headers, body).await.is_err());
    let exit = async {
        loop {
            if let Some(status) = process.0.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let status = tokio::time::timeout(TIMEOUT, exit).await.unwrap();
    assert_eq!(status.code(), Some(70));
}

#[rstest]
#[case::no_target(env!("CARGO_BIN_EXE_laburnum-fake-target"), &[])]
#[case::bad_target(env!("CARGO_BIN_EXE_laburnum-fake-target"), &["--target", "t=pool"])]
#[case::bad_period(
    env!("CARGO_BIN_EXE_laburnum-fake-target"),
    &["--target", "t=pool@127.0.0.1:0", "--restart", "soon"]
)]
#[case::no_plan(env!("CARGO_BIN_EXE_laburnum-load"), &[])]
#[case::no_directory(env!("CARGO_BIN_EXE_laburnum-plan"), &["--shape", "both"])]
#[case::bad_shape(env!("CARGO_BIN_EXE_laburnum-plan"), &["--dir", "/nowhere", "--shape", "x"])]
fn invalid_arguments_exit_with_2(#[case] program: &str, #[case] args: &[&str]) {
    let output = Command::new(program).args(args).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(!output.stderr.is_empty());
}

#[test]
fn every_error_of_a_load_plan_is_printed() {
    let plan = r#"{
        "entries": [],
        "teams": {"t": {"token": "x", "streams": [
            {"pipeline": "none", "rate": "1/s", "deadline": "1s"}
        ]}},
        "pipelines": {"p": {"idempotent": true, "stages": [{"name": "s", "service": "none"}]}},
        "services": {}
    }"#;
    let name = format!("laburnum-load-{:016x}.json", rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, plan).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_laburnum-load"))
        .arg("--plan")
        .arg(&path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for fault in ["no service none", "no pipeline none", "entries: none"] {
        assert!(text.contains(fault), "{text}");
    }
}
