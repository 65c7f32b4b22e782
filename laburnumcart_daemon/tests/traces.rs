//! Export of spans to a collector; the only test in its process, as the subscriber is global.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net,
    thread, //
};

use laburnumcart_daemon::traces;

const INCOMING: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Reads one HTTP request and answers it; returns its first line and its body.
fn collect(listener: &net::TcpListener) -> (String, String) {
    let (stream, _) = listener.accept().unwrap();
    let mut input = BufReader::new(stream);
    let mut first = String::new();
    input.read_line(&mut first).unwrap();
    let mut length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).unwrap();
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).unwrap();
    let answer = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}";
    input.get_mut().write_all(answer.as_bytes()).unwrap();
    (first, String::from_utf8(body).unwrap())
}

/// The span of a hop must be a child of the caller's span and the parent of the next hop's.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn span_of_a_hop_reaches_the_collector() {
    let incoming: traces::Traceparent = INCOMING.parse().unwrap();
    // Before the start, spans are disabled and the caller's parent is forwarded.
    let off = tracing::info_span!("stage");
    assert!(off.is_disabled());
    assert_eq!(
        traces::outgoing_parent(&off, Some(&incoming)),
        Some(incoming.clone())
    );

    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let collector = thread::spawn(move || collect(&listener));
    let instance = "agent-1".parse().unwrap();
    let running = traces::start("laburnum-sample", &instance, addr).unwrap();
    let span = tracing::info_span!("stage", stage = "encode");
    traces::set_parent(&span, Some(&incoming));
    let outgoing = traces::outgoing_parent(&span, Some(&incoming))
        .unwrap()
        .to_string();
    drop(span);
    // Dropping the traces flushes the queued spans.
    tokio::task::spawn_blocking(move || drop(running))
        .await
        .unwrap();

    let (first, body) = tokio::task::spawn_blocking(|| collector.join().unwrap())
        .await
        .unwrap();
    assert_eq!(first.trim(), "POST /v1/traces HTTP/1.1");
    let fields: Vec<&str> = outgoing.split('-').collect();
    assert_eq!(fields[1], "0af7651916cd43dd8448eb211c80319c");
    assert_ne!(fields[2], "b7ad6b7169203331");
    for part in [
        fields[1],
        fields[2],
        "b7ad6b7169203331",
        "laburnum-sample",
        "agent-1",
    ] {
        assert!(body.contains(part), "{part}: {body}");
    }
}
