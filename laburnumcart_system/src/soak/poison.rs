//! Content that crashes its targets, and the bounds on it: refused in time, and nothing else refused.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::{
    Rng,
    SeedableRng, //
};

use laburnumcart_fakes::scripted::{
    Crash,
    ReceivedRequest,
    Step, //
};

use crate::soak::{
    Testbed,
    history::{
        History,
        State, //
    },
};

/// Contents that crash their targets, with the route of each.
const CONTENTS: [(&str, &str); 3] = [
    ("poison-0", "safe"),
    ("poison-1", "once"),
    ("poison-2", "tale"),
];

/// Callers of each content.
const CALLERS: usize = 2;

/// Pause of a caller in milliseconds before it sends the content again.
const PAUSE_MS: std::ops::Range<u64> = 200..800;

/// Time for which the entry of a crashed target stays, in milliseconds.
const ENTRY_MS: std::ops::Range<u64> = 300..6000;

/// Time for which a request with such content runs.
const RUN_TIME: time::Duration = time::Duration::from_millis(20);

/// Deadline of a request.
const DEADLINE: time::Duration = time::Duration::from_millis(3000);

/// Crashed targets after which a content is refused.
const CRASHES: usize = 3;

/// Time after the last of these crashes within which all gateways refuse it.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(3);

/// Arrivals that are allowed later than that.
const LATE_MAX: usize = 3;

/// Times at which a content reached targets, each of which crashed.
#[derive(Debug, Default)]
pub(super) struct Arrivals(Vec<time::Instant>);

impl Arrivals {
    /// Returns the number of arrivals.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of arrivals after the time in which gateways learn of the crashes.
    pub(super) fn late(&self) -> usize {
        let Some(third) = self.0.get(CRASHES - 1) else {
            return 0;
        };
        let bound = *third + RUN_TIME + SPREAD_TIME;
        self.0.iter().filter(|at| **at > bound).count()
    }
}

/// Returns the steps of a target that a request crashes, and records its arrival.
pub(super) fn crash_steps(seen: &ReceivedRequest, history: &History) -> Option<Vec<Step>> {
    let (_, content) = seen.path().rsplit_once('/')?;
    CONTENTS.iter().find(|(name, _)| *name == content)?;
    let now = time::Instant::now();
    let mut state = history.lock();
    let arrivals = state.poison.entry(content.to_owned()).or_default();
    arrivals.0.push(now);
    let kinds = [Crash::Refuses, Crash::Resets, Crash::Silent];
    let crash = kinds[rand::random_range(0..kinds.len())];
    state
        .faults
        .push(format!("{content} crashes a target: {crash:?}"));
    Some(vec![Step::Pause(RUN_TIME), Step::Crash(crash)])
}

/// Sends the contents again and again, and replaces the targets that they crash.
pub(super) async fn inject(testbed: &Arc<Testbed>) {
    let end = time::Instant::now() + testbed.plan.length;
    let callers = CONTENTS
        .iter()
        .flat_map(|content| (0..CALLERS).map(move |n| (n, content)));
    let callers = callers.map(|(n, (content, route))| async move {
        let seed = testbed.plan.seed.wrapping_mul(31).wrapping_add(n as u64);
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        while time::Instant::now() < end {
            // A connection that fails stands for a gateway that stops.
            let _ = send(testbed, route, content).await;
            let pause = time::Duration::from_millis(rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    });
    let replace = async {
        let mut rng = rand::rngs::StdRng::seed_from_u64(testbed.plan.seed);
        while time::Instant::now() < end + DEADLINE {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            let stays = time::Duration::from_millis(rng.random_range(ENTRY_MS));
            let mut targets = testbed.targets.lock().await;
            // A target that cannot be replaced is tried again.
            targets.replace_crashed(stays).await.ok();
        }
    };
    tokio::join!(futures_util::future::join_all(callers), replace);
}

/// Sends a request with a content to a random gateway.
async fn send(testbed: &Testbed, route: &str, content: &str) -> Option<()> {
    let addr = {
        let gateways = testbed.gateways.lock().await;
        gateways.caller_addr(rand::random_range(0..gateways.count()))
    };
    let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move { connection.await.ok() });
    let attempt = format!("p-{:016x}", rand::random::<u64>());
    let mut request = Request::post(format!("/{route}/{content}"))
        .header("host", "soak.example")
        .header("x-laburnumcart-attempt-id", &attempt)
        .header(
            "x-laburnumcart-deadline-ms",
            DEADLINE.as_millis().to_string(),
        );
    if route == "tale" {
        request = request
            .header("x-laburnumcart-chunks", "2")
            .header("x-laburnumcart-chunk-key", format!("key of {attempt}"))
            .header("x-laburnumcart-token-usage", "100,20");
    }
    let request = request.body(Full::<Bytes>::default()).ok()?;
    let exchange = async {
        let response = sender.send_request(request).await.ok()?;
        response.into_body().collect().await.ok().map(|_| ())
    };
    tokio::time::timeout(DEADLINE * 2, exchange).await.ok()?
}

/// Lists the contents that arrived too often too late, and harmless ones that were refused.
pub(super) fn breaches(state: &State) -> Vec<String> {
    let late = state.poison.iter().filter_map(|(content, arrivals)| {
        let (count, late) = (arrivals.count(), arrivals.late());
        (late > LATE_MAX).then(|| format!("{content}: {late} late arrivals of {count}"))
    });
    let refused = state.refused.iter();
    let refused = refused.map(|attempt| format!("{attempt} is harmless and was refused"));
    late.chain(refused).collect()
}
