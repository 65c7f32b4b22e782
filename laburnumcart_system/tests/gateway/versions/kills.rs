//! Streams whose callers return after gateways were killed, while versions come and go.

use std::time;

use http::StatusCode;
use laburnumcart_fakes::scripted::{
    Step,
    Target, //
};
use laburnumcart_gateway::settings;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use rstest::rstest;

use super::{
    LEAST,
    Outcome,
    STREAMS,
    knows_targets,
    leave_stream,
    list_targets,
    take_up,
    versioned_target,
    versions_in, //
};
use crate::support::{
    self,
    System,
    config, //
};

// All records are lost, and the first gateway to start cannot ask anyone.
#[rstest]
#[case::after_one_version("v1", StatusCode::OK)]
#[case::after_two_versions("v2", StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn a_stream_goes_on_after_all_gateways_were_killed_if_it_had_one_version(
    #[case] newer: &'static str,
    #[case] status: StatusCode,
) {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target(newer, |_| Some(Step::Hang)).await;
    let system = System::start(config(|_| ()), &[]).await;
    list_targets(&system, &[("i-1", "v1", &old)]).await;
    leave_stream(&system, "stream-1").await;
    list_targets(&system, &[("i-1", "v1", &old), ("i-2", newer, &new)]).await;
    let store = system.store.clone();
    support::wait_for_object(&store, "software-versions/desk").await;
    system.remove("servers/i-1").await;
    knows_targets(&system, &["i-2"]).await;
    drop(system);
    let restarted = System::start_alone(store).await;
    knows_targets(&restarted, &["i-2"]).await;
    let response = take_up(&restarted, "stream-1").await;
    assert_eq!(response.status, status, "{response:?}");
}

// All records in memory are lost while two versions serve, and no stream goes on.
#[rstest]
#[tokio::test]
async fn streams_go_on_after_all_gateways_were_killed_beside_two_versions(
    #[values(1, 3)] killed: usize,
) {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target("v2", |_| Some(Step::Hang)).await;
    let both = [("i-1", "v1", &old), ("i-2", "v2", &new)];
    let system = System::start(config(|_| ()), &[]).await;
    let store = system.store.clone();
    let peers = match killed {
        1 => Vec::new(),
        count => system.start_peers(2..=count).await,
    };
    list_targets(&system, &both[..1]).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        if number == STREAMS / 2 {
            list_targets(&system, &both).await;
        }
        let attempt = format!("stream-{number}");
        let events = leave_stream(&system, &attempt).await;
        begun.push((attempt, events));
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    drop((system, peers));
    let restarted = System::start_alone(store).await;
    let _peers = match killed {
        1 => Vec::new(),
        count => restarted.start_peers(2..=count).await,
    };
    knows_targets(&restarted, &["i-1", "i-2"]).await;
    support::wait_for(|| !restarted.gateway.origins.is_empty()).await;
    let mut outcome = Outcome::default();
    for (attempt, events) in &begun {
        outcome.record(events, &take_up(&restarted, attempt).await);
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

/// Versions that are listed while a stream runs, and once all gateways have started again.
#[derive(Clone, Copy, Debug)]
struct Release {
    before: &'static [&'static str],
    after: &'static [&'static str],
}

// The version that began a stream leaves while no gateway runs, and another one goes on with it.
#[rstest]
#[case::replaced(Release { before: &["v1"], after: &["v2"] })]
#[case::replaced_in_part(Release { before: &["v1"], after: &["v1", "v2"] })]
#[case::replaced_twice(Release { before: &["v1", "v2"], after: &["v3"] })]
#[case::on_the_way(Release { before: &["v1", "v2"], after: &["v2"] })]
#[case::rolled_back(Release { before: &["v1", "v2"], after: &["v1"] })]
#[tokio::test]
async fn no_stream_is_joined_from_two_versions_after_all_gateways_were_killed(
    #[case] release: Release,
    #[values(1, 3)] killed: usize,
) {
    let mut targets = Vec::new();
    for version in ["v1", "v2", "v3"] {
        targets.push(versioned_target(version, |_| Some(Step::Hang)).await);
    }
    let entry = |version: &&str| -> (&str, &str, &Target) {
        match *version {
            "v1" => ("i-1", "v1", &targets[0]),
            "v2" => ("i-2", "v2", &targets[1]),
            _ => ("i-3", "v3", &targets[2]),
        }
    };
    let system = System::start(config(|_| ()), &[]).await;
    let store = system.store.clone();
    let peers = match killed {
        1 => Vec::new(),
        count => system.start_peers(2..=count).await,
    };
    let before: Vec<_> = release.before.iter().map(entry).collect();
    list_targets(&system, &before).await;
    let mut begun = Vec::new();
    for number in 0..8 {
        let attempt = format!("stream-{number}");
        let events = leave_stream(&system, &attempt).await;
        begun.push((attempt, events));
    }
    drop((system, peers));
    for (name, ..) in &before {
        let key = format!("servers/{name}");
        let entry = store.get(&key).await.unwrap().unwrap();
        store.delete(&key, entry.version).await.unwrap();
    }
    let restarted = System::start_alone(store).await;
    let _peers = match killed {
        1 => Vec::new(),
        count => restarted.start_peers(2..=count).await,
    };
    let after: Vec<_> = release.after.iter().map(entry).collect();
    list_targets(&restarted, &after).await;
    let mut outcome = Outcome::default();
    for (attempt, events) in &begun {
        outcome.record(events, &take_up(&restarted, attempt).await);
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
}

/// Which gateways end between the begin of the streams and their callers' return.
#[derive(Clone, Copy, Debug)]
enum Kill {
    /// All end, and the new version appears before the first one starts again.
    All,
    /// The same, and the first one notes the new version before the next one starts.
    FirstNotes,
    /// All end, start again and end within two seconds; then the new version appears.
    Twice,
    /// One survives, and the new version appears while the others are down.
    OneSurvives,
}

// A version that appeared after the kill is taken for one that may have begun the streams.
#[rstest]
#[case::all(Kill::All, 1)]
#[case::all_of_three(Kill::All, 3)]
#[case::first_notes(Kill::FirstNotes, 3)]
#[case::twice(Kill::Twice, 1)]
#[case::twice_of_three(Kill::Twice, 3)]
#[case::one_survives(Kill::OneSurvives, 3)]
#[tokio::test]
async fn streams_go_on_beside_a_version_that_appeared_after_the_kill(
    #[case] kill: Kill,
    #[case] count: usize,
) {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target("v2", |_| Some(Step::Hang)).await;
    let mut gateways = vec![System::start(config(|_| ()), &[]).await];
    let store = gateways[0].store.clone();
    if count > 1 {
        let peers = gateways[0].start_peers(2..=count).await;
        gateways.extend(peers);
    }
    list_targets(&gateways[0], &[("i-1", "v1", &old)]).await;
    for gateway in &gateways {
        knows_targets(gateway, &["i-1"]).await;
    }
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("stream-{number}");
        let events = leave_stream(&gateways[number % count], &attempt).await;
        begun.push((attempt, events));
    }
    // The notes are written within the interval of the comparison.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let survivors = match kill {
        Kill::OneSurvives => gateways.split_off(count - 1),
        _ => Vec::new(),
    };
    gateways.clear();
    if let Kill::Twice = kill {
        let again = start_all(&store, count).await;
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        drop(again);
    }
    put_target(&store, "i-2", "v2", &new).await;
    for survivor in &survivors {
        knows_targets(survivor, &["i-1", "i-2"]).await;
    }
    let mut outcome = Outcome::default();
    let share = STREAMS.div_ceil(count);
    let mut begun = begun.chunks(share);
    for number in 1..=count - survivors.len() {
        let gateway = start(&store, number).await;
        knows_targets(&gateway, &["i-1", "i-2"]).await;
        if let (Kill::FirstNotes, 1) = (kill, number) {
            notes_version(&store, "v2").await;
        }
        for (attempt, events) in begun.next().into_iter().flatten() {
            outcome.record(events, &take_up(&gateway, attempt).await);
        }
        gateways.push(gateway);
    }
    for (survivor, begun) in survivors.iter().zip(begun) {
        for (attempt, events) in begun {
            outcome.record(events, &take_up(survivor, attempt).await);
        }
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

/// How the note of an instance is spoilt while no gateway runs.
#[derive(Clone, Copy, Debug)]
enum Damage {
    /// Half of it is missing.
    Cut,
    /// Another program has written it.
    Foreign,
    /// It is gone.
    Removed,
    /// It names a version that no target has.
    Widened,
}

// What cannot be read is taken for a note that names no version.
#[rstest]
#[tokio::test]
async fn no_stream_goes_on_by_a_note_that_was_spoilt(
    #[values(Damage::Cut, Damage::Foreign, Damage::Removed, Damage::Widened)] damage: Damage,
    #[values("gateway-1", "gateway-2")] instance: &str,
) {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target("v2", |_| Some(Step::Hang)).await;
    let system = System::start(config(|_| ()), &[]).await;
    let store = system.store.clone();
    let peers = system.start_peers(2..=2).await;
    list_targets(&system, &[("i-1", "v1", &old)]).await;
    knows_targets(&peers[0], &["i-1"]).await;
    let mut begun = Vec::new();
    for number in 0..8 {
        let attempt = format!("stream-{number}");
        let events = leave_stream(&peers[0], &attempt).await;
        begun.push((attempt, events));
    }
    drop((system, peers));
    let key = format!("version-usage/{instance}");
    let note = store.get(&key).await.unwrap().unwrap();
    let value = match damage {
        Damage::Cut => format!("{:?}", &note.value[..note.value.len() / 2]),
        Damage::Foreign => String::from("{\"versions\":[\"v1\"]}"),
        Damage::Widened => note.value.replace("[\"v1\"]", "[\"v1\",\"v9\"]"),
        Damage::Removed => String::new(),
    };
    assert_ne!(value, note.value);
    match damage {
        Damage::Removed => store.delete(&key, note.version).await.unwrap(),
        _ => {
            let expect = store::Expect::Version(note.version);
            store.put(&key, expect, &value).await.unwrap();
        }
    };
    put_target(&store, "i-2", "v2", &new).await;
    let restarted = start(&store, 1).await;
    knows_targets(&restarted, &["i-1", "i-2"]).await;
    for (attempt, _) in &begun {
        let response = take_up(&restarted, attempt).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    }
}

// Each run of the gateways uses another version, and the last one takes any stream for its own.
#[rstest]
#[tokio::test]
async fn no_stream_of_several_runs_is_joined_from_two_versions(
    #[values(1, 3)] count: usize,
    #[values(0, 1000)] pause_ms: u64,
) {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target("v2", |_| Some(Step::Hang)).await;
    let store = System::start(config(|_| ()), &[]).await.store.clone();
    let mut begun = Vec::new();
    for (run, name, version, target) in [
        (1, "i-1", "v1", &old),
        (2, "i-2", "v2", &new),
        (3, "i-1", "v1", &old),
    ] {
        let gateways = start_all(&store, count).await;
        put_target(&store, name, version, target).await;
        for (number, gateway) in gateways.iter().enumerate() {
            knows_targets(gateway, &[name]).await;
            for stream in 0..4 {
                let attempt = format!("stream-{run}-{number}-{stream}");
                let events = leave_stream(gateway, &attempt).await;
                begun.push((attempt, events));
            }
        }
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        drop(gateways);
        let key = format!("servers/{name}");
        let entry = store.get(&key).await.unwrap().unwrap();
        store.delete(&key, entry.version).await.unwrap();
    }
    put_target(&store, "i-1", "v1", &old).await;
    put_target(&store, "i-2", "v2", &new).await;
    let mut outcome = Outcome::default();
    for gateway in start_all(&store, count).await {
        knows_targets(&gateway, &["i-1", "i-2"]).await;
        for (attempt, events) in &begun {
            outcome.record(events, &take_up(&gateway, attempt).await);
        }
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
}

// A stream begins at a version of which the next run of its gateway finds no trace.
#[tokio::test]
async fn no_stream_begins_at_a_version_before_the_note_names_it() {
    let system = System::start(config(|_| ()), &[]).await;
    let mut gateways = system.start_peers(2..=3).await;
    gateways.push(system);
    let mut targets = Vec::new();
    for version in ["v1", "v2", "v3"] {
        let target = versioned_target(version, |_| Some(Step::Hang)).await;
        put_target(&gateways[0].store, version, version, &target).await;
        if let Some((last, _)) = targets.last() {
            gateways[0].remove(&format!("servers/{last}")).await;
        }
        targets.push((version, target));
        for gateway in &gateways {
            knows_targets(gateway, &[version]).await;
            let instance = &gateway.gateway.settings.instance;
            let events = leave_stream(gateway, &format!("{instance}-{version}")).await;
            let begun = versions_in(&events)[0];
            let key = format!("version-usage/{instance}");
            let note = gateway.store.get(&key).await.unwrap().unwrap();
            assert!(note.value.contains(begun), "{begun}: {}", note.value);
        }
    }
}

/// Creates or replaces the entry of a target.
async fn put_target(store: &memory::Memory, name: &str, version: &str, target: &Target) {
    let key = format!("servers/{name}");
    let entry = support::target_entry("desk", target, "ready");
    let entry = entry.replace("\"v1\"", &format!("\"{version}\""));
    let found = store.get(&key).await.unwrap();
    let expect = found.map_or(store::Expect::Absent, |o| store::Expect::Version(o.version));
    store.put(&key, expect, &entry).await.unwrap();
}

/// Starts a gateway on a store that was used before, and waits until it has read it.
async fn start(store: &memory::Memory, number: usize) -> System {
    let name = format!("gateway-{number}");
    let system = System::start_on(store.clone(), &name, settings::Bounds::default()).await;
    support::wait_for(|| system.gateway.view.is_loaded()).await;
    system
}

/// Starts gateways one after the other.
async fn start_all(store: &memory::Memory, count: usize) -> Vec<System> {
    let mut gateways = Vec::new();
    for number in 1..=count {
        gateways.push(start(store, number).await);
    }
    gateways
}

/// Waits until the note of the service names a version.
async fn notes_version(store: &memory::Memory, version: &str) {
    let named = format!("\"{version}\"");
    let wait = async {
        loop {
            let note = store.get("software-versions/desk").await.unwrap();
            if note.is_some_and(|note| note.value.contains(&named)) {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(support::TIMEOUT, wait)
        .await
        .expect("the version is noted before the timeout");
}
