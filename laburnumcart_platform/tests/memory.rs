//! In-memory object service: stale reads, bounded history and faults.

use std::{
    collections,
    time, //
};

use proptest::prelude::*;
use tokio::time::Instant;

use laburnumcart::unit;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};

const SECOND: time::Duration = time::Duration::from_secs(1);

async fn create(memory: &memory::Memory, key: &str, value: &str) -> store::Version {
    memory.put(key, store::Expect::Absent, value).await.unwrap()
}

fn set_faults(memory: &memory::Memory, set: impl FnOnce(&mut memory::Faults)) {
    let mut faults = memory::Faults::default();
    set(&mut faults);
    memory.set_faults(faults);
}

#[tokio::test(start_paused = true)]
async fn stale_reads_return_the_older_version_until_their_age_has_passed() {
    let memory = memory::Memory::new();
    let first = create(&memory, "a", "1").await;
    tokio::time::sleep(SECOND).await;
    let expect = store::Expect::Version(first);
    let second = memory.put("a", expect, "2").await.unwrap();
    set_faults(&memory, |faults| faults.stale = unit::Period::from_secs(5));
    tokio::time::sleep(SECOND * 4).await;
    assert_eq!(memory.get("a").await.unwrap().unwrap().version, first);
    assert_eq!(memory.list("").await.unwrap().objects[0].value, "1");
    tokio::time::sleep(SECOND * 2).await;
    assert_eq!(memory.get("a").await.unwrap().unwrap().version, second);
}

#[tokio::test(start_paused = true)]
async fn history_is_bounded() {
    let memory = memory::Memory::builder().kept_changes(3).build();
    for key in ["a", "b", "c", "d", "e"] {
        create(&memory, key, "1").await;
    }
    let old = memory.watch("", store::Revision(1), SECOND).await;
    assert_eq!(old, Err(store::Failure::Compacted));
    let kept = memory.watch("", store::Revision(2), SECOND).await;
    assert_eq!(kept.unwrap().events.len(), 3);
    let future = memory.watch("", store::Revision(6), SECOND).await;
    assert_eq!(future, Err(store::Failure::Compacted));
}

#[tokio::test(start_paused = true)]
async fn outage_ends_waiting_watches() {
    let memory = memory::Memory::new();
    let from = memory.revision();
    let start = Instant::now();
    let outage = async {
        tokio::time::sleep(SECOND).await;
        set_faults(&memory, |faults| faults.down = true);
    };
    let (watch, ()) = tokio::join!(memory.watch("", from, SECOND * 60), outage);
    assert!(matches!(watch, Err(store::Failure::Unavailable { .. })));
    assert_eq!(start.elapsed(), SECOND);
}

#[tokio::test(start_paused = true)]
async fn slow_fault_delays_calls() {
    let memory = memory::Memory::new();
    set_faults(&memory, |faults| faults.slow = unit::Period::from_secs(3));
    let start = Instant::now();
    create(&memory, "a", "1").await;
    assert_eq!(start.elapsed(), SECOND * 3);
}

#[tokio::test]
async fn values_are_json_of_bounded_size() {
    let memory = memory::Memory::new();
    let largest = format!("\"{}\"", "x".repeat(store::VALUE_MAX - 2));
    create(&memory, "a", &largest).await;
    for value in [format!("{largest} "), "{".into(), String::new()] {
        let put = memory.put("b", store::Expect::Absent, &value).await;
        assert_eq!(put, Err(store::Failure::Invalid));
    }
}

proptest! {
    /// A stale listing equals the listing at that time, whatever was written since.
    #[test]
    fn stale_listings_are_exact(keys in prop::collection::vec(0u8..4, 1..30), age in 0u64..30) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let memory = memory::Memory::new();
            let mut states = collections::VecDeque::from([memory.list("").await.unwrap()]);
            for key in keys {
                tokio::time::sleep(SECOND).await;
                let key = key.to_string();
                match memory.get(&key).await.unwrap() {
                    Some(object) if object.version.0 % 3 == 0 => {
                        memory.delete(&key, object.version).await.unwrap();
                    }
                    Some(object) => {
                        let expect = store::Expect::Version(object.version);
                        memory.put(&key, expect, "2").await.unwrap();
                    }
                    None => {
                        create(&memory, &key, "1").await;
                    }
                }
                states.push_front(memory.list("").await.unwrap());
            }
            tokio::time::sleep(SECOND / 2).await;
            set_faults(&memory, |faults| faults.stale = unit::Period::from_secs(age));
            let expected = &states[(age as usize).min(states.len() - 1)];
            assert_eq!(&memory.list("").await.unwrap(), expected);
            let object = memory.get("0").await.unwrap();
            assert_eq!(object.as_ref(), expected.objects.iter().find(|o| o.key == "0"));
        });
    }
}
