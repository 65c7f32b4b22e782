//! Settings and metrics of the HTTP client.

use std::net;

use prometheus_client::{
    encoding::text,
    registry, //
};

use laburnumcart_platform::{
    client,
    store::Store, //
};

#[test]
fn unusable_settings_are_rejected() {
    let none = client::Client::builder([]).build();
    assert_eq!(none.err(), Some(client::BuildError::Addresses));
    let addr = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let none = client::Client::builder([addr]).max_calls(0).build();
    assert_eq!(none.err(), Some(client::BuildError::MaxCalls));
}

#[tokio::test]
async fn calls_are_counted_by_kind_and_outcome() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = client::Client::builder([addr]).build().unwrap();
    let mut registry = registry::Registry::default();
    client.register(&mut registry);
    for _ in 0..5 {
        assert!(client.get("a").await.is_err());
    }
    let mut page = String::new();
    text::encode(&mut page, &registry).unwrap();
    let calls = r#"object_service_calls_total{kind="get",outcome="unavailable"} 5"#;
    assert!(page.contains(calls), "{page}");
    assert!(page.contains("object_service_down 1"), "{page}");
}
