//! Bundles over real connections between processes.

use std::net;

use jsonrpsee::RpcModule;
use rstest::rstest;

use laburnumcart::{
    head,
    id,
    signing, //
};
use laburnumcart_daemon::bundle::{
    self,
    Peers, //
};
use laburnumcart_wire::{
    agent,
    peer,
    secret, //
};
use serde_json::value;

const SECRET: &str = "0123456789abcdef";

fn secret(text: &str) -> secret::Secret {
    text.parse().expect("a secret")
}

/// An envelope whose text differs from what a reader of JSON would write again.
fn envelope() -> String {
    signing::Envelope::new("{ \"z\": 1.50, \"a\": \"\\u00e9 é\" }").to_text()
}

fn shown() -> agent::SignedBundle {
    let digest = signing::Digest::of(envelope().as_bytes());
    let head = head::Head::after(None, digest, id::Nonce(5));
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    agent::SignedBundle {
        generation: head.accepted.generation,
        head: raw(head.to_text()),
        envelope: raw(envelope()),
    }
}

/// Serves only the method that shows the bundle.
fn serve(method: &'static str) -> peer::Handle {
    let mut module = RpcModule::new(());
    let show = |params: jsonrpsee::types::Params<'static>, _, _| async move {
        let least: id::Generation = params.one()?;
        let shown = shown();
        Ok::<_, jsonrpsee::types::ErrorObjectOwned>((shown.generation >= least).then_some(shown))
    };
    module
        .register_async_method(method, show)
        .expect("a new name");
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = peer::Limits::default();
    peer::serve(listener, &[secret(SECRET)], module, &limits).expect("served")
}

/// An envelope keeps its digest, and so every byte, on its way from either kind of process.
#[rstest]
#[case::entry("entry_bundle")]
#[case::agent("agent_bundle")]
#[tokio::test]
async fn an_envelope_arrives_as_it_was_stored(#[case] method: &'static str) {
    let server = serve(method);
    let peers = bundle::RpcPeers::new(secret(SECRET));
    let answer = peers.fetch(server.addr(), id::Generation(1)).await;
    let answer = answer.expect("an answer").expect("a bundle");
    assert_eq!(answer.envelope.get(), envelope());
    let head = head::Head::parse(answer.head.get()).expect("a head");
    assert_eq!(
        head.accepted.digest,
        signing::Digest::of(envelope().as_bytes())
    );

    let none = peers.fetch(server.addr(), id::Generation(2)).await;
    assert!(none.expect("an answer").is_none());
}

#[tokio::test]
async fn a_stranger_is_shown_nothing() {
    let server = serve("entry_bundle");
    let peers = bundle::RpcPeers::new(secret("fedcba9876543210"));
    let answer = peers.fetch(server.addr(), id::Generation(1)).await;
    assert!(answer.is_err());
}

#[tokio::test]
async fn a_peer_that_is_gone_is_an_error() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let peers = bundle::RpcPeers::new(secret(SECRET));
    assert!(peers.fetch(addr, id::Generation(1)).await.is_err());
}
