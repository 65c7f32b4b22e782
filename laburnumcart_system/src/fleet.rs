//! A whole system of separate processes on loopback.

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

/// Secret that the fleet's processes share.
pub const SECRET: &str = "fleet-secret-for-tests-only-0123456789";

/// Data centres that targets and entries are spread over.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// One target with its agent.
#[derive(Debug)]
pub struct Node {
    /// Name of the target.
    pub name: String,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Address of the stand-in.
    pub target_addr: net::SocketAddr,
    /// Address of the agent for peers.
    pub peer_addr: net::SocketAddr,
    /// Address of the agent's metrics.
    pub admin_addr: net::SocketAddr,
    /// The stand-in.
    pub target: process::Process,
    /// The agent.
    pub agent: process::Process,
    /// Between the entries and the agent, if planned.
    relay: Option<relay::Relay>,
    /// Arguments of the stand-in.
    args: Vec<String>,
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub caller_addr: net::SocketAddr,
    /// Address for peers.
    pub peer_addr: net::SocketAddr,
    /// The process.
    pub process: process::Process,
}

/// A running system; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: directory::Directory,
    plan: Plan,
    /// Address of the object service.
    pub store_addr: net::SocketAddr,
    /// The object service.
    pub store: process::Process,
    /// Targets with their agents.
    pub nodes: Vec<Node>,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Client for tests.
    pub http: http::Client,
    key: Value,
}

impl Fleet {
    /// Starts all processes, accepts the bundle and waits until every one is ready.
    pub async fn start(plan: Plan) -> Self {
        let fleet = Self::start_without_bundle(plan).await;
        fleet.accept_bundle(&fleet.plan.bundle);
        fleet.wait_ready().await;
        fleet
    }

    /// Starts all processes without a bundle and waits until every one answers.
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
            fleet
                .wait_page(&node.name, node.admin_addr, "/healthz")
                .await;
        }
        for entry in &fleet.entries {
            fleet
                .wait_page(&entry.name, entry.caller_addr, "/healthz")
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
        let agent = self.daemon(&format!("agent-{name}"), "laburnum-agent", &settings);
        let relay = match self.plan.relays {
            true => relay::Relay::start(port::reserve_addr(), peer).await.ok(),
            false => None,
        };
        let listed = relay.as_ref().map_or(peer, relay::Relay::addr);
        self.register_instance(&name, data_centre, "agent", Some(service.name), listed)
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
        let process = self.daemon(&name, "laburnum-entry", &settings);
        self.register_instance(&name, data_centre, "entry", None, peer)
            .await;
        self.entries.push(Entry {
            name,
            caller_addr: callers,
            peer_addr: peer,
            process,
        });
    }

    /// Starts a daemon again with its settings of before.
    pub fn restart_daemon(&self, name: &str, program: &str) -> process::Process {
        let file = self.dir.0.join(format!("{name}.json"));
        let args = ["--settings".into(), file.display().to_string()];
        process::Process::start(&self.dir.0, name, program, &args)
    }

    /// Runs `laburnumctl` and returns its exit code and what it printed.
    pub fn run_ctl(&self, args: &[&str]) -> (i32, String) {
        let file = self.dir.0.join("ctl.json");
        let settings = json!({
            "fleet": self.fleet_settings(&self.peer_addrs()),
            "platform": {"address": self.store_addr.to_string()},
        });
        // Operators race each other here; none may read a file that another has begun to write.
        let draft = self
            .dir
            .0
            .join(format!("ctl-{:016x}", rand::random::<u64>()));
        fs::write(&draft, settings.to_string()).expect("settings");
        fs::rename(&draft, &file).expect("settings");
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

    /// Signs a bundle and has it accepted.
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

    /// Sends a request to an entry and returns the whole answer.
    pub async fn call(
        &self,
        entry: usize,
        call: &Call<'_>,
    ) -> Result<http::Response, http::Failure> {
        let addr = self.entries[entry].caller_addr;
        self.http.send(call.request(addr)).await
    }

    /// Returns what the stand-ins of a service have executed, as their pages show it.
    pub async fn service_executions(&self, service: &str) -> Vec<Value> {
        let mut all = Vec::new();
        for node in self.nodes.iter().filter(|node| node.service == service) {
            let answer = self.http.get(node.target_addr, "/admin/executions").await;
            if let Some(Value::Array(rows)) = answer.ok().map(|a| a.json()["executions"].take()) {
                all.extend(rows);
            }
        }
        all
    }

    /// Sets the faults of the object service.
    pub async fn set_store_faults(&self, faults: &Value) {
        let answer = self
            .http
            .post(self.store_addr, "/admin/faults", faults)
            .await;
        assert!(answer.is_ok_and(|a| a.status < 300), "faults not taken");
    }

    /// Sets the behaviour of a stand-in.
    pub async fn set_target_behaviour(&self, node: usize, behaviour: &Value) {
        let addr = self.nodes[node].target_addr;
        let answer = self.http.post(addr, "/admin/behave", behaviour).await;
        assert!(answer.is_ok_and(|a| a.status < 300), "behaviour not taken");
    }

    /// Waits until every entry and agent reports readiness.
    pub async fn wait_ready(&self) {
        for node in &self.nodes {
            self.wait_page(&node.name, node.admin_addr, "/readyz").await;
        }
        for entry in &self.entries {
            self.wait_page(&entry.name, entry.caller_addr, "/readyz")
                .await;
            self.wait_lanes(entry).await;
        }
    }

    /// Waits until an entry has a connection to every agent.
    async fn wait_lanes(&self, entry: &Entry) {
        let wanted = format!("laburnum_entry_lanes {}", self.nodes.len());
        wait::until(&format!("{} {wanted}", entry.name), || async {
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

    /// Returns all processes that are part of the product.
    pub fn daemons(&self) -> impl Iterator<Item = &process::Process> {
        let agents = self.nodes.iter().map(|node| &node.agent);
        agents.chain(self.entries.iter().map(|entry| &entry.process))
    }

    /// Writes an object of the platform's list of instances.
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
        let answer = self
            .http
            .send(request.body(value.to_string()).expect("request"))
            .await;
        assert!(answer.is_ok_and(|a| a.status < 300), "instance not listed");
    }

    /// Returns the folder of settings, logs and operators' files.
    pub(crate) fn folder(&self) -> &path::Path {
        &self.dir.0
    }

    pub(crate) async fn wait_healthy(&self, addr: net::SocketAddr) {
        self.wait_page("store", addr, "/healthz").await;
    }

    async fn wait_page(&self, name: &str, addr: net::SocketAddr, page: &str) {
        wait::until(&format!("{name} {page}"), || async {
            let answer = self.http.get(addr, page).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    fn daemon(&self, name: &str, program: &str, settings: &Value) -> process::Process {
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
