//! `laburnumctl gateways`, against gateways with a fixed state.

use std::{
    io::{
        Read,
        Write, //
    },
    net,
    process,
    thread, //
};

use rstest::rstest;
use serde_json::{
    Value,
    json, //
};

/// Serves one response and returns the address of the server.
fn serve_once(status: &'static str, body: String) -> String {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        assert!(head.starts_with(b"GET /state "));
        let length = body.len();
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).unwrap();
    });
    addr.to_string()
}

fn state(instance: &str, owner: &str, evacuated: Value) -> String {
    json!({
        "instance": instance, "data_centre": "north", "leaving": false, "version": 7, "age": "80ms",
        "members": 2, "readers": ["gateway-1"], "evacuated": evacuated,
        "queues": [{ "service": "encode", "owner": owner, "waiting": 0 }],
        "held": [{
            "target": "i-1", "service": "desk", "data_centre": "north",
            "causes": [{ "limit": "2.5/s" }], "part": "1.25/s"
        }],
        "targets": 3
    })
    .to_string()
}

fn run(args: &[&str]) -> (i32, String, String) {
    let program = env!("CARGO_BIN_EXE_laburnumctl");
    let output = process::Command::new(program)
        .arg("gateways")
        .args(args)
        .output();
    let output = output.unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    let code = output.status.code().unwrap();
    (code, text(output.stdout), text(output.stderr))
}

// Two gateways report different owners of a queue, and one does not know of an evacuation.
#[test]
fn differences_between_gateways_are_marked() {
    let south = json!([{ "data_centre": "south", "known": "3s" }]);
    let first = serve_once("200 OK", state("gateway-1", "gateway-1", south));
    let second = serve_once("200 OK", state("gateway-2", "gateway-2", json!([])));
    let (code, out, _) = run(&[&first, &second]);
    assert_eq!(code, 0, "{out}");
    let lines: Vec<&str> = out.lines().collect();
    assert!(
        lines
            .iter()
            .any(|l| l.starts_with(&first) && l.ends_with("evacuated=south:3s"))
    );
    assert!(
        lines.contains(&"evacuated south seen-by=gateway-1"),
        "{out}"
    );
    assert!(
        lines.contains(&"queue encode owner=gateway-1 seen-by=gateway-1"),
        "{out}"
    );
    assert!(
        lines.contains(&"queue encode owner=gateway-2 seen-by=gateway-2"),
        "{out}"
    );
    assert!(
        lines.contains(&"target i-1 service=desk because=limit:2.5/s"),
        "{out}"
    );
}

// A script must notice by the exit code that a gateway returned an error or a malformed state.
#[rstest]
#[case("503 Service Unavailable", "{}", "503")]
#[case("200 OK", "nonsense", "cannot be parsed")]
fn partial_view_sets_the_exit_code(
    #[case] status: &'static str,
    #[case] body: &str,
    #[case] cause: &str,
) {
    let first = serve_once("200 OK", state("gateway-1", "gateway-1", json!([])));
    let second = serve_once(status, body.into());
    let (code, out, _) = run(&[&first, &second]);
    assert_eq!(code, 4, "{out}");
    let failed = out.lines().find(|line| line.starts_with(&second)).unwrap();
    assert!(
        failed.contains("silent: ") && failed.contains(cause),
        "{out}"
    );
}

#[rstest]
#[case(&[], 2)]
#[case(&["gateway-1"], 2)]
#[case(&["127.0.0.1:1"], 4)]
fn missing_invalid_or_unreachable_address_is_an_error(#[case] args: &[&str], #[case] code: i32) {
    assert_eq!(run(args).0, code);
}
