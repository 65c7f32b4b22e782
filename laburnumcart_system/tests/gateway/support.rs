//! Test support: a gateway on a store in memory, scripted targets and a caller.

use std::{
    net,
    ops,
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde_json::{
    Value,
    json, //
};
use tokio::sync::watch;

use laburnumcart_daemon::{
    settings as daemon,
    stop, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use laburnumcart_gateway::{
    control,
    gateway,
    http_server,
    metrics,
    origins::{
        journal,
        usage, //
    },
    relay::cache,
    run,
    settings,
    view, //
};
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use laburnumcart_wire::peer;
use platform::{
    headers,
    store_layout, //
};

/// Descriptors of a gateway, enough for some thousand callers.
const DESCRIPTORS: u32 = 4096;

/// Timeout of anything that must happen.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The system under test: a running gateway and its store.
pub(crate) struct System {
    pub(crate) addr: net::SocketAddr,
    pub(crate) store: memory::Memory,
    pub(crate) gateway: Arc<gateway::Gateway>,
    pub(crate) closing: watch::Sender<bool>,
    _served: peer::Handle,
    /// Ended with the gateway, as they would be with its process.
    _tasks: tokio::task::JoinSet<()>,
}

/// A response, as far as it was received.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body ended as its framing requires.
    pub(crate) complete: bool,
}

/// Returns a configuration with one route of each kind, changed by `edit`.
pub(crate) fn config(edit: impl FnOnce(&mut Value)) -> Value {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1,
            "service": "desk", "max_attempts": 2, "anonymous": true
        })
    };
    let mut stream = route("stream", "streaming");
    stream["gap_target_ms"] = json!(250);
    let mut resumed = stream.clone();
    resumed["name"] = json!("resumed");
    resumed["path_prefix"] = json!("/resumed/");
    resumed["resumable"] = json!(true);
    let mut keyed = route("keyed", "idempotent");
    keyed["anonymous"] = json!(false);
    let mut config = json!({
        "version": 7,
        "routes": [
            route("safe", "idempotent"), route("once", "non_idempotent"), stream, resumed, keyed
        ],
        "services": [
            { "name": "desk", "health_path": "/health", "max_connections": 100 },
            { "name": "encode", "health_path": "/health", "max_connections": 100, "segments": {
                "slots": 1, "queue": 2, "batch": 4, "call_ms": 20.0, "item_ms": 2.0,
                "headroom_mb": 1.0, "handle_ttl_s": 4.0, "link_mbps": 10000
            } }
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        },
        "tenants": [ { "name": "clinic", "api_keys": ["key-of-clinic"], "priority": 1 } ]
    });
    edit(&mut config);
    config
}

/// Returns the store entry of a target in the data centre `north`.
pub(crate) fn target_entry(service: &str, target: &Target, state: &str) -> String {
    target_entry_in("north", service, target, state)
}

/// Returns the store entry of a target in a data centre, which the platform calls a zone.
pub(crate) fn target_entry_in(
    data_centre: &str,
    service: &str,
    target: &Target,
    state: &str,
) -> String {
    json!({
        "service": service, "address": target.addr().to_string(), "zone": data_centre,
        "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1
    })
    .to_string()
}

/// Returns bounds with an unlimited retry budget.
pub(crate) fn unlimited_retries() -> settings::Bounds {
    settings::Bounds {
        retry_extra: 1e6,
        ..settings::Bounds::default()
    }
}

/// Returns the settings of a gateway in the data centre `north`.
pub(crate) fn settings(
    instance: &str,
    callers: net::SocketAddr,
    peer: net::SocketAddr,
    bounds: settings::Bounds,
) -> settings::Settings {
    settings::Settings {
        instance: instance.parse().unwrap(),
        data_centre: "north".parse().unwrap(),
        regions: ["north", "south", "west"]
            .map(|data_centre| {
                (
                    data_centre.parse().unwrap(),
                    format!("in-{data_centre}").parse().unwrap(),
                )
            })
            .into(),
        callers,
        admin: callers,
        ready_path: None,
        peer,
        store: callers,
        store_writes: 200.0,
        bounds,
        cores: 1.0,
        descriptors: DESCRIPTORS,
        features: settings::Features::default(),
        telemetry: daemon::Telemetry::default(),
    }
}

impl System {
    /// Starts a gateway with targets, given by name and service, and waits until it knows them.
    pub(crate) async fn start(config: Value, targets: &[(&str, &str, &Target)]) -> Self {
        Self::start_with_bounds(settings::Bounds::default(), config, targets).await
    }

    /// Does the same as [`System::start`] with other bounds.
    pub(crate) async fn start_with_bounds(
        bounds: settings::Bounds,
        config: Value,
        targets: &[(&str, &str, &Target)],
    ) -> Self {
        let system = Self::start_on(memory::Memory::new(), "gateway-1", bounds).await;
        system.configure(config, targets).await;
        system
    }

    /// Does the same as [`System::start`] with optional behaviour.
    pub(crate) async fn start_with_features(
        features: settings::Features,
        config: Value,
        targets: &[(&str, &str, &Target)],
    ) -> Self {
        let store = memory::Memory::new();
        let system = Self::start_process(store, "gateway-1", |settings| {
            settings.features = features;
        });
        let system = system.await;
        system.configure(config, targets).await;
        system
    }

    /// Does the same as [`System::start`] with few descriptors, so that 256 callers fit in.
    pub(crate) async fn start_small(config: Value, targets: &[(&str, &str, &Target)]) -> Self {
        let store = memory::Memory::new();
        let system = Self::start_process(store, "gateway-1", |settings| {
            settings.descriptors = 1024;
        });
        let system = system.await;
        system.configure(config, targets).await;
        system
    }

    /// Writes a configuration and targets, and waits until the gateway knows them.
    async fn configure(&self, config: Value, targets: &[(&str, &str, &Target)]) {
        self.put("config/main", &config.to_string()).await;
        for (name, service, target) in targets {
            let value = target_entry(service, target, "ready");
            self.put(&format!("servers/{name}"), &value).await;
        }
        let known = || {
            let services = ["desk", "encode"].map(|s| s.parse().unwrap());
            let list = self.gateway.view.targets.load();
            let count: usize = services.iter().map(|s| list.service(s).len()).sum();
            let view = &self.gateway.view;
            view.is_loaded() && view.budget_fraction() > 0.0 && count == targets.len()
        };
        wait_for(known).await;
    }

    /// Starts a gateway on an empty store.
    pub(crate) async fn start_empty() -> Self {
        let bounds = settings::Bounds::default();
        Self::start_on(memory::Memory::new(), "gateway-1", bounds).await
    }

    /// Starts further gateways with these numbers on the same store, and waits until all know each
    /// other.
    pub(crate) async fn start_peers(&self, numbers: ops::RangeInclusive<usize>) -> Vec<Self> {
        self.start_peers_beside(&[], numbers).await
    }

    /// Does the same beside gateways that were started before.
    pub(crate) async fn start_peers_beside(
        &self,
        known: &[Self],
        numbers: ops::RangeInclusive<usize>,
    ) -> Vec<Self> {
        let count = numbers.clone().count() + known.len() + 1;
        let mut others = Vec::new();
        for number in numbers {
            let (store, bounds) = (self.store.clone(), self.gateway.settings.bounds);
            others.push(Self::start_on(store, &format!("gateway-{number}"), bounds).await);
        }
        let targets = self.gateway.view.targets.load().len();
        let knows = |system: &Self| {
            let view = &system.gateway.view;
            view.member_count() == count && view.is_loaded() && view.targets.load().len() == targets
        };
        wait_for(|| knows(self) && others.iter().all(knows)).await;
        others
    }

    /// Starts the only gateway on a store that was used before, and waits until it has read it.
    pub(crate) async fn start_alone(store: memory::Memory) -> Self {
        let system = Self::start_on(store, "gateway-1", settings::Bounds::default()).await;
        wait_for(|| system.gateway.view.is_loaded()).await;
        system
    }

    /// Starts a gateway on a store.
    pub(crate) async fn start_on(
        store: memory::Memory,
        instance: &str,
        bounds: settings::Bounds,
    ) -> Self {
        Self::start_process(store, instance, |settings| settings.bounds = bounds).await
    }

    /// Starts a gateway on a store, with settings changed by `edit`.
    async fn start_process(
        store: memory::Memory,
        instance: &str,
        edit: impl FnOnce(&mut settings::Settings),
    ) -> Self {
        Self::start_through(store.clone(), store, instance, edit).await
    }

    /// Does the same with a gateway that calls the store through `own`.
    pub(crate) async fn start_through(
        own: impl Store + Clone,
        store: memory::Memory,
        instance: &str,
        edit: impl FnOnce(&mut settings::Settings),
    ) -> Self {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.unwrap();
        let addr = listener.local_addr().unwrap();
        let peer_listener = std::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
        let peer = peer_listener.local_addr().unwrap();
        let mut settings = settings(instance, addr, peer, settings::Bounds::default());
        edit(&mut settings);
        let running = stop::Running::new();
        let member = control::new_member(&settings);
        let gateway = gateway::Gateway::new(
            settings,
            Arc::new(view::View::default()),
            Arc::new(headers::Headers),
            running.gate(),
            metrics::Metrics::default(),
        );
        let layout = Arc::new(store_layout::StoreLayout);
        let (view, shared) = (gateway.view.clone(), own.clone());
        let cache = Arc::new(cache::Cache::new(gateway.outbound.quotas.signals.clone()));
        let served = run::serve_peers(&gateway, &member, &cache, peer_listener).unwrap();
        let mut tasks = tokio::task::JoinSet::new();
        let used = usage::run(view.clone(), own.clone(), layout.clone(), &member, 200.0);
        tasks.spawn(used);
        tasks.spawn(control::run(shared, layout, view, member, cache, true));
        let origins = gateway.origins.clone();
        let layout = Arc::new(store_layout::StoreLayout);
        tasks.spawn(journal::run(origins, own, layout, 200.0));
        tasks.spawn(gateway.clone().follow_changes());
        tasks.spawn(gateway.dispatcher.clone().run());
        let (closing, closed) = watch::channel(false);
        tokio::spawn(http_server::serve(gateway.clone(), listener, closed));
        Self {
            addr,
            store,
            gateway,
            closing,
            _served: served,
            _tasks: tasks,
        }
    }

    /// Stops following the store and the peers, as a process whose control stands still; callers are
    /// served, and peers can be asked.
    pub(crate) fn stall_control(&mut self) {
        self._tasks.abort_all();
    }

    /// Creates or replaces an object.
    pub(crate) async fn put(&self, key: &str, value: &str) {
        let expect = match self.store.get(key).await.unwrap() {
            Some(object) => store::Expect::Version(object.version),
            None => store::Expect::Absent,
        };
        self.store.put(key, expect, value).await.unwrap();
    }

    /// Removes an object if it exists.
    pub(crate) async fn remove(&self, key: &str) {
        if let Some(object) = self.store.get(key).await.unwrap() {
            self.store.delete(key, object.version).await.unwrap();
        }
    }

    /// Sends a request with the headers that every caller sends.
    pub(crate) async fn call(&self, path: &str, edit: impl FnOnce(&mut HeaderMap)) -> Response {
        self.try_call(path, edit).await.unwrap()
    }

    /// Does the same as [`System::call`]; fails if the connection ends before the response head.
    pub(crate) async fn try_call(
        &self,
        path: &str,
        edit: impl FnOnce(&mut HeaderMap),
    ) -> hyper::Result<Response> {
        let mut request = Request::post(path)
            .body(Full::new(Bytes::from("question")))
            .unwrap();
        let headers = request.headers_mut();
        headers.insert("host", "desk.example".parse().unwrap());
        headers.insert("x-laburnumcart-attempt-id", "attempt-1".parse().unwrap());
        headers.insert("x-laburnumcart-deadline-ms", "3000".parse().unwrap());
        edit(headers);
        send(self.addr, request).await
    }
}

/// Sends a request on a new connection; fails if it ends before the response head.
async fn send(addr: net::SocketAddr, request: Request<Full<Bytes>>) -> hyper::Result<Response> {
    let stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let response = tokio::time::timeout(TIMEOUT, sender.send_request(request)).await;
    let (head, mut body) = response.unwrap()?.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = tokio::time::timeout(TIMEOUT, body.frame()).await.unwrap() {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8(bytes).unwrap(),
        complete,
    })
}

/// Polls until a condition holds.
pub(crate) async fn wait_for(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the condition holds before the timeout");
}

/// Waits until an object exists.
pub(crate) async fn wait_for_object(store: &memory::Memory, key: &str) {
    let wait = async {
        while store.get(key).await.unwrap().is_none() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the object is written before the timeout");
}

/// Starts a target that serves every request.
pub(crate) async fn desk_target() -> Target {
    let script = |seen: &ReceivedRequest, _: usize| vec![success(seen, "done")];
    Target::start(script).await.unwrap()
}

/// Returns the step that sends a whole response; `extra` holds additional header lines.
pub(crate) fn response(seen: &ReceivedRequest, status: &str, extra: &str, body: &str) -> Step {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status}\r\nx-laburnumcart-attempt-id: {attempt}\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    Step::Send(text.into_bytes())
}

/// Returns the step that sends a success with the target's stamp.
pub(crate) fn success(seen: &ReceivedRequest, body: &str) -> Step {
    response(seen, "200 OK", "x-laburnumcart-server-stamp: s\r\n", body)
}

/// Returns the step that sends a refusal which proves that the request was not executed.
pub(crate) fn not_run(seen: &ReceivedRequest, status: &str) -> Step {
    response(seen, status, "x-laburnumcart-not-executed: 1\r\n", "")
}

/// Returns the step that sends the head of a chunked event stream.
pub(crate) fn stream_head(seen: &ReceivedRequest) -> Step {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
         x-laburnumcart-server-stamp: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    Step::Send(text.into_bytes())
}

/// Returns the step that sends a chunk of a stream.
pub(crate) fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// Returns the text of the events with these numbers.
pub(crate) fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(|id| format!("id: {id}\ndata: {id}\n\n")).collect()
}

/// Returns the step that sends the last chunk of a stream.
pub(crate) fn stream_end() -> Step {
    Step::Send(b"0\r\n\r\n".to_vec())
}
