//! Headers of requests forwarded to targets, and of their responses.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::HeaderMap;
use laburnumcart::{
    id,
    quota,
    unit, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Target, //
};
use laburnumcart_gateway::{
    budgets,
    dialect::Dialect,
    metrics,
    outbound,
    pool,
    quotas,
    settings,
    view, //
};
use platform::headers;
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use crate::support::{
    System,
    config,
    success, //
};

/// Sends a request through a gateway and returns it as the target received it.
async fn forwarded_request(path: &str, edit: impl FnOnce(&mut HeaderMap)) -> ReceivedRequest {
    let target = Target::start(|seen, _| vec![success(seen, "done")])
        .await
        .unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let response = system.call(path, edit).await;
    assert_eq!(response.status, http::StatusCode::OK, "{response:?}");
    target.requests().remove(0)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    headers.insert(name, value.parse().unwrap());
}

#[tokio::test]
async fn method_path_query_and_body_are_unchanged() {
    let seen = forwarded_request("/safe/a%2Fb/../c?x=%20&y", |_| ()).await;
    assert_eq!(seen.line, "POST /safe/a%2Fb/../c?x=%20&y HTTP/1.1");
    assert_eq!(seen.body, b"question");
    assert_eq!(seen.header("x-laburnumcart-attempt-id"), Some("attempt-1"));
    assert_eq!(seen.header("x-laburnumcart-expect-instance"), Some("i-1"));
    assert_eq!(seen.header("host"), Some("desk.example"));
}

// The API key is the caller's secret and must not reach targets; the team must not be forged.
#[tokio::test]
async fn team_name_replaces_api_key() {
    let seen = forwarded_request("/keyed/1", |h| {
        set_header(h, "x-api-key", "key-of-clinic");
        set_header(h, "x-laburnumcart-tenant", "somebody");
    })
    .await;
    assert_eq!(seen.header("x-api-key"), None);
    assert_eq!(seen.header("x-laburnumcart-tenant"), Some("clinic"));
}

// Callers could otherwise reserve memory on targets or read the memory of other requests.
#[tokio::test]
async fn forged_headers_are_removed() {
    let forged = [
        "x-laburnumcart-hold",
        "x-laburnumcart-pin-ms",
        "x-laburnumcart-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-laburnumcart-inputs",
        "x-laburnumcart-tenant",
    ];
    let seen = forwarded_request("/safe/1", |h| {
        forged
            .iter()
            .for_each(|name| set_header(h, name, "10.0.0.1:80/x"));
        set_header(h, "x-laburnumcart-expect-instance", "i-9");
        set_header(h, "x-laburnumcart-request-priority", "0");
    })
    .await;
    for name in forged {
        assert_eq!(seen.header(name), None, "{name}");
    }
    assert_eq!(seen.header("x-laburnumcart-expect-instance"), Some("i-1"));
    assert_eq!(seen.header("x-laburnumcart-request-priority"), Some("1"));
}

// Headers listed in `Connection` are dropped, except those that describe the request itself.
#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let seen = forwarded_request("/safe/1", |h| {
        set_header(h, "connection", "x-own, x-laburnumcart-model");
        set_header(h, "x-own", "1");
        set_header(h, "x-laburnumcart-model", "m");
        set_header(h, "te", "trailers");
        set_header(h, "x-kept", "yes");
    })
    .await;
    assert_eq!(seen.header("x-own"), None);
    assert_eq!(seen.header("te"), None);
    assert_eq!(seen.header("x-laburnumcart-model"), Some("m"));
    assert_eq!(seen.header("x-kept"), Some("yes"));
}

// Targets refuse a request with two lines of one of these, or join them to another value.
#[rstest]
#[case::kept("keep-alive")]
#[case::named(
    "x-laburnumcart-model, x-laburnumcart-token-usage, x-laburnumcart-prompt-prefix, host"
)]
#[tokio::test]
async fn each_header_is_forwarded_once(#[case] connection: &str) {
    let sent = [
        ("connection", connection),
        ("x-laburnumcart-model", "m"),
        ("x-laburnumcart-token-usage", "30,8"),
        ("x-laburnumcart-prompt-prefix", "a1:10,b2:20"),
        ("x-kept", "yes"),
    ];
    let seen = forwarded_request("/safe/1", |h| {
        for (name, value) in sent {
            set_header(h, name, value);
        }
    })
    .await;
    for (name, value) in &sent[1..] {
        assert_eq!(seen.header(name), Some(*value));
    }
    let mut names: Vec<_> = seen.headers.iter().map(|(name, _)| name).collect();
    names.sort();
    let all = names.clone();
    names.dedup();
    assert_eq!(names, all);
}

// The forwarded deadline never exceeds the caller's deadline or the route's timeout.
#[tokio::test]
async fn remaining_time_is_forwarded() {
    let left = |seen: &ReceivedRequest| {
        let text = seen.header("x-laburnumcart-deadline-ms").unwrap();
        text.parse::<u64>().unwrap()
    };
    let short = forwarded_request("/safe/1", |_| ()).await;
    assert!((1..=3000).contains(&left(&short)));
    let long = forwarded_request("/safe/1", |h| {
        set_header(h, "x-laburnumcart-deadline-ms", "99999999")
    })
    .await;
    assert!((1..=4000).contains(&left(&long)));
    let none = forwarded_request("/safe/1", |h| {
        h.remove("x-laburnumcart-deadline-ms");
    })
    .await;
    assert!((1..=4000).contains(&left(&none)));
}

// A target is handed the time that was left before its connection was opened.
#[tokio::test(start_paused = true)]
async fn time_for_opening_a_connection_is_not_handed_on() {
    let target = Target::start(|seen, _| vec![success(seen, "done")]);
    let target = target.await.unwrap();
    let view = Arc::<view::View>::default();
    let metrics = metrics::Metrics::default();
    let quotas = quotas::Quotas::new("gateway-1".parse().unwrap(), view.clone(), &metrics);
    let budgets = budgets::Budgets::new(settings::Bounds::default(), view, metrics);
    let outbound = outbound::Outbound::new(Arc::new(headers::Headers), quotas, budgets);
    let listed = view::Target {
        name: "i-1".parse().unwrap(),
        life: id::Life(1),
        addr: target.addr(),
        data_centre: "north".parse().unwrap(),
        service: "desk".parse().unwrap(),
        version: None,
        leaving: false,
        cold_until: None,
    };
    let outgoing = outbound::Outgoing {
        request: http::Request::post("/safe/1").body(Bytes::new()).unwrap(),
        label: None,
        deadline: Some(Instant::now() + time::Duration::from_secs(1)),
        connected: None,
    };
    let bounds = pool::Bounds {
        max_connections: 1,
        max_idle: time::Duration::ZERO,
    };
    let exchange = outbound.send(&listed, outgoing, &bounds);
    tokio::pin!(exchange);
    // The connection is being opened meanwhile.
    assert!(futures_util::poll!(exchange.as_mut()).is_pending());
    tokio::time::advance(time::Duration::from_millis(400)).await;
    exchange.await.unwrap();
    let received = target.requests().remove(0);
    let left: u64 = received
        .header("x-laburnumcart-deadline-ms")
        .map_or(1000, |left| left.parse().unwrap());
    assert!(left <= 600, "{left} ms");
}

// A body with both `Content-Length` and chunked encoding must not be parsed as two requests.
#[tokio::test]
async fn ambiguous_length_cannot_smuggle_a_request() {
    let target = Target::start(|seen, _| vec![success(seen, "done")])
        .await
        .unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &target)]).await;
    let mut stream = tokio::net::TcpStream::connect(system.addr).await.unwrap();
    let request = b"POST /safe/1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 4\r\n\
        transfer-encoding: chunked\r\nx-laburnumcart-attempt-id: a\r\n\
        x-laburnumcart-deadline-ms: 1000\r\n\r\n0\r\n\r\n\
        POST /once/2 HTTP/1.1\r\nhost: desk.example\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .unwrap();
    let mut bytes = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&bytes).contains("400 Bad Request") {
            if tokio::io::AsyncReadExt::read_buf(&mut stream, &mut bytes)
                .await
                .unwrap()
                == 0
            {
                return;
            }
        }
    };
    tokio::time::timeout(crate::support::TIMEOUT, read)
        .await
        .unwrap();
    let seen = target.requests();
    assert!(seen.iter().all(|s| !s.line.contains("/once/2")), "{seen:?}");
    // The target receives a single length, that of the body that was read.
    assert!(seen.iter().all(|s| s.header("transfer-encoding").is_none()));
}

// A misread limit would overload the target or starve it.
#[rstest]
#[case(&[], quota::Limit::None)]
#[case(&["1"], advertised(1.0))]
#[case(&[" 2.5 "], advertised(2.5))]
#[case(&["0"], advertised(0.0))]
#[case(&["-1"], quota::Limit::Unreadable)]
#[case(&["inf"], quota::Limit::Unreadable)]
#[case(&["NaN"], quota::Limit::Unreadable)]
#[case(&[""], quota::Limit::Unreadable)]
#[case(&["few"], quota::Limit::Unreadable)]
#[case(&["4", "2"], advertised(2.0))]
#[case(&["4", "few"], quota::Limit::Unreadable)]
fn rate_limit_header_is_parsed(#[case] values: &[&str], #[case] limit: quota::Limit) {
    let mut response = http::Response::builder();
    for value in values {
        response = response.header("Server-Limit", *value);
    }
    let (head, ()) = response.body(()).unwrap().into_parts();
    assert_eq!(headers::Headers.parse_response(&head).limit, limit);
}

fn advertised(rate: f64) -> quota::Limit {
    quota::Limit::Advertised(unit::Rate(rate))
}

proptest! {
    // Targets and intermediaries can send any bytes.
    #[test]
    fn header_bytes_are_a_limit_or_unreadable(bytes in prop::collection::vec(any::<u8>(), 0..12)) {
        let Ok(value) = http::HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let response = http::Response::builder().header("Server-Limit", value);
        let (head, ()) = response.body(()).unwrap().into_parts();
        match headers::Headers.parse_response(&head).limit {
            quota::Limit::Advertised(rate) => prop_assert!(rate.0.is_finite() && rate.0 >= 0.0),
            limit => prop_assert_eq!(limit, quota::Limit::Unreadable),
        }
    }
}
