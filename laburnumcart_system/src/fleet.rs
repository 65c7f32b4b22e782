//! A complete system of separate processes on loopback.

mod call;
mod directory;
pub mod faults;
mod plan;

use std::{
    fs,
    net,
    path,
    process::Command, //
};

use serde_json::{
    Value,
    json, //
};

use crate::{
    http,
    keygen,
    port,
    process,
    relay,
    wait, //
};

pub use self::{
    call::Call,
    plan::{
        Plan,
        Service, //
    },
};

/// Secret shared by all processes of the fleet.
pub const SECRET: &str = "fleet-secret-for-tests-only-0123456789";

/// Data centres; targets and entries are assigned to them in turn.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// One target with its agent.
#[derive(Debug)]
pub struct Node {
    /// Name of the target.
    pub name: String,
    /// Service that the target belongs to.
    pub service: &'static str,
    /// Address of the fake target.
    pub target_addr: net::SocketAddr,
    /// Address at which the agent serves peers.
    pub peer_addr: net::SocketAddr,
    /// Address at which the agent serves metrics and health checks.
    pub admin_addr: net::SocketAddr,
    /// Process of the fake target.
    pub target: process::Process,
    /// Process of the agent.
    pub agent: process::Process,
    /// Relay between the entries and the agent, if the plan has relays.
    relay: Option<relay::Relay>,
    /// Arguments of the fake target.
    args: Vec<String>,
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Address at which the entry serves callers.
    pub caller_addr: net::SocketAddr,
    /// Address at which the entry serves peers.
    pub peer_addr: net::SocketAddr,
    /// Process of the entry.
    pub process: process::Process,
}

/// A running system; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: directory::Directory,
    plan: Plan,
    /// Address of the object service.
    pub store_addr: net::SocketAddr,
    /// Process of the object service.
    pub store: process::Process,
    /// Targets with their agents.
    pub nodes: Vec<Node>,
    /// All entries.
    pub entries: Vec<Entry>,
    /// HTTP client of the test.
    pub http: http::Client,
    /// Signing key, as `laburnumctl keygen` prints it.
    key: Value,
}

impl Fleet {
    /// Starts all processes, accepts the bundle and waits until all processes are ready.
    pub async fn start(plan: Plan) -> Self {
        let fleet = Self::start_without_bundle(plan).await;
        fleet.accept_bundle(&fleet.plan.bundle);
        fleet.wait_ready().await;
        fleet
    }

    /// Starts all processes without a bundle and waits until all processes are healthy.
    pub async fn start_without_bundle(plan: Plan) -> Self {
        let dir = directory::Directory::new();
        let http = http::Client::default();
        let store_addr = port::reserve_addr();
        let mut args = vec!["--listen".into(), store_addr.to_string()];
        args.extend(plan.store_args.iter().map(|arg| String::from(*arg)));
        let store = process::Process::start(&dir.0, "store", "laburnum-fake-store", &args);
        let key = keygen::generate_key(&dir.0);
        let mut fleet = Self {
            dir,
            plan: plan.clone(),
            store_addr,
            store,
            nodes: Vec::new(),
            entries: Vec::new(),
            http,
            key,
        };
        fleet.wait_healthy(store_addr).await;
        for service in &plan.services {
            for number in 0..service.targets {
                fleet.add_node(service, number).await;
            }
        }
        for number in 0..plan.entries {
            fleet.add_entry(number).await;
        }
        for node in &fleet.nodes {
            fleet.wait_ok(&node.name, node.admin_addr, "/healthz").await;
        }
        for entry in &fleet.entries {
            fleet
                .wait_ok(&entry.name, entry.caller_addr, "/healthz")
                .await;
        }
        fleet
    }

    /// Starts a target and its agent.
    pub async fn add_node(&mut self, service: &Service, number: usize) {
        let name = format!("{}-{number}", service.name);
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let target_addr = port::reserve_addr();
        let mut args = vec![
            "--target".into(),
            format!("{name}={}@{target_addr}", service.kind),
        ];
        args.extend(service.args.iter().map(|arg| String::from(*arg)));
        let target_name = format!("target-{name}");
        let target =
            process::Process::start(&self.dir.0, &target_name, "laburnum-fake-target", &args);
        let (peer, admin) = (port::reserve_addr(), port::reserve_addr());
        let settings = json!({
            "instance": format!("agent-{name}"),
            "data_centre": data_centre,
            "peer": peer.to_string(),
            "admin": admin.to_string(),
            "target": {
                "name": name,
                "service": service.name,
                "address": target_addr.to_string(),
            },
            "fleet": self.fleet_settings(&[]),
            "platform": {"address": self.store_addr.to_string()},
            "telemetry": self.plan.telemetry(),
            "stop_limit": self.plan.stop_limit,
        });
        let agent = self.start_daemon(&format!("agent-{name}"), "laburnum-agent", &settings);
        let relay = match self.plan.relays {
            true => relay::Relay::start(port::reserve_addr(), peer).await.ok(),
            false => None,
        };
        let reachable = relay.as_ref().map_or(peer, relay::Relay::addr);
        self.register_instance(&name, data_centre, "agent", Some(service.name), reachable)
            .await;
        self.nodes.push(Node {
            name,
            service: service.name,
            target_addr,
            peer_addr: peer,
            admin_addr: admin,
            target,
            agent,
            relay,
            args,
        });
    }

    /// Starts an entry.
    pub async fn add_entry(&mut self, number: usize) {
        let name = format!("entry-{number}");
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let (callers, peer) = (port::reserve_addr(), port::reserve_addr());
        let peers: Vec<_> = self.entries.iter().map(|entry| entry.peer_addr).collect();
        let settings = json!({
            "instance": name,
            "data_centre": data_centre,
            "callers": callers.to_string(),
            "peer": peer.to_string(),
            "fleet": self.fleet_settings(&peers),
            "platform": {"address": self.store_addr.to_string()},
            "telemetry": self.plan.telemetry(),
            "stop_limit": self.plan.stop_limit,
        });
        let process = self.start_daemon(&name, "laburnum-entry", &settings);
        self.register_instance(&name, data_centre, "entry", None, peer)
            .await;
        self.entries.push(Entry {
            name,
            caller_addr: callers,
            peer_addr: peer,
            process,
        });
    }

    /// Starts a daemon with its existing settings file.
    pub fn restart_daemon(&self, name: &str, program: &str) -> process::Process {
        let file = self.dir.0.join(format!("{name}.json"));
        let args = ["--settings".into(), file.display().to_string()];
        process::Process::start(&self.dir.0, name, program, &args)
    }

    /// Runs `laburnumctl` and returns its exit code and its output.
    pub fn run_ctl(&self, args: &[&str]) -> (i32, String) {
        let file = self.dir.0.join("ctl.json");
        let settings = json!({
            "fleet": self.fleet_settings(&self.peer_addrs()),
            "platform": {"address": self.store_addr.to_string()},
        });
        // Tests run the tool concurrently, so the settings file must be replaced atomically.
        let temporary = self
            .dir
            .0
            .join(format!("ctl-{:016x}", rand::random::<u64>()));
        fs::write(&temporary, settings.to_string()).expect("settings");
        fs::rename(&temporary, &file).expect("settings");
        let output = Command::new(process::binary("laburnumctl"))
            .current_dir(&self.dir.0)
            .args(args)
            .args(["--settings", &file.display().to_string()])
            .output()
            .expect("laburnumctl");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Signs a bundle and accepts it.
    pub fn accept_bundle(&self, bundle: &Value) {
        fs::write(self.dir.0.join("bundle.json"), bundle.to_string()).expect("bundle");
        let sign = [
            "sign",
            "bundle.json",
            "--key",
            "key.json",
            "--out",
            "bundle.signed",
        ];
        assert_eq!(self.run_ctl(&sign).0, 0, "{}", self.run_ctl(&sign).1);
        let (code, text) = self.run_ctl(&["accept", "bundle.signed"]);
        assert_eq!(code, 0, "{text}");
    }

    /// Sends a call to an entry and returns the complete response.
    pub async fn call(
        &self,
        entry: usize,
        call: &Call<'_>,
    ) -> Result<http::Response, http::Failure> {
        let addr = self.entries[entry].caller_addr;
        self.http.send(call.request(addr)).await
    }

    /// Returns the executions that all targets of a service have recorded.
    pub async fn service_executions(&self, service: &str) -> Vec<Value> {
        let mut all = Vec::new();
        for node in self.nodes.iter().filter(|node| node.service == service) {
            let response = self.http.get(node.target_addr, "/admin/executions").await;
            if let Some(Value::Array(rows)) = response.ok().map(|a| a.json()["executions"].take()) {
                all.extend(rows);
            }
        }
        all
    }

    /// Sets the faults that the object service injects.
    pub async fn set_store_faults(&self, faults: &Value) {
        let response = self
            .http
            .post(self.store_addr, "/admin/faults", faults)
            .await;
        assert!(
            response.is_ok_and(|a| a.status < 300),
            "object service rejected the faults"
        );
    }

    /// Sets the behaviour of the fake target of a node.
    pub async fn set_target_behaviour(&self, node: usize, behaviour: &Value) {
        let addr = self.nodes[node].target_addr;
        let response = self.http.post(addr, "/admin/behave", behaviour).await;
        assert!(
            response.is_ok_and(|a| a.status < 300),
            "target rejected the behaviour"
        );
    }

    /// Waits until all entries and agents report readiness and all entries are connected to all agents.
    pub async fn wait_ready(&self) {
        for node in &self.nodes {
            self.wait_ok(&node.name, node.admin_addr, "/readyz").await;
        }
        for entry in &self.entries {
            self.wait_ok(&entry.name, entry.caller_addr, "/readyz")
                .await;
            self.wait_lanes(entry).await;
        }
    }

    /// Waits until an entry is connected to all agents.
    async fn wait_lanes(&self, entry: &Entry) {
        let wanted = format!("laburnum_entry_lanes {}", self.nodes.len());
        wait::until(&format!("{wanted} at {}", entry.name), || async {
            let page = self.http.get(entry.caller_addr, "/metrics").await.ok()?;
            let mut lines = page.body.lines();
            lines.any(|line| line == wanted).then_some(())
        })
        .await;
    }

    /// Returns the peer addresses of all daemons.
    pub fn peer_addrs(&self) -> Vec<net::SocketAddr> {
        let agents = self.nodes.iter().map(|node| node.peer_addr);
        let entries = self.entries.iter().map(|entry| entry.peer_addr);
        entries.chain(agents).collect()
    }

    /// Returns the processes of all agents and entries.
    pub fn daemons(&self) -> impl Iterator<Item = &process::Process> {
        let agents = self.nodes.iter().map(|node| &node.agent);
        agents.chain(self.entries.iter().map(|entry| &entry.process))
    }

    /// Adds an instance to the platform's list of instances.
    pub async fn register_instance(
        &self,
        name: &str,
        data_centre: &str,
        role: &str,
        service: Option<&str>,
        peer: net::SocketAddr,
    ) {
        let value = json!({
            "name": name,
            "data_centre": data_centre,
            "role": role,
            "service": service,
            "addr": peer.to_string(),
            "state": "live",
        });
        let uri = format!(
            "http://{}/v1/objects/platform/instances/{name}",
            self.store_addr
        );
        let request = hyper::Request::put(uri).header("if-none-match", "*");
        let response = self
            .http
            .send(request.body(value.to_string()).expect("request"))
            .await;
        assert!(
            response.is_ok_and(|a| a.status < 300),
            "object service rejected the instance"
        );
    }

    /// Returns the folder of settings, logs and files of `laburnumctl`.
    pub(crate) fn folder(&self) -> &path::Path {
        &self.dir.0
    }

    pub(crate) async fn wait_healthy(&self, addr: net::SocketAddr) {
        self.wait_ok("store", addr, "/healthz").await;
    }

    /// Waits until a page responds with status 200.
    async fn wait_ok(&self, name: &str, addr: net::SocketAddr, page: &str) {
        wait::until(&format!("{page} of {name} to succeed"), || async {
            let response = self.http.get(addr, page).await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Writes the settings file of a daemon and starts it.
    fn start_daemon(&self, name: &str, program: &str, settings: &Value) -> process::Process {
        let file = self.dir.0.join(format!("{name}.json"));
        fs::write(&file, settings.to_string()).expect("settings");
        self.restart_daemon(name, program)
    }

    fn fleet_settings(&self, peers: &[net::SocketAddr]) -> Value {
        json!({
            "secrets": [SECRET],
            "keys": {"test": self.key["public"]},
            "signers": 1,
            "peers": peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
        })
    }
}
