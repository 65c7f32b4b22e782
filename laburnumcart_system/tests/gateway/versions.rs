//! Streams while targets of several software versions serve.

mod kills;

use std::time;

use http::StatusCode;
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};

use crate::support::{
    self,
    Response,
    System,
    chunk,
    config,
    stream_end,
    stream_head, //
};

/// Streams that callers leave and take up again in each case.
pub(crate) const STREAMS: usize = 40;

/// Least number of them that go on.
pub(crate) const LEAST: usize = STREAMS * 9 / 10;

/// Last event of a stream.
pub(crate) const LAST: u32 = 5;

/// Returns events of a target with a software version, which is their data.
pub(crate) fn versioned_events(version: &str, ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(|id| format!("id: {id}\ndata: {version}\n\n"))
        .collect()
}

/// Starts a target that sends two events of a new stream, then takes the step that `then` returns
/// for its number, and that resumes streams after any event without a check.
pub(crate) async fn versioned_target(
    version: &'static str,
    then: impl Fn(usize) -> Option<Step> + Send + Sync + 'static,
) -> Target {
    let script = move |seen: &ReceivedRequest, number: usize| {
        let after = seen.header("last-event-id");
        let after: Option<u32> = after.map(|id| id.parse().unwrap());
        match (after, then(number)) {
            (None, Some(step)) => vec![
                stream_head(seen),
                chunk(&versioned_events(version, 1..=2)),
                step,
            ],
            (after, _) => vec![
                stream_head(seen),
                chunk(&versioned_events(version, after.unwrap_or(0) + 1..=LAST)),
                stream_end(),
            ],
        }
    };
    Target::start(script).await.unwrap()
}

/// Lists targets of a service, and waits until a gateway knows them.
pub(crate) async fn list_targets(system: &System, versions: &[(&str, &str, &Target)]) {
    for (name, version, target) in versions {
        let entry = support::target_entry("desk", target, "ready");
        let entry = entry.replace("\"v1\"", &format!("\"{version}\""));
        system.put(&format!("servers/{name}"), &entry).await;
    }
    let names: Vec<_> = versions.iter().map(|(name, ..)| *name).collect();
    knows_targets(system, &names).await;
}

/// Waits until a gateway uses exactly these targets.
pub(crate) async fn knows_targets(system: &System, names: &[&str]) {
    support::wait_for(|| {
        let targets = system.gateway.view.targets.load();
        let listed = targets.service(&"desk".parse().unwrap());
        listed.len() == names.len() && listed.iter().all(|t| names.contains(&t.name.as_str()))
    })
    .await;
}

/// Begins a stream at a gateway and leaves it after two events, which are returned.
pub(crate) async fn leave_stream(system: &System, attempt: &str) -> String {
    let named = format!("x-laburnumcart-attempt-id: {attempt}\r\n");
    leave_after(system, &named, "id: 2\ndata: v").await
}

/// Sends a request with these header lines, and leaves once the events end with `last`; returns them.
pub(crate) async fn leave_after(system: &System, lines: &str, last: &str) -> String {
    let stream = tokio::net::TcpStream::connect(system.addr).await;
    let mut stream = stream.unwrap();
    let request = format!(
        "POST /resumed/1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 0\r\n\
         {lines}x-laburnumcart-deadline-ms: 9000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&bytes).contains(last) {
            assert_ne!(stream.read_buf(&mut bytes).await.unwrap(), 0);
        }
    };
    tokio::time::timeout(support::TIMEOUT, read).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    text[text.find("id: ").unwrap()..].to_owned()
}

/// Takes up a stream after its second event.
pub(crate) async fn take_up(system: &System, attempt: &str) -> Response {
    let call = system.call("/resumed/1", |headers| {
        let again = format!("{attempt}-again");
        headers.insert("x-laburnumcart-attempt-id", again.parse().unwrap());
        headers.insert("last-event-id", "2".parse().unwrap());
        headers.insert("resumes", attempt.parse().unwrap());
    });
    call.await
}

/// Returns the versions whose events a text holds.
fn versions_in(events: &str) -> Vec<&str> {
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let mut versions: Vec<_> = data.collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Counts of streams that callers took up.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) went_on: usize,
    pub(crate) mixed: usize,
    refused: usize,
}

impl Outcome {
    pub(crate) fn record(&mut self, first: &str, response: &Response) {
        if response.status != StatusCode::OK {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            self.refused += 1;
            return;
        }
        let events = format!("{first}\n{}", response.body);
        match versions_in(&events).len() {
            1 if response.complete => self.went_on += 1,
            1 => {}
            _ => self.mixed += 1,
        }
    }
}

/// Where a caller takes its stream up.
#[derive(Clone, Copy, Debug)]
enum Return {
    /// At the gateway that it left.
    Same,
    /// At another one.
    Other,
    /// At another one, after the first has ended without a word.
    Killed,
    /// At one that has just started.
    Started,
}

// A resumption within one answer takes a target of another version.
#[tokio::test]
async fn a_stream_is_not_resumed_at_another_version() {
    let breaks = |number: usize| number.is_multiple_of(4).then_some(Step::Close);
    let targets = [
        versioned_target("v1", breaks).await,
        versioned_target("v1", breaks).await,
        versioned_target("v1.2", breaks).await,
        versioned_target("v1.2", breaks).await,
    ];
    let system = System::start_with_bounds(support::unlimited_retries(), config(|_| ()), &[]).await;
    let listed = [
        ("i-1", "v1", &targets[0]),
        ("i-2", "v1", &targets[1]),
        ("i-3", "v1.2", &targets[2]),
        ("i-4", "v1.2", &targets[3]),
    ];
    list_targets(&system, &listed).await;
    let mut complete = 0;
    for _ in 0..2 * STREAMS {
        let response = system.call("/resumed/1", |_| ()).await;
        assert_eq!(versions_in(&response.body).len(), 1, "{}", response.body);
        complete += usize::from(response.complete);
    }
    assert!(complete >= 2 * LEAST, "{complete} complete");
}

// A caller that takes its stream up gets events of another version.
#[rstest]
#[case::with_one_version(Return::Other, ["v1", "v1", "v1", "v1"])]
#[case::at_the_same_gateway(Return::Same, ["v1", "v1", "v1.2", "v1.2"])]
#[case::at_another_gateway(Return::Other, ["v1", "v1", "v1.2", "v1.2"])]
#[case::after_the_first_was_killed(Return::Killed, ["v1", "v1", "v1.2", "v1.2"])]
#[case::at_a_gateway_just_started(Return::Started, ["v1", "v1", "v1.2", "v1.2"])]
#[case::with_three_versions(Return::Other, ["v1", "v1.2", "v1.2", "v2"])]
#[tokio::test]
async fn a_stream_taken_up_goes_on_at_its_version(
    #[case] back: Return,
    #[case] versions: [&'static str; 4],
) {
    let mut targets = Vec::new();
    for version in versions {
        targets.push(versioned_target(version, |_| Some(Step::Hang)).await);
    }
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let entries = names.iter().zip(versions).zip(&targets);
    let entries: Vec<_> = entries.map(|((n, v), t)| (*n, v, t)).collect();
    let first = System::start(config(|_| ()), &[]).await;
    list_targets(&first, &entries).await;
    let mut others = first.start_peers(2..=3).await;
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let attempt = format!("stream-{number}");
        let events = leave_stream(&first, &attempt).await;
        begun.push((attempt, events));
    }
    let first = match back {
        Return::Same => first,
        Return::Other => others.remove(0),
        Return::Killed => {
            drop(first);
            others.remove(0)
        }
        Return::Started => first.start_peers_beside(&others, 4..=4).await.remove(0),
    };
    let mut outcome = Outcome::default();
    for (attempt, events) in &begun {
        outcome.record(events, &take_up(&first, attempt).await);
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
    assert!(outcome.went_on >= LEAST, "{outcome:?}");
}

// The caller could begin anew, but is kept waiting, or gets events of another version.
#[tokio::test]
async fn a_stream_whose_version_has_gone_is_refused_for_good() {
    let old = versioned_target("v1", |_| Some(Step::Hang)).await;
    let new = versioned_target("v2", |_| Some(Step::Hang)).await;
    let system = System::start(config(|_| ()), &[]).await;
    list_targets(&system, &[("i-1", "v1", &old)]).await;
    leave_stream(&system, "stream-1").await;
    list_targets(&system, &[("i-1", "v1", &old), ("i-2", "v2", &new)]).await;
    system.remove("servers/i-1").await;
    knows_targets(&system, &["i-2"]).await;
    let start = tokio::time::Instant::now();
    let response = take_up(&system, "stream-1").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.headers.contains_key("retry-after"));
    assert!(response.body.contains("version-gone"), "{}", response.body);
    assert!(start.elapsed() < time::Duration::from_secs(1));
    assert!(new.requests().is_empty());
}

// A gateway that has never heard of the stream guesses its version.
#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_beside_two_versions() {
    let one = versioned_target("v1", |_| None).await;
    let two = versioned_target("v2", |_| None).await;
    let system = System::start(config(|_| ()), &[]).await;
    list_targets(&system, &[("i-1", "v1", &one), ("i-2", "v2", &two)]).await;
    for _ in 0..4 {
        let response = take_up(&system, "never-seen").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(one.requests().is_empty() && two.requests().is_empty());
}

// A gateway out of step takes the version that it knows for that of a stream without a name.
#[rstest]
#[case::in_step(false)]
#[case::out_of_step(true)]
#[tokio::test]
async fn a_stream_without_a_name_goes_on_at_its_version_or_not_at_all(#[case] is_out: bool) {
    let one = versioned_target("v1", |_| Some(Step::Hang)).await;
    let two = versioned_target("v2", |_| Some(Step::Hang)).await;
    let first = System::start(config(|_| ()), &[]).await;
    list_targets(&first, &[("i-1", "v1", &one)]).await;
    support::wait_for_object(&first.store, "software-versions/desk").await;
    let mut other = first.start_peers(2..=2).await.remove(0);
    knows_targets(&other, &["i-1"]).await;
    let take_up = async |gateway: &System, attempt: &str| {
        let call = gateway.call("/resumed/1", |headers| {
            headers.insert("x-laburnumcart-attempt-id", attempt.parse().unwrap());
            headers.insert("last-event-id", "2".parse().unwrap());
        });
        call.await
    };
    // With one version, such streams go on.
    let events = leave_stream(&first, "stream-1").await;
    let response = take_up(&other, "again-1").await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(versions_in(&format!("{events}{}", response.body)), ["v1"]);

    if is_out {
        other.stall_control();
    }
    first.remove("servers/i-1").await;
    list_targets(&first, &[("i-2", "v2", &two)]).await;
    let mut outcome = Outcome::default();
    for number in 2..12 {
        let events = leave_stream(&first, &format!("stream-{number}")).await;
        assert_eq!(versions_in(&events), ["v2"]);
        outcome.record(&events, &take_up(&other, &format!("again-{number}")).await);
    }
    assert_eq!(outcome.mixed, 0, "{outcome:?}");
}

// A version that an entry does not state is taken for that of another target without one.
#[tokio::test]
async fn a_version_that_is_not_known_equals_no_other() {
    let one = versioned_target("v1", |_| Some(Step::Hang)).await;
    let two = versioned_target("v2", |_| Some(Step::Hang)).await;
    let system = System::start(config(|_| ()), &[]).await;
    let put = async |name: &str, target: &Target| {
        let entry = support::target_entry("desk", target, "ready");
        let entry = entry.replace("\"version\":\"v1\",", "");
        system.put(&format!("servers/{name}"), &entry).await;
    };
    put("i-1", &one).await;
    knows_targets(&system, &["i-1"]).await;
    for attempt in ["stays", "moves"] {
        leave_stream(&system, attempt).await;
    }
    put("i-2", &two).await;
    knows_targets(&system, &["i-1", "i-2"]).await;
    let stays = take_up(&system, "stays").await;
    assert_eq!(versions_in(&stays.body), ["v1"]);
    system.remove("servers/i-1").await;
    knows_targets(&system, &["i-2"]).await;
    let moves = take_up(&system, "moves").await;
    assert_eq!(moves.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(two.requests().is_empty());
}

// A new stream begins at the last target of a version that is being replaced, which leaves next.
#[tokio::test]
async fn new_streams_avoid_a_version_that_is_on_its_way_out() {
    let mut targets = Vec::new();
    for version in ["v1", "v1", "v2", "v2"] {
        targets.push(versioned_target(version, |_| Some(Step::Hang)).await);
    }
    let system = System::start(config(|_| ()), &[]).await;
    let listed = [
        ("i-1", "v1", &targets[0]),
        ("i-2", "v1", &targets[1]),
        ("i-3", "v2", &targets[2]),
        ("i-4", "v2", &targets[3]),
    ];
    list_targets(&system, &listed).await;
    let entry = support::target_entry("desk", &targets[0], "draining");
    system.put("servers/i-1", &entry).await;
    knows_targets(&system, &["i-2", "i-3", "i-4"]).await;
    let attempts: Vec<_> = (0..STREAMS).map(|i| format!("stream-{i}")).collect();
    let streams = attempts
        .iter()
        .map(|attempt| leave_stream(&system, attempt));
    for events in futures_util::future::join_all(streams).await {
        assert_eq!(versions_in(&events), ["v2"]);
    }
}
