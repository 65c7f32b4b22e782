//! Connections between processes: secrets, limits and malformed frames.

use std::{
    net,
    sync::{
        self,
        atomic, //
    },
    time, //
};

use futures_util::io::{
    BufReader,
    BufWriter, //
};
use jsonrpsee::{
    core::client::ClientT,
    rpc_params,
    server, //
};
use laburnumcart::{
    unit,
    verdict, //
};
use laburnumcart_wire::{
    peer,
    secret, //
};
use rstest::rstest;
use tokio_util::compat::TokioAsyncReadCompatExt;

const SECRET: &str = "a-secret-of-the-fleet";
const OTHER: &str = "the-secret-after-next";

/// Longest time that a test waits for an expected event.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn secret(text: &str) -> secret::Secret {
    text.parse().unwrap()
}

fn listener() -> net::TcpListener {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap()
}

/// Returns the methods `echo`, which answers at once, and `held`, which waits for the gate.
fn methods(gate: &sync::Arc<tokio::sync::Notify>) -> server::RpcModule<()> {
    let mut module = server::RpcModule::new(());
    module
        .register_method("echo", |params, (), _| params.one::<String>())
        .unwrap();
    let gate = gate.clone();
    module
        .register_async_method("held", move |_, _, _| {
            let gate = gate.clone();
            async move {
                gate.notified().await;
                "done"
            }
        })
        .unwrap();
    module
}

fn serve(
    secrets: &[&str],
    limits: &peer::Limits,
) -> (peer::Handle, sync::Arc<tokio::sync::Notify>) {
    let gate = sync::Arc::new(tokio::sync::Notify::new());
    let secrets: Vec<secret::Secret> = secrets.iter().map(|s| secret(s)).collect();
    let handle = peer::serve(listener(), &secrets, methods(&gate), limits).unwrap();
    (handle, gate)
}

async fn echo(client: &peer::Client, text: &str) -> Result<String, jsonrpsee::core::ClientError> {
    client.request("echo", rpc_params![text]).await
}

#[rstest]
#[case::too_short("fifteen-letters")]
#[case::space("a secret with spaces")]
#[case::newline("a-secret-of-the-fleet\n")]
fn invalid_secret_is_rejected_without_showing_it(#[case] text: &str) {
    let error = text.parse::<secret::Secret>().unwrap_err();
    assert!(!format!("{error} {error:?}").contains(text));
}

#[test]
fn debug_output_omits_the_secret() {
    let shown = format!("{:?}", [secret(SECRET)]);
    assert_eq!(shown, "[Secret(..)]");
}

/// During a rotation of secrets a server must accept both the old and the new one.
#[tokio::test]
async fn each_valid_secret_opens_a_connection() {
    let limits = peer::Limits::default();
    let (handle, _) = serve(&[SECRET, OTHER], &limits);
    for text in [SECRET, OTHER] {
        let client = peer::connect(handle.addr(), &secret(text), &limits)
            .await
            .unwrap();
        assert_eq!(echo(&client, text).await.unwrap(), text);
    }
}

#[tokio::test]
async fn wrong_secret_is_refused_and_counted() {
    let limits = peer::Limits::default();
    let count = sync::Arc::new(atomic::AtomicU32::new(0));
    let counter = count.clone();
    let handle = peer::Server::new(&[secret(SECRET)])
        .on_refused(move || {
            counter.fetch_add(1, atomic::Ordering::Relaxed);
        })
        .serve(listener(), server::RpcModule::new(()))
        .unwrap();
    let error = peer::connect(handle.addr(), &secret(OTHER), &limits)
        .await
        .unwrap_err();
    assert!(
        matches!(error, peer::ConnectError::Unauthorized),
        "{error:?}"
    );
    assert!(!format!("{error:?}").contains(OTHER));
    assert_eq!(count.load(atomic::Ordering::Relaxed), 1);
}

/// Behind a failed switch, a peer never answers; the caller needs an error to try another one.
#[tokio::test]
async fn connecting_to_a_silent_peer_times_out() {
    let listener = listener();
    let limits = peer::Limits::default().connect(unit::Period::from_millis(50));
    let addr = listener.local_addr().unwrap();
    let error = peer::connect(addr, &secret(SECRET), &limits)
        .await
        .unwrap_err();
    assert!(matches!(
        error,
        peer::ConnectError::Timeout(_) | peer::ConnectError::Failed(_)
    ));
}

/// A call over the size limit must not close the connection on which another call waits.
#[tokio::test]
async fn oversized_call_affects_no_other_call() {
    let limits = peer::Limits::default().message(unit::Size(4096));
    let (handle, gate) = serve(&[SECRET], &limits);
    let client = peer::connect(handle.addr(), &secret(SECRET), &limits)
        .await
        .unwrap();
    let held = client.request::<String, _>("held", rpc_params![]);
    let large = async {
        let error = echo(&client, &"x".repeat(5000)).await.unwrap_err();
        assert!(
            matches!(error, jsonrpsee::core::ClientError::Call(_)),
            "{error:?}"
        );
        // It was not sent.
        assert_eq!(peer::verdict(&error), verdict::Verdict::NotRun);
        assert_eq!(echo(&client, "small").await.unwrap(), "small");
        gate.notify_one();
    };
    let (held, ()) = tokio::time::timeout(TIMEOUT, async { tokio::join!(held, large) })
        .await
        .unwrap();
    assert_eq!(held.unwrap(), "done");
}

/// A call of exactly the maximum size must not be rejected by the other end.
#[tokio::test]
async fn call_of_maximum_size_is_accepted() {
    let limits = peer::Limits::default().message(unit::Size(4096));
    let (handle, _) = serve(&[SECRET], &limits);
    let client = peer::connect(handle.addr(), &secret(SECRET), &limits)
        .await
        .unwrap();
    // The parameters are the text in quotes and brackets; the answer adds its own envelope.
    let text = "x".repeat(4096 - 4);
    let answer = echo(&client, &text).await;
    assert!(
        !matches!(answer, Err(jsonrpsee::core::ClientError::RestartNeeded(_))),
        "{answer:?}"
    );
    assert_eq!(echo(&client, "small").await.unwrap(), "small");
}

/// A raw WebSocket, to send frames that the client never sends.
struct Raw {
    sender: soketto::Sender<Stream>,
    receiver: soketto::Receiver<Stream>,
}

type Stream = BufReader<BufWriter<tokio_util::compat::Compat<tokio::net::TcpStream>>>;

impl Raw {
    async fn open(addr: net::SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(addr).await.unwrap();
        let stream = BufReader::new(BufWriter::new(stream.compat()));
        let host = addr.to_string();
        let credentials = format!("Bearer {SECRET}");
        let headers = [soketto::handshake::client::Header {
            name: "authorization",
            value: credentials.as_bytes(),
        }];
        let mut client = soketto::handshake::Client::new(stream, &host, "/");
        client.set_headers(&headers);
        client.handshake().await.unwrap();
        let (sender, receiver) = client.into_builder().finish();
        Self { sender, receiver }
    }

    async fn send(&mut self, text: &str) {
        self.sender.send_text(text).await.unwrap();
        self.sender.flush().await.unwrap();
    }

    async fn receive(&mut self) -> serde_json::Value {
        let mut data = Vec::new();
        let receiving = self.receiver.receive_data(&mut data);
        tokio::time::timeout(TIMEOUT, receiving)
            .await
            .unwrap()
            .unwrap();
        serde_json::from_slice(&data).unwrap()
    }
}

/// A malformed frame must not close the connection on which another call waits.
#[rstest]
#[case::no_json("{", -32700)]
#[case::no_call(r#"{"id":9}"#, -32600)]
#[case::no_method(r#"{"jsonrpc":"2.0","id":9,"method":"absent"}"#, -32601)]
#[case::bad_params(r#"{"jsonrpc":"2.0","id":9,"method":"echo","params":[1]}"#, -32602)]
#[case::batch(r#"[{"jsonrpc":"2.0","id":9,"method":"echo","params":["a"]}]"#, -32005)]
#[tokio::test]
async fn malformed_frame_affects_no_other_call(#[case] frame: &str, #[case] code: i64) {
    let (handle, gate) = serve(&[SECRET], &peer::Limits::default());
    let mut raw = Raw::open(handle.addr()).await;
    raw.send(r#"{"jsonrpc":"2.0","id":1,"method":"held"}"#)
        .await;
    raw.send(frame).await;
    let error = raw.receive().await;
    assert_eq!(error["error"]["code"], code, "{error}");
    gate.notify_one();
    let answer = raw.receive().await;
    assert_eq!(answer["id"], 1);
    assert_eq!(answer["result"], "done");
}

/// A server that stops must answer its calls in flight and refuse new connections.
#[tokio::test]
async fn stop_answers_calls_in_flight() {
    let limits = peer::Limits::default();
    let (handle, gate) = serve(&[SECRET], &limits);
    let addr = handle.addr();
    let client = peer::connect(addr, &secret(SECRET), &limits).await.unwrap();
    let held = client.request::<String, _>("held", rpc_params![]);
    let stop = async {
        // The answer to a later call proves that the first one has arrived.
        echo(&client, "after").await.unwrap();
        handle.stop();
        gate.notify_one();
    };
    let (held, ()) = tokio::time::timeout(TIMEOUT, async { tokio::join!(held, stop) })
        .await
        .unwrap();
    assert_eq!(held.unwrap(), "done");
    drop(client);
    tokio::time::timeout(TIMEOUT, handle.stopped())
        .await
        .unwrap();
    assert!(peer::connect(addr, &secret(SECRET), &limits).await.is_err());
}

/// After a timeout, an internal error or an answer too large to send, a call may have run.
#[tokio::test]
async fn doubt_is_not_taken_for_proof() {
    let short = peer::Limits::default().request(unit::Period::from_millis(20));
    let (handle, _gate) = serve(&[SECRET], &short);
    let client = peer::connect(handle.addr(), &secret(SECRET), &short)
        .await
        .unwrap();
    let held = client.request::<String, _>("held", rpc_params![]).await;
    assert_eq!(
        peer::verdict(&held.unwrap_err()),
        verdict::Verdict::MayHaveRun
    );
    // A call that the peer rejected before execution is proven not executed.
    let patient = peer::Limits::default();
    let client = peer::connect(handle.addr(), &secret(SECRET), &patient)
        .await
        .unwrap();
    let absent = client.request::<String, _>("absent", rpc_params![]).await;
    assert_eq!(
        peer::verdict(&absent.unwrap_err()),
        verdict::Verdict::NotRun
    );
    // Internal error, oversized response, failed execution and an unknown code.
    for code in [-32603, -32008, -32000, 7] {
        let object = jsonrpsee::types::ErrorObject::owned(code, "", None::<()>);
        let error = jsonrpsee::core::ClientError::Call(object);
        assert_eq!(
            peer::verdict(&error),
            verdict::Verdict::MayHaveRun,
            "{code}"
        );
    }
}

/// A server at its limit of connections refuses a further one and keeps serving the others.
#[tokio::test]
async fn connections_are_bounded() {
    let limits = peer::Limits::default().connections(1);
    let (handle, _) = serve(&[SECRET], &limits);
    let secret = secret(SECRET);
    let client = peer::connect(handle.addr(), &secret, &limits)
        .await
        .unwrap();
    let error = peer::connect(handle.addr(), &secret, &limits)
        .await
        .unwrap_err();
    assert!(matches!(error, peer::ConnectError::Failed(_)), "{error:?}");
    assert_eq!(echo(&client, "in").await.unwrap(), "in");
}

/// Connections behind a switch that dropped its state would exhaust the server's limit forever.
#[tokio::test]
async fn silent_connection_is_closed() {
    let limits = peer::Limits::default()
        .connections(1)
        .idle(unit::Period::from_millis(300));
    let (handle, _) = serve(&[SECRET], &limits);
    // Nothing reads from this connection, so it answers no ping.
    let _silent = Raw::open(handle.addr()).await;
    let secret = secret(SECRET);
    let connected = async {
        loop {
            if let Ok(client) = peer::connect(handle.addr(), &secret, &limits).await {
                return client;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let client = tokio::time::timeout(TIMEOUT, connected).await.unwrap();
    assert_eq!(echo(&client, "in").await.unwrap(), "in");
}
