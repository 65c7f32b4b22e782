//! Answers of the object service that end at each of their bytes.

use std::{
    io::{
        Read,
        Write, //
    },
    net,
    thread,
    time, //
};

use laburnumcart::unit;
use laburnumcart_platform::{
    client,
    store::{
        Failure,
        Store, //
    },
};
use rstest::rstest;

/// Timeout of a call.
const TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Starts a service that sends `size` bytes of its answer on each connection.
fn start(answer: &'static str, size: usize) -> net::SocketAddr {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(&answer.as_bytes()[..size]).unwrap();
    });
    addr
}

// A part of an object would be taken for the object, or for its absence.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\netag: \"1\"\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)]
#[tokio::test]
async fn a_truncated_object_is_a_failure(#[case] answer: &'static str) {
    for size in 0..=answer.len() {
        let client = client::Client::builder([start(answer, size)])
            .timeout(unit::Period(TIMEOUT))
            .build()
            .unwrap();
        let result = client.get("a").await;
        match size == answer.len() {
            true => assert_eq!(result.unwrap().unwrap().value, "whole"),
            false => assert_eq!(result.err(), Some(Failure::Unanswered), "{size}"),
        }
    }
}
