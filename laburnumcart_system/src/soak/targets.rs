//! Targets of the soak: plain services, streaming engines and encoders that run a batched stage.

mod script;

use std::{
    io, net, path,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic, //
    },
    time,
};

use nix::sys::signal::Signal;
use serde_json::{
    Value,
    json, //
};

use laburnumcart_fakes::scripted;
use laburnumcart_platform::{
    memory,
    store::Store, //
};

use crate::{
    port, process, relay,
    soak::{
        history::History,
        stops,
        target_signals,
        versions, //
    },
};

use self::script::Script;

/// Number of targets of each service.
const PER_SERVICE: usize = 3;

/// Number of events in a complete stream.
pub(super) const EVENTS: u32 = 8;

/// Header with the pause before each event, in milliseconds.
pub(super) const EVENT_GAP: &str = "event-gap-ms";

/// Services in the order in which their targets are listed.
pub(super) const SERVICES: [&str; 3] = ["desk", "tale", "encode"];

/// Data centres; every service has one target in each.
pub(super) const DATA_CENTRES: [&str; PER_SERVICE] = ["north", "south", "west"];

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Mode {
    #[default]
    Good,
    /// Refuses requests with the header that proves that they did not run.
    Shed,
    /// Runs the request and resets the connection before the response.
    Reset,
    /// Runs the request and never responds.
    Mute,
    /// Runs the request and closes the connection after a part of the response.
    Cut,
    /// Runs the request and sends the end of the response twice.
    Double,
}

/// What the targets of a run are like.
pub(super) struct Kind {
    /// Warm-up time of targets that start during the run.
    pub(super) warm_up: Option<time::Duration>,
    /// Software versions.
    pub(super) versions: versions::Versions,
    /// Directory for the logs of processes that read for the targets, if they have any.
    pub(super) process_dir: Option<path::PathBuf>,
}

/// One running target.
struct Target {
    name: String,
    service: &'static str,
    data_centre: &'static str,
    version: &'static str,
    mode: Arc<Mutex<Mode>>,
    limit: Arc<Mutex<Option<f64>>>,
    /// Whether its responses announce that it leaves.
    leaving: Arc<atomic::AtomicBool>,
    relay: relay::Relay,
    server: scripted::Target,
    /// Address in the store.
    addr: net::SocketAddr,
    /// Process that accepts and reads for the target.
    process: Option<process::Process>,
}

/// All targets of a run.
pub(super) struct Targets {
    store: memory::Memory,
    history: Arc<History>,
    running: Vec<Target>,
    next_id: u32,
    /// Warm-up time of targets that start during the run.
    warm_up: Option<time::Duration>,
    versions: versions::Versions,
    process_dir: Option<path::PathBuf>,
}

impl Targets {
    pub(super) async fn start(
        store: memory::Memory,
        history: Arc<History>,
        kind: Kind,
    ) -> io::Result<Self> {
        let mut targets = Self {
            store,
            history,
            running: Vec::new(),
            next_id: 0,
            warm_up: None,
            versions: kind.versions,
            process_dir: kind.process_dir,
        };
        for service in SERVICES {
            for data_centre in DATA_CENTRES {
                let target = targets.start_target(service, data_centre).await?;
                targets.running.push(target);
            }
        }
        targets.warm_up = kind.warm_up;
        Ok(targets)
    }

    pub(super) fn count(&self) -> usize {
        self.running.len()
    }

    /// Returns the names of the targets of a service.
    pub(super) fn names(&self, service: &str) -> Vec<String> {
        let of_service = self.running.iter().filter(|t| t.service == service);
        of_service.map(|target| target.name.clone()).collect()
    }

    /// Stops or continues the process of a target; has no effect on one that has been replaced.
    pub(super) fn signal(&self, name: &str, signal: Signal) {
        let target = self.running.iter().find(|target| target.name == name);
        if let Some(process) = target.and_then(|target| target.process.as_ref()) {
            process.signal(signal);
            self.history.record_fault(format!("{name} {signal}"));
        }
    }

    /// Lists a target, or removes its entry.
    pub(super) async fn list(&self, name: &str, listed: bool) {
        let Some(target) = self.running.iter().find(|target| target.name == name) else {
            return;
        };
        match listed {
            true => {
                let entry = entry(target, "ready");
                super::overwrite(&self.store, &format!("servers/{name}"), &entry).await;
            }
            false => self.delete(name).await,
        }
    }

    /// Sets the mode of one target.
    pub(super) fn set(&self, index: usize, mode: Mode) {
        let target = &self.running[index];
        *target.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.history
            .record_fault(format!("{} {mode:?}", target.name));
    }

    /// Sets the mode of all targets of a service.
    pub(super) fn set_all(&self, service: &str, mode: Mode) {
        let all = self.running.iter().enumerate();
        for (index, _) in all.filter(|(_, target)| target.service == service) {
            self.set(index, mode);
        }
    }

    /// Lets a target announce a limit from now on, or none with `None`.
    pub(super) fn set_limit(&self, index: usize, rate: Option<f64>) {
        let target = &self.running[index];
        self.history
            .record_fault(format!("{} announces limit {rate:?}", target.name));
        let mut limit = target.limit.lock().unwrap_or_else(PoisonError::into_inner);
        self.history.record_limit(&target.name, rate);
        *limit = rate;
    }

    /// Holds back bytes on the current connections to one target.
    pub(super) fn stall(&self, index: usize, stall: relay::Stall) {
        self.running[index].relay.stall(stall);
    }

    /// Ends all faults of running targets.
    pub(super) fn heal(&self) {
        for (index, target) in self.running.iter().enumerate() {
            target.relay.resume();
            if let Some(process) = &target.process {
                process.resume();
            }
            self.set(index, Mode::Good);
        }
    }

    /// Crashes a target and replaces it by one at another address.
    pub(super) async fn crash(&mut self, index: usize) -> io::Result<()> {
        let target = &self.running[index];
        self.history
            .record_fault(format!("{} crashes", target.name));
        target.server.crash(scripted::Crash::Resets);
        let old = self.replace(index).await?;
        self.delete(&old.name).await;
        Ok(())
    }

    /// Replaces the targets that content has crashed; the entry of each stays for a while.
    pub(super) async fn replace_crashed(&mut self, stays: time::Duration) -> io::Result<()> {
        for index in 0..self.running.len() {
            if !self.running[index].server.is_crashed() {
                continue;
            }
            let old = self.replace(index).await?;
            let store = self.store.clone();
            tokio::spawn(async move {
                tokio::time::sleep(stays).await;
                remove(&store, &format!("servers/{}", old.name)).await;
            });
        }
        Ok(())
    }

    /// Replaces a target in a planned stop: starts the new one, then drains the old one.
    pub(super) async fn drain_one(&mut self, index: usize) -> io::Result<()> {
        let old = self.replace(index).await?;
        let (store, history) = (self.store.clone(), self.history.clone());
        history.record_fault(format!("{} leaves", old.name));
        if self.warm_up.is_none() {
            write_draining(&store, &history, &old).await;
            tokio::spawn(remove_drained(store, old));
            return Ok(());
        }
        // The target announces that it leaves before the store lists it as draining.
        old.leaving.store(true, atomic::Ordering::Release);
        tokio::spawn(async move {
            tokio::time::sleep(target_signals::DRAIN_DELAY).await;
            write_draining(&store, &history, &old).await;
            remove_drained(store, old).await;
        });
        Ok(())
    }

    /// Replaces targets from `index` on by ones of another version.
    pub(super) async fn appear(&mut self, index: usize) -> io::Result<()> {
        self.versions.appear();
        for n in 0..versions::DARK_TARGETS {
            self.drain_one((index + n) % self.count()).await?;
        }
        Ok(())
    }

    async fn replace(&mut self, index: usize) -> io::Result<Target> {
        let old = &self.running[index];
        let target = self.start_target(old.service, old.data_centre).await?;
        Ok(std::mem::replace(&mut self.running[index], target))
    }

    async fn start_target(
        &mut self,
        service: &'static str,
        data_centre: &'static str,
    ) -> io::Result<Target> {
        self.next_id += 1;
        let name = format!("i-{}", self.next_id);
        let mode = Arc::new(Mutex::new(Mode::Good));
        let limit = Arc::new(Mutex::new(None));
        let leaving = Arc::new(atomic::AtomicBool::new(false));
        let addr = port::reserve_addr();
        let version = self.versions.next();
        let script = Script {
            name: name.clone(),
            version,
            host: addr.to_string(),
            service,
            mode: mode.clone(),
            limit: limit.clone(),
            leaving: leaving.clone(),
            backs_off: self.warm_up.is_some(),
            history: self.history.clone(),
        };
        let server = scripted::Target::start(move |seen, _| script.steps(seen)).await?;
        let (relay, process) = match &self.process_dir {
            None => (relay::Relay::start(addr, server.addr()).await?, None),
            Some(dir) => {
                let inner = port::reserve_addr();
                let relay = relay::Relay::start(inner, server.addr()).await?;
                (
                    relay,
                    Some(stops::start_process(dir, &name, addr, inner).await?),
                )
            }
        };
        self.history
            .lock()
            .data_centres
            .insert(name.clone(), data_centre);
        let target = Target {
            name,
            service,
            data_centre,
            version,
            mode,
            limit,
            leaving,
            relay,
            server,
            addr,
            process,
        };
        let mut entry = entry(&target, "ready");
        if let Some(warm_up) = self.warm_up {
            entry["cold_remaining_ms"] = json!(warm_up.as_millis() as u64);
            let until = time::Instant::now() + warm_up;
            self.history.lock().cold.insert(target.name.clone(), until);
        }
        super::overwrite(&self.store, &format!("servers/{}", target.name), &entry).await;
        Ok(target)
    }

    async fn delete(&self, name: &str) {
        remove(&self.store, &format!("servers/{name}")).await;
    }
}

/// Lists a target as draining in the store.
async fn write_draining(store: &memory::Memory, history: &History, target: &Target) {
    let entry = entry(target, "draining");
    super::overwrite(store, &format!("servers/{}", target.name), &entry).await;
    let now = time::Instant::now();
    history.lock().leaving.insert(target.name.clone(), now);
}

/// Removes a draining target from the store after its drain time, and stops it.
async fn remove_drained(store: memory::Memory, target: Target) {
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    remove(&store, &format!("servers/{}", target.name)).await;
}

/// Deletes an object; retries until it is gone.
pub(super) async fn remove(store: &memory::Memory, key: &str) {
    loop {
        match store.get(key).await {
            Ok(None) => return,
            Ok(Some(object)) if store.delete(key, object.version).await.is_ok() => return,
            _ => tokio::time::sleep(time::Duration::from_millis(50)).await,
        }
    }
}

fn entry(target: &Target, state: &str) -> Value {
    json!({
        "service": target.service, "address": target.addr.to_string(),
        "zone": target.data_centre, "version": target.version,
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1
    })
}
