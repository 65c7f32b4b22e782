//! Fetches of bundles over real connections.

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

/// An envelope whose text changes if its JSON is parsed and serialised again.
fn envelope() -> String {
    signing::Envelope::new("{ \"z\": 1.50, \"a\": \"\\u00e9 é\" }").to_text()
}

fn signed() -> agent::SignedBundle {
    let digest = signing::Digest::of(envelope().as_bytes());
    let head = head::Head::after(None, digest, id::Nonce(5));
    let raw = |text| value::RawValue::from_string(text).expect("JSON");
    agent::SignedBundle {
        generation: head.accepted.generation,
        head: raw(head.to_text()),
        envelope: raw(envelope()),
    }
}

/// Serves only the given method, which returns the bundle.
fn serve(method: &'static str) -> peer::Handle {
    let mut module = RpcModule::new(());
    let fetch = |params: jsonrpsee::types::Params<'static>, _, _| async move {
        let least: id::Generation = params.one()?;
        let signed = signed();
        Ok::<_, jsonrpsee::types::ErrorObjectOwned>((signed.generation >= least).then_some(signed))
    };
    module
        .register_async_method(method, fetch)
        .expect("a new name");
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = peer::Limits::default();
    peer::serve(listener, &[secret(SECRET)], module, &limits).expect("served")
}

/// The digest covers every byte of the envelope, so it must not be reformatted on its way.
#[rstest]
#[case::entry("entry_bundle")]
#[case::agent("agent_bundle")]
#[tokio::test]
async fn envelope_is_transferred_unchanged(#[case] method: &'static str) {
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
async fn wrong_secret_is_refused() {
    let server = serve("entry_bundle");
    let peers = bundle::RpcPeers::new(secret("fedcba9876543210"));
    let answer = peers.fetch(server.addr(), id::Generation(1)).await;
    assert!(answer.is_err());
}

#[tokio::test]
async fn unreachable_peer_is_an_error() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let peers = bundle::RpcPeers::new(secret(SECRET));
    assert!(peers.fetch(addr, id::Generation(1)).await.is_err());
}
