//! Tests of packed answers to requests for store data.

use std::{
    sync::Arc,
    time, //
};

use futures_util::FutureExt;

use laburnumcart::unit;
use laburnumcart_gateway::relay::{
    Answer,
    FollowRequest,
    Topic,
    cache,
    packed, //
};
use laburnumcart_platform::{
    follow::{
        self,
        Observer, //
    },
    store, //
};

/// Number of routes with which a configuration has about a megabyte.
const ROUTES: usize = 4000;

/// Number of transfers that one process serves at a time.
const TRANSFERS: u64 = 4;

/// Observer of a topic that is only published.
struct Ignored;

impl Observer for Ignored {
    fn before_call(&mut self) {}

    fn after_read(&mut self, _: &follow::Snapshot, _: unit::Period) {}
}

/// Returns a configuration whose routes have names that don't repeat.
fn config(version: u64, routes: usize) -> store::Object {
    let route = |index: usize| {
        let hash = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            "{{\"name\":\"{hash:016x}\",\"path\":\"/{:x}/\",\"timeout\":1500,\"kind\":\"idempotent\"}}",
            hash.rotate_left(31) >> 8
        )
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    store::Object {
        key: "config/main".into(),
        version: store::Version(version),
        value: format!(
            "{{\"version\":{version},\"routes\":[{}]}}",
            routes.join(",")
        ),
    }
}

fn event(object: &store::Object) -> store::Event {
    store::Event {
        key: object.key.clone(),
        version: object.version,
        value: Some(object.value.clone()),
    }
}

/// Returns a cache that has read these versions one after the other.
fn cache_of(versions: &[store::Object]) -> cache::Cache {
    let cache = Arc::new(cache::Cache::default());
    let mut publisher = cache::Publisher::new(Ignored, Topic::Table, &cache);
    for object in versions {
        let mut snapshot = follow::Snapshot::default();
        let listing = store::Listing {
            revision: store::Revision(object.version.0),
            objects: vec![object.clone()],
            ..store::Listing::default()
        };
        snapshot.apply(listing).expect("a newer listing");
        publisher.before_call();
        publisher.after_read(&snapshot, unit::Period::default());
    }
    drop(publisher);
    Arc::into_inner(cache).expect("the only owner")
}

fn request(transfer: u64, base: Option<u64>) -> FollowRequest {
    FollowRequest {
        topic: Topic::Table,
        after: Some(store::Revision(1)),
        wait: unit::Period::default(),
        max_age: unit::Period::from_secs(60),
        wait_fresh: false,
        allow_large: false,
        signals: None,
        accept: Some(packed::Accept {
            transfer: packed::TransferId(transfer),
            base: base.map(store::Version),
        }),
    }
}

async fn ask(cache: &cache::Cache, transfer: u64, base: Option<u64>) -> packed::Packed {
    match cache.follow(&request(transfer, base)).await.answer {
        Answer::Packed(packed) => packed,
        other => panic!("not packed: {other:?}"),
    }
}

fn part_request(packed: &packed::Packed, transfer: u64, offset: usize) -> packed::PartRequest {
    packed::PartRequest {
        topic: Topic::Table,
        transfer: packed::TransferId(transfer),
        checksum: packed.checksum,
        offset,
    }
}

// Sent as a whole, a change of one route fills a slow link for a second.
#[tokio::test]
async fn a_small_change_of_a_large_configuration_is_sent_in_one_small_part() {
    let (old, new) = (config(1, ROUTES), config(2, ROUTES + 1));
    let cache = cache_of(&[old.clone(), new.clone()]);
    let packed = ask(&cache, 1, Some(1)).await;
    assert!(packed.size < 1 << 10, "{} bytes", packed.size);
    assert_eq!(packed.first.0.len(), packed.size);
    let events = packed::unpack(&packed.first.0, packed.checksum, Some(&old)).unwrap();
    assert_eq!(events, [event(&new)]);
}

#[tokio::test]
async fn a_caller_without_the_base_gets_the_whole_in_parts() {
    let new = config(2, ROUTES);
    let cache = cache_of(&[config(1, ROUTES), new.clone()]);
    let packed = ask(&cache, 1, Some(7)).await;
    assert_eq!(packed.base, None);
    let mut bytes = packed.first.0.clone();
    while bytes.len() < packed.size {
        let part = cache.part(&part_request(&packed, 1, bytes.len())).await;
        bytes.extend(part.expect("a part").0);
    }
    assert!(bytes.len() < new.value.len() / 3, "{} bytes", bytes.len());
    let events = packed::unpack(&bytes, packed.checksum, None).unwrap();
    assert_eq!(events, [event(&new)]);
}

// A version that is put together from another base would be neither the old nor the new one.
#[test]
fn another_base_or_a_changed_byte_yields_no_version() {
    let (old, new) = (config(1, ROUTES), config(3, ROUTES + 350));
    let mut bytes = packed::pack(&[event(&new)], Some(&old)).unwrap();
    let checksum = packed::Checksum::of(&bytes);
    let other = config(2, ROUTES + 1);
    for base in [None, Some(&other)] {
        let unpacked = packed::unpack(&bytes, checksum, base);
        assert!(
            unpacked.is_err(),
            "{:?}",
            unpacked.map(|events| events.len())
        );
    }
    bytes[20] ^= 1;
    assert!(packed::unpack(&bytes, checksum, Some(&old)).is_err());
}

// Otherwise a transfer that breaks off begins anew at the next process.
#[tokio::test]
async fn two_processes_send_the_same_bytes() {
    let versions = [config(1, ROUTES), config(2, ROUTES + 1400)];
    let (one, other) = (cache_of(&versions), cache_of(&versions));
    let (sent, again) = (ask(&one, 1, Some(1)).await, ask(&other, 1, Some(1)).await);
    assert!(sent.size > packed::PART_BYTES, "{} bytes", sent.size);
    assert_eq!((sent.checksum, sent.size), (again.checksum, again.size));
}

// Sent to all at once, a large change delays all other messages of a process.
#[tokio::test(start_paused = true)]
async fn a_fifth_transfer_waits_for_the_end_of_another() {
    let cache = cache_of(&[config(1, ROUTES), config(2, ROUTES + 1400)]);
    for transfer in 1..=TRANSFERS {
        assert!(!ask(&cache, transfer, Some(1)).await.first.0.is_empty());
    }
    let waiting = ask(&cache, TRANSFERS + 1, Some(1)).await;
    assert!(waiting.first.0.is_empty());
    let first_part = part_request(&waiting, TRANSFERS + 1, 0);
    let last_part = part_request(&waiting, 1, waiting.size - 1);
    let (first, last) = tokio::join!(cache.part(&first_part), cache.part(&last_part));
    assert_eq!(last.expect("a part").0.len(), 1);
    assert!(!first.expect("a part").0.is_empty());
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    let idle = ask(&cache, TRANSFERS + 2, Some(1)).await;
    assert!(
        !idle.first.0.is_empty(),
        "transfers without requests have ended"
    );
}

#[test]
fn a_request_of_an_earlier_version_accepts_no_packed_answer() {
    let text = r#"{"topic":"table","after":1,"wait":"0s","limit":"1s","hold":false,"large":false,"signals":null}"#;
    let request: FollowRequest = serde_json::from_str(text).unwrap();
    assert_eq!(request.accept, None);
    let cache = cache_of(&[config(1, ROUTES), config(2, ROUTES)]);
    let answer = cache.follow(&request).now_or_never();
    assert_eq!(answer.expect("an answer").answer, Answer::TooLarge);
}
