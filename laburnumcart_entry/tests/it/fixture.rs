//! Fixture: an entry with a fixed bundle and lanes to given agents, and a plain HTTP client.

use std::{
    collections,
    net,
    sync::Arc,
    time, //
};

use laburnumcart::{
    bundle,
    id, //
};
use laburnumcart_daemon::{
    self as daemon,
    metrics,
    stop, //
};
use laburnumcart_entry::{
    at_most_once,
    callers,
    claims,
    control,
    driver,
    entry,
    links,
    peers::{
        self,
        pool, //
    },
    request,
    routes, //
};
use laburnumcart_platform::memory;
use laburnumcart_wire::{
    entry::EntryServer,
    peer,
    secret, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

/// Timeout for conditions that hold soon if there is no fault.
pub(crate) const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Bearer token of the only team.
pub(crate) const TOKEN: &str = "token-1";

/// Secret that entry and agents share.
pub(crate) const SECRET: &str = "secret-of-the-fleet";

/// SHA-256 of [`TOKEN`].
const DIGEST: &str = "3f08aace122ee2368432c1ca23a049bc640bafbf00fdf33a52429f38ba12dbf9";

/// Short intervals, so that a silent connection is detected quickly.
pub(crate) fn timing() -> links::Timing {
    links::Timing {
        active_period: time::Duration::from_millis(40),
        idle_period: time::Duration::from_millis(40),
        heartbeat_timeout: time::Duration::from_millis(200),
        max_missed: 1,
        connect_timeout: time::Duration::from_secs(2),
        retry_pause: time::Duration::from_millis(20),
    }
}

/// Returns a bundle of one pool, one engine and three pipelines.
pub(crate) fn bundle() -> bundle::Bundle {
    serde_json::from_value(serde_json::json!({
        "format": 1,
        "services": { "pool": { "kind": "pool" }, "engine": { "kind": "engine" } },
        "pipelines": {
            "echo": { "stages": [{ "name": "first", "service": "pool" }] },
            "report": { "stages": [
                { "name": "encode", "service": "pool" },
                { "name": "generate", "service": "engine" },
            ] },
            "post": {
                "stages": [{ "name": "post", "service": "pool" }],
                "idempotent": false,
            },
        },
        "teams": { "araya": {
            "tokens": [DIGEST],
            "weight": 1,
            "pipelines": {
                "echo": { "deadline": "20s" },
                "report": { "deadline": "20s" },
                "post": { "deadline": "20s" },
            },
        } },
    }))
    .unwrap()
}

/// An entry that runs in the test process.
pub(crate) struct Fixture {
    pub(crate) entry: Arc<entry::Entry>,
    pub(crate) running: stop::Running,
    pub(crate) store: memory::Memory,
    lanes: Vec<Arc<links::Lane>>,
}

impl Fixture {
    /// Starts an entry with lanes to the agents, given by service, and waits until all are open.
    pub(crate) async fn start(agents: &[(&str, net::SocketAddr)]) -> Self {
        Self::start_with_store(memory::Memory::new(), agents).await
    }

    /// Starts an entry on a store that other entries may share.
    pub(crate) async fn start_with_store(
        store: memory::Memory,
        agents: &[(&str, net::SocketAddr)],
    ) -> Self {
        let listener = net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let identity = entry::Identity {
            instance: "entry-1".parse().unwrap(),
            data_centre: "dc-1".parse().unwrap(),
            peer: listener.local_addr().unwrap(),
            incarnation: id::Incarnation::random(),
        };
        let traffic = tokio::runtime::Handle::current();
        let running = stop::Running::new();
        let feed = daemon::bundle::Feed::new(&metrics::Metrics::new());
        let entry = entry::Entry::new(identity, feed, running.gate(), traffic.clone());
        let identity = &entry.identity;
        let config = links::Config {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            peer: identity.peer,
            gossip: entry.gossip.clone(),
            closed_connections: entry.metrics.closed_connections.clone(),
            outcome_queries: entry.metrics.outcome_queries.clone(),
            secret: SECRET.parse().unwrap(),
            timing: timing(),
        };
        let open = |(service, addr): &(&str, net::SocketAddr)| {
            let lane = links::Lane::open(&traffic, *addr, config.clone());
            (service.parse().unwrap(), lane)
        };
        let lanes: Vec<(id::ServiceName, _)> = agents.iter().map(open).collect();
        let fixture = Self {
            entry,
            running,
            store,
            lanes: lanes.iter().map(|(_, lane)| lane.clone()).collect(),
        };
        fixture.wait_connected().await;
        fixture.publish_view(lanes);
        fixture.serve_peers(listener);
        fixture
    }

    fn publish_view(&self, lanes: Vec<(id::ServiceName, Arc<links::Lane>)>) {
        let mut routes: collections::BTreeMap<id::ServiceName, Vec<_>> =
            collections::BTreeMap::new();
        for (service, lane) in lanes {
            routes.entry(service).or_default().push(routes::Route {
                lane,
                local: true,
                extra_latency: time::Duration::ZERO,
                leaving: false,
                ejected: false,
            });
        }
        let table = |(service, routes): (id::ServiceName, _)| {
            (service.clone(), routes::Routes::new(service, routes))
        };
        let rules = control::Rules::new(id::Generation(1), bundle());
        self.entry.view.store(Arc::new(control::View {
            rules: Some(Arc::new(rules)),
            agents_known: true,
            routes: routes.into_iter().map(table).collect(),
        }));
    }

    fn serve_peers(&self, listener: net::TcpListener) {
        let secret: secret::Secret = SECRET.parse().unwrap();
        let entry = &self.entry;
        let pool = pool::Pool::new(entry.holder(), secret.clone(), entry.answers.clone());
        let peers = Arc::new(pool);
        let service = claims::Builder::new(entry.holder())
            .shards(2)
            .start(Arc::new(self.store.clone()), peers.clone());
        entry.set_claims(Arc::new(at_most_once::ClaimService { service, peers }));
        let methods = peers::Server::new(entry.clone()).into_rpc();
        let handle = peer::serve(listener, &[secret], methods, &peer::Limits::default()).unwrap();
        // The server stops with the runtime of the test.
        std::mem::forget(handle);
    }

    /// Waits until all lanes are open.
    pub(crate) async fn wait_connected(&self) {
        for lane in &self.lanes {
            let mut link = lane.subscribe();
            let up = link.wait_for(|link| matches!(link, links::Link::Up(_)));
            within_limit(up).await.unwrap();
        }
    }

    /// Starts a request of the only team with the key `key-1`.
    pub(crate) fn start_request(
        &self,
        pipeline: &str,
        input: serde_json::Value,
    ) -> driver::Execution {
        self.start_request_with_key(pipeline, input, "key-1")
    }

    /// Starts a request of the only team with an idempotency key.
    pub(crate) fn start_request_with_key(
        &self,
        pipeline: &str,
        input: serde_json::Value,
        key: &str,
    ) -> driver::Execution {
        let unchecked = request::Unchecked {
            pipeline: pipeline.to_owned(),
            token: Some(TOKEN.to_owned()),
            key: Some(key.to_owned()),
            ..request::Unchecked::default()
        };
        let rules = self.entry.view.load().rules.clone().unwrap();
        let head = request::Head::check(unchecked, rules, tokio::time::Instant::now()).unwrap();
        let request = head.with_body(input.to_string().as_bytes()).unwrap();
        let admitted = self.entry.policy.admit(&request.head).unwrap();
        let work = self.entry.gate.enter().unwrap();
        driver::start(&self.entry, request, admitted, work)
    }

    /// Serves callers over HTTP on a free port and returns its address.
    pub(crate) fn listen(&self) -> net::SocketAddr {
        let listener = net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let metrics = metrics::Metrics::new();
        self.entry.metrics.register(&metrics);
        tokio::spawn(callers::serve(self.entry.clone(), metrics, listener, 1).unwrap());
        addr
    }
}

/// Awaits a future for at most [`LIMIT`].
pub(crate) async fn within_limit<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, wait)
        .await
        .expect("condition within the limit")
}

/// Returns the pieces and the outcome of a request.
pub(crate) async fn collect(mut execution: driver::Execution) -> (Vec<String>, driver::Outcome) {
    let mut pieces = Vec::new();
    loop {
        match within_limit(execution.events.recv()).await.expect("an end") {
            driver::Event::Piece(text) => pieces.push(text),
            driver::Event::End(outcome, _) => return (pieces, outcome),
        }
    }
}

/// Returns the output of a successful answer.
pub(crate) fn output(outcome: driver::Outcome) -> serde_json::Value {
    let answer: serde_json::Value = serde_json::from_str(&outcome.unwrap()).unwrap();
    answer["output"].clone()
}

/// An HTTP response, as text.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Makes one HTTP call with extra headers, on a new connection.
pub(crate) async fn http(
    addr: net::SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream
        .write_all(request_text(line, headers, body).as_bytes())
        .await
        .unwrap();
    let mut bytes = Vec::new();
    within_limit(stream.read_to_end(&mut bytes)).await.unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    Reply {
        status: head[9..12].parse().unwrap(),
        head: head.to_lowercase(),
        body: body.to_owned(),
    }
}

/// Returns the text of a request with `connection: close`.
pub(crate) fn request_text(line: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}
