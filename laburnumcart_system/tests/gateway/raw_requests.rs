//! Requests as bytes: pipelined, framed in unusual ways, or malformed.

use std::time;

use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Target, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net, //
};

use crate::support::{
    System,
    config,
    success, //
};

/// Time without a byte after which no further answer is expected.
const QUIET_TIME: time::Duration = time::Duration::from_millis(400);

/// Head lines that each request has.
const COMMON: &str = "host: desk.example\r\nx-laburnumcart-attempt-id: a-1\r\n\
                      x-laburnumcart-deadline-ms: 3000\r\n";

fn request(line: &str, more: &str, body: &str) -> String {
    format!("{line} HTTP/1.1\r\n{COMMON}{more}\r\n{body}")
}

fn with_body(line: &str, more: &str, body: &str) -> String {
    let length = format!("{more}content-length: {}\r\n", body.len());
    request(line, &length, body)
}

/// Sends bytes on one connection and returns the statuses of the answers, in order.
async fn statuses(system: &System, bytes: &str) -> Vec<u16> {
    let mut stream = net::TcpStream::connect(system.addr).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(count)) = tokio::time::timeout(QUIET_TIME, stream.read(&mut buffer)).await {
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8(received).unwrap();
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head[..3].parse().unwrap()).collect()
}

/// Returns the method, path, team and body of what a target has received.
fn arrival(seen: &ReceivedRequest) -> String {
    let line = seen.line.trim_end_matches(" HTTP/1.1");
    let team = seen.header("x-laburnumcart-tenant").unwrap_or("nobody");
    let body = String::from_utf8(seen.body.clone()).unwrap();
    format!("{line} {team} {body}")
}

fn smuggled() -> String {
    request("POST /once/2", "content-length: 0\r\n", "")
}

// A request that was hidden in another one, or a changed one, reaches a target.
#[rstest]
#[case::plain(with_body("POST /safe/1", "", "q"), &[200], &["POST /safe/1 nobody q"])]
#[case::pipelined(
    [with_body("POST /safe/1", "", "q"), with_body("POST /safe/2", "", "r")].concat(),
    &[200, 200],
    &["POST /safe/1 nobody q", "POST /safe/2 nobody r"]
)]
#[case::request_in_a_body(
    with_body("POST /safe/1", "", "POST /once/2 HTTP/1.1\r\n\r\n"),
    &[200],
    &["POST /safe/1 nobody POST /once/2 HTTP/1.1\r\n\r\n"]
)]
#[case::trailers(
    request(
        "POST /safe/1",
        "transfer-encoding: chunked\r\ntrailer: x-laburnumcart-tenant\r\n",
        "1\r\nq\r\n0\r\nx-laburnumcart-tenant: other\r\n\r\n",
    ),
    &[200],
    &["POST /safe/1 nobody q"]
)]
#[case::chunk_extension(
    request("POST /safe/1", "transfer-encoding: chunked\r\n", "1;a=b\r\nq\r\n0\r\n\r\n"),
    &[200],
    &["POST /safe/1 nobody q"]
)]
#[case::two_lengths(
    request("POST /safe/1", "content-length: 1\r\ncontent-length: 2\r\n", "q"),
    &[400],
    &[]
)]
#[case::length_beyond_64_bits(
    request("POST /safe/1", "content-length: 18446744073709551617\r\n", "q"),
    &[400],
    &[]
)]
#[case::chunk_size_beyond_64_bits(
    request("POST /safe/1", "transfer-encoding: chunked\r\n", "10000000000000001\r\nq"),
    &[400],
    &[]
)]
#[case::path_with_dots(
    with_body("POST /safe/../once/1", "", "q"),
    &[200],
    &["POST /safe/../once/1 nobody q"]
)]
#[case::encoded_path(
    with_body("POST /safe/%2e%2e%2fonce%2f1", "", "q"),
    &[200],
    &["POST /safe/%2e%2e%2fonce%2f1 nobody q"]
)]
#[case::query(
    with_body("POST /safe/1?a=/once/&b=%00", "", "q"),
    &[200],
    &["POST /safe/1?a=/once/&b=%00 nobody q"]
)]
#[case::unknown_path(with_body("POST /SAFE/1", "", "q"), &[404], &[])]
#[case::own_team(
    with_body("POST /safe/1", "x-laburnumcart-tenant: other\r\n", "q"),
    &[200],
    &["POST /safe/1 nobody q"]
)]
#[case::no_attempt(
    "POST /safe/1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 0\r\n\r\n".into(),
    &[400],
    &[]
)]
#[case::no_host(
    "POST /safe/1 HTTP/1.1\r\nx-laburnumcart-attempt-id: a-1\r\ncontent-length: 0\r\n\r\n".into(),
    &[404],
    &[]
)]
#[case::many_lines(request("POST /safe/1", &"x-more: 1\r\n".repeat(120), ""), &[431], &[])]
#[case::line_without_colon(request("POST /safe/1", "no colon\r\n", ""), &[400], &[])]
#[case::folded_line(request("POST /safe/1", "x-more: 1\r\n 2\r\n", ""), &[400], &[])]
#[case::no_http("hello\r\n\r\n".into(), &[400], &[])]
#[case::half_a_request("POST /safe/1 HTTP/1.1\r\nhost: desk".into(), &[], &[])]
#[tokio::test]
async fn each_request_reaches_a_target_as_it_was_sent_and_no_other_does(
    #[case] bytes: String,
    #[case] expected: &[u16],
    #[case] arrivals: &[&str],
) {
    let target = Target::start(|seen, _| vec![success(seen, "done")])
        .await
        .unwrap();
    let system = System::start(config(|_| ()), &[("d-1", "desk", &target)]).await;
    assert_eq!(statuses(&system, &bytes).await, expected);
    let seen: Vec<_> = target.requests().iter().map(arrival).collect();
    assert_eq!(seen, arrivals);
    let after = system.call("/safe/9", |_| ()).await;
    assert_eq!(after.status, http::StatusCode::OK);
}

// What follows a request whose framing is in doubt is taken for a request.
#[rstest]
#[case::length_and_chunks("content-length: 3\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n")]
#[case::chunks_not_last("transfer-encoding: chunked, identity\r\n", "0\r\n\r\n")]
#[case::unknown_encoding("transfer-encoding: other\r\n", "")]
#[case::blank_before_colon("content-length : 100\r\n", "")]
#[case::sign_in_length("content-length: +5\r\n", "hello")]
#[tokio::test]
async fn nothing_is_run_behind_a_request_in_doubt(#[case] framing: &str, #[case] body: &str) {
    let target = Target::start(|seen, _| vec![success(seen, "done")])
        .await
        .unwrap();
    let system = System::start(config(|_| ()), &[("d-1", "desk", &target)]).await;
    let bytes = [request("POST /safe/1", framing, body), smuggled()].concat();
    let answers = statuses(&system, &bytes).await;
    assert!(answers.iter().all(|status| *status < 500), "{answers:?}");
    let seen: Vec<_> = target.requests().iter().map(arrival).collect();
    assert!(
        !seen.iter().any(|s| s.starts_with("POST /once/2")),
        "{seen:?}"
    );
}
