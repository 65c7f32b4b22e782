//! Every call of the object service's protocol, from the real client to the fake service.

use std::time;

use rstest::rstest;

use laburnumcart::unit;
use laburnumcart_fakes::store as fake;
use laburnumcart_platform::{
    client,
    store::{
        self,
        Store, //
    },
};

/// Timeout of waits that normally end much earlier.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn start() -> (fake::Server, client::Client) {
    let server = fake::Server::builder().start().unwrap();
    let client = client::Client::builder([server.addr()])
        .timeout(unit::Period(TIMEOUT))
        .build();
    (server, client.unwrap())
}

#[tokio::test]
async fn get_returns_value_and_version_or_nothing() {
    let (_server, client) = start();
    assert_eq!(client.get("a/b").await, Ok(None));
    let version = client.put("a/b", store::Expect::Absent, "[1]").await;
    let object = client.get("a/b").await.unwrap().unwrap();
    assert_eq!(object.key, "a/b");
    assert_eq!(object.value, "[1]");
    assert_eq!(Ok(object.version), version);
}

#[tokio::test]
async fn put_depends_on_the_expected_state() {
    let (_server, client) = start();
    let first = client.put("a", store::Expect::Absent, "1").await.unwrap();
    let again = client.put("a", store::Expect::Absent, "2").await;
    assert_eq!(again, Err(store::Failure::Conflict));
    let expect = store::Expect::Version(first);
    let second = client.put("a", expect, "2").await.unwrap();
    assert!(second > first);
    let stale = client.put("a", expect, "3").await;
    assert_eq!(stale, Err(store::Failure::Conflict));
    let absent = client.put("b", expect, "3").await;
    assert_eq!(absent, Err(store::Failure::Conflict));
    assert_eq!(client.get("a").await.unwrap().unwrap().value, "2");
}

#[tokio::test]
async fn delete_depends_on_the_version_and_succeeds_twice() {
    let (_server, client) = start();
    let first = client.put("a", store::Expect::Absent, "1").await.unwrap();
    let expect = store::Expect::Version(first);
    let second = client.put("a", expect, "2").await.unwrap();
    let stale = client.delete("a", first).await;
    assert_eq!(stale, Err(store::Failure::Conflict));
    assert_eq!(client.delete("a", second).await, Ok(()));
    assert_eq!(client.delete("a", second).await, Ok(()));
    assert_eq!(client.get("a").await, Ok(None));
    let third = client.put("a", store::Expect::Absent, "3").await.unwrap();
    assert!(third > second);
}

#[tokio::test]
async fn list_is_ordered_and_bounded_by_the_prefix() {
    let (_server, client) = start();
    for key in ["p/b", "q/a", "p/a", "p"] {
        let put = client.put(key, store::Expect::Absent, "{\"x\":\"\\\"\"}");
        put.await.unwrap();
    }
    let listing = client.list("p/").await.unwrap();
    let keys: Vec<_> = listing.objects.iter().map(|o| o.key.as_str()).collect();
    assert_eq!(keys, ["p/a", "p/b"]);
    assert_eq!(listing.objects[0].value, "{\"x\":\"\\\"\"}");
    assert_eq!(client.list("").await.unwrap().objects.len(), 4);
    assert_eq!(client.list("none/").await.unwrap().objects.len(), 0);
}

#[tokio::test]
async fn watch_waits_and_reports_changes_in_order() {
    let (server, client) = start();
    let from = client.list("p/").await.unwrap().revision;
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.watch("p/", from, TIMEOUT).await }
    });
    wait_until(|| server.counts().total.watches == 1).await;
    client.put("q/a", store::Expect::Absent, "0").await.unwrap();
    let first = client.put("p/a", store::Expect::Absent, "1").await;
    let first = first.unwrap();
    let changes = waiting.await.unwrap().unwrap();
    assert_eq!(changes.events, [event("p/a", first, Some("1"))]);
    let expect = store::Expect::Version(first);
    let second = client.put("p/a", expect, "2").await.unwrap();
    client.delete("p/a", second).await.unwrap();
    let changes = client.watch("p/", changes.revision, TIMEOUT).await.unwrap();
    assert_eq!(changes.events.len(), 2);
    assert_eq!(changes.events[0], event("p/a", second, Some("2")));
    assert_eq!(changes.events[1].value, None);
    assert!(changes.events[1].version > second);
}

#[tokio::test]
async fn watch_ends_without_changes() {
    let (_server, client) = start();
    let from = client.list("").await.unwrap().revision;
    let wait = time::Duration::from_millis(20);
    let changes = client.watch("", from, wait).await.unwrap();
    assert_eq!(changes.events, []);
    assert_eq!(changes.revision, from);
}

#[tokio::test]
async fn watch_of_a_compacted_revision_is_refused() {
    let (server, client) = start();
    let from = client.list("").await.unwrap().revision;
    client.put("a", store::Expect::Absent, "1").await.unwrap();
    server.memory().compact();
    let changes = client.watch("", from, TIMEOUT).await;
    assert_eq!(changes, Err(store::Failure::Compacted));
}

#[rstest]
#[case::not_json("a", "{")]
#[case::empty_key("", "1")]
#[case::bad_key("a?b", "1")]
#[case::empty_segment("a//b", "1")]
#[tokio::test]
async fn malformed_write_is_invalid(#[case] key: &str, #[case] value: &str) {
    let (_server, client) = start();
    let put = client.put(key, store::Expect::Absent, value).await;
    assert_eq!(put, Err(store::Failure::Invalid));
}

#[tokio::test]
async fn largest_value_is_accepted_and_a_larger_one_is_refused() {
    let (_server, client) = start();
    let largest = format!("\"{}\"", "x".repeat(store::VALUE_MAX - 2));
    client
        .put("a", store::Expect::Absent, &largest)
        .await
        .unwrap();
    assert_eq!(client.get("a").await.unwrap().unwrap().value, largest);
    let larger = format!("{largest} ");
    let put = client.put("b", store::Expect::Absent, &larger).await;
    assert_eq!(put, Err(store::Failure::Invalid));
}

#[tokio::test]
async fn hundreds_of_watches_wait_at_once() {
    let server = fake::Server::builder().start().unwrap();
    let rates = laburnumcart_platform::budget::Rates {
        reads: unit::Rate(10_000.0),
        writes: unit::Rate(100.0),
    };
    let client = client::Client::builder([server.addr()]).rates(rates);
    let client = client.timeout(unit::Period(TIMEOUT)).build().unwrap();
    let from = client.list("").await.unwrap().revision;
    let watches: Vec<_> = (0..400)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.watch("head", from, TIMEOUT).await })
        })
        .collect();
    wait_until(|| server.counts().total.watches == 400).await;
    let version = client.put("head", store::Expect::Absent, "1").await;
    let expected = [event("head", version.unwrap(), Some("1"))];
    for watch in watches {
        assert_eq!(watch.await.unwrap().unwrap().events, expected);
    }
}

fn event(key: &str, version: store::Version, value: Option<&str>) -> store::Event {
    store::Event {
        key: key.into(),
        version,
        value: value.map(str::to_owned),
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, poll).await.unwrap();
}
