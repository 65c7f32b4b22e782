//! Answers of a target to its agent that end at each of their bytes.

use std::{
    io::{
        Read,
        Write, //
    },
    net,
    thread,
    time, //
};

use laburnumcart_agent::target::http;
use rstest::rstest;

/// Timeout of a call.
const TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Starts a target that sends one more byte of `answer` on each connection than on the one before.
fn start(answer: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for size in 0..=answer.len() {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4096]).unwrap();
            stream.write_all(&answer.as_bytes()[..size]).unwrap();
        }
    });
    addr
}

// A state that ends early would be taken for that of the target.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 2\r\n\r\n17")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n1\r\n1\r\n7\r\n0\r\n\r\n"
)]
#[case::interim("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n17")]
#[tokio::test]
async fn a_truncated_answer_is_a_failure(#[case] answer: &'static str) {
    let client = http::Client::new(start(answer), TIMEOUT);
    for size in 0..=answer.len() {
        let result = client.get("/v1/state", TIMEOUT).await;
        match size == answer.len() {
            true => assert_eq!(result.unwrap(), "17"),
            false => assert_eq!(result, Err(http::Failure::Broken), "{size}"),
        }
    }
}
