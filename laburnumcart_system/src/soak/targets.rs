//! Targets of the soak: a desk, engines that stream, and encoders of stages.

use std::{
    io,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic, //
    },
    time,
};

use serde_json::{
    Value,
    json, //
};

use laburnumcart_fakes::scripted::{
    self,
    Seen,
    Step, //
};
use laburnumcart_platform::{
    memory,
    store::Store, //
};

use crate::{
    port, relay,
    soak::{
        ledger::Ledger,
        needs, //
    },
};

/// Targets of each service.
const COUNT: usize = 3;

/// Events of a stream.
pub(super) const EVENTS: u32 = 8;

/// Services, in the order of their targets.
pub(super) const SERVICES: [&str; 3] = ["desk", "tale", "encode"];

/// Data centres, in each of which every service has a target.
pub(super) const PLACES: [&str; COUNT] = ["north", "south", "west"];

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Mode {
    #[default]
    Good,
    /// Refuses, with a proof.
    Shed,
    /// Runs the request and resets the connection.
    Reset,
    /// Runs the request and says nothing.
    Mute,
    /// Runs the request and breaks off midway.
    Cut,
    /// Runs the request and answers twice.
    Double,
    /// Is gone: resets every connection.
    Dead,
}

/// A life of a target.
struct Life {
    name: String,
    service: &'static str,
    place: &'static str,
    mode: Arc<Mutex<Mode>>,
    limit: Arc<Mutex<Option<f64>>>,
    /// Whether its answers say that it is leaving.
    leaving: Arc<atomic::AtomicBool>,
    relay: relay::Relay,
}

/// All targets.
pub(super) struct Targets {
    store: memory::Memory,
    ledger: Arc<Ledger>,
    lives: Vec<Life>,
    next: u32,
    /// Time for which targets that start later are cold.
    cold: Option<time::Duration>,
}

impl Targets {
    pub(super) async fn start(
        store: memory::Memory,
        ledger: Arc<Ledger>,
        cold: Option<time::Duration>,
    ) -> io::Result<Self> {
        let mut targets = Self {
            store,
            ledger,
            lives: Vec::new(),
            next: 0,
            cold: None,
        };
        for service in SERVICES {
            for place in PLACES {
                let life = targets.begin(service, place).await?;
                targets.lives.push(life);
            }
        }
        targets.cold = cold;
        Ok(targets)
    }

    pub(super) fn count(&self) -> usize {
        self.lives.len()
    }

    /// Sets the mode of one target.
    pub(super) fn set(&self, index: usize, mode: Mode) {
        let life = &self.lives[index];
        *life.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.ledger.fault(format!("{} {mode:?}", life.name));
    }

    /// Sets the mode of all targets of a service.
    pub(super) fn set_all(&self, service: &str, mode: Mode) {
        let all = self.lives.iter().enumerate();
        for (index, _) in all.filter(|(_, life)| life.service == service) {
            self.set(index, mode);
        }
    }

    /// Lets one target name a limit from now on, or none any more.
    pub(super) fn name_limit(&self, index: usize, rate: Option<f64>) {
        let life = &self.lives[index];
        self.ledger.fault(format!("{} names {rate:?}", life.name));
        let mut limit = life.limit.lock().unwrap_or_else(PoisonError::into_inner);
        self.ledger.named(&life.name, rate);
        *limit = rate;
    }

    /// Silences the connections to one target that exist now.
    pub(super) fn silence(&self, index: usize, silence: relay::Stall) {
        self.lives[index].relay.stall(silence);
    }

    /// Ends all faults of targets that live.
    pub(super) fn heal(&self) {
        for (index, life) in self.lives.iter().enumerate() {
            life.relay.resume();
            self.set(index, Mode::Good);
        }
    }

    /// Kills a target; a new life of it begins at another address.
    pub(super) async fn crash(&mut self, index: usize) -> io::Result<()> {
        self.set(index, Mode::Dead);
        let old = self.replace(index).await?;
        self.delete(&old.name).await;
        Ok(())
    }

    /// Replaces a target by a planned stop: the new one first, then the old one leaves.
    pub(super) async fn release(&mut self, index: usize) -> io::Result<()> {
        let old = self.replace(index).await?;
        let (store, ledger) = (self.store.clone(), self.ledger.clone());
        ledger.fault(format!("{} leaves", old.name));
        if self.cold.is_none() {
            drain(&store, &ledger, &old).await;
            tokio::spawn(retire(store, old));
            return Ok(());
        }
        // It says so itself, and the store is told late.
        old.leaving.store(true, atomic::Ordering::Release);
        tokio::spawn(async move {
            tokio::time::sleep(needs::UNTOLD).await;
            drain(&store, &ledger, &old).await;
            retire(store, old).await;
        });
        Ok(())
    }

    async fn replace(&mut self, index: usize) -> io::Result<Life> {
        let old = &self.lives[index];
        let life = self.begin(old.service, old.place).await?;
        Ok(std::mem::replace(&mut self.lives[index], life))
    }

    async fn begin(&mut self, service: &'static str, place: &'static str) -> io::Result<Life> {
        self.next += 1;
        let name = format!("i-{}", self.next);
        let mode = Arc::new(Mutex::new(Mode::Good));
        let limit = Arc::new(Mutex::new(None));
        let leaving = Arc::new(atomic::AtomicBool::new(false));
        let addr = port::free();
        let script = Script {
            name: name.clone(),
            host: addr.to_string(),
            service,
            mode: mode.clone(),
            limit: limit.clone(),
            leaving: leaving.clone(),
            backs_off: self.cold.is_some(),
            ledger: self.ledger.clone(),
        };
        let target = scripted::Target::start(move |seen, _| script.steps(seen)).await?;
        let relay = relay::Relay::start(addr, target.addr()).await?;
        self.ledger.lock().places.insert(name.clone(), place);
        let life = Life {
            name,
            service,
            place,
            mode,
            limit,
            leaving,
            relay,
        };
        let mut entry = entry(&life, "ready");
        if let Some(cold) = self.cold {
            entry["cold_remaining_ms"] = json!(cold.as_millis() as u64);
            let until = time::Instant::now() + cold;
            self.ledger.lock().cold.insert(life.name.clone(), until);
        }
        super::put(&self.store, &format!("servers/{}", life.name), &entry).await;
        Ok(life)
    }

    async fn delete(&self, name: &str) {
        remove(&self.store, &format!("servers/{name}")).await;
    }
}

/// Writes that a target leaves.
async fn drain(store: &memory::Memory, ledger: &Ledger, target: &Life) {
    let entry = entry(target, "draining");
    super::put(store, &format!("servers/{}", target.name), &entry).await;
    let now = time::Instant::now();
    ledger.lock().leaving.insert(target.name.clone(), now);
}

/// Ends a target that leaves once it has served on for a while.
async fn retire(store: memory::Memory, target: Life) {
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    remove(&store, &format!("servers/{}", target.name)).await;
}

pub(super) async fn remove(store: &memory::Memory, key: &str) {
    loop {
        match store.get(key).await {
            Ok(None) => return,
            Ok(Some(object)) if store.delete(key, object.version).await.is_ok() => return,
            _ => tokio::time::sleep(time::Duration::from_millis(50)).await,
        }
    }
}

fn entry(life: &Life, state: &str) -> Value {
    json!({
        "service": life.service, "address": life.relay.addr().to_string(), "zone": life.place, "version": "v1",
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1
    })
}

/// Returns what of a request must come once: its attempt, or each piece of a call.
fn keys(seen: &Seen) -> Vec<String> {
    match seen.path() {
        "/api/stage-free" => Vec::new(),
        "/api/stage-run" => {
            let body: Value = serde_json::from_slice(&seen.body).unwrap_or(Value::Null);
            let items = body["items"].as_array().cloned().unwrap_or_default();
            let key =
                |item: &Value| format!("{}-{}-{}", item["id"], item["stage"], item["segment"]);
            items.iter().map(key).collect()
        }
        _ => {
            let attempt = seen.header("x-laburnumcart-attempt-id");
            attempt.map(str::to_owned).into_iter().collect()
        }
    }
}

/// What one life of a target does.
struct Script {
    name: String,
    host: String,
    service: &'static str,
    mode: Arc<Mutex<Mode>>,
    limit: Arc<Mutex<Option<f64>>>,
    leaving: Arc<atomic::AtomicBool>,
    /// Whether its refusals ask for a pause.
    backs_off: bool,
    ledger: Arc<Ledger>,
}

impl Script {
    fn steps(&self, seen: &Seen) -> Vec<Step> {
        // Held while the answer is made, so that the limit it names is the one that is counted.
        let limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let mut steps = self.answer(seen);
        let first = steps.iter_mut().find_map(|step| match step {
            Step::Send(bytes) => Some(bytes),
            _ => None,
        });
        let limit = limit.map(|limit| format!("server-limit: {limit}\r\n"));
        let leaving = self.leaving.load(atomic::Ordering::Acquire);
        if leaving && first.is_some() {
            self.ledger.said(&self.name);
        }
        let leaving = leaving.then(|| "server-leaving: 1\r\n".to_owned());
        let said: String = limit.into_iter().chain(leaving).collect();
        if let Some(first) = first.filter(|_| !said.is_empty()) {
            let head = String::from_utf8_lossy(first);
            let head = head.replacen("\r\n", &format!("\r\n{said}"), 1);
            *first = head.into_bytes();
        }
        steps
    }

    fn answer(&self, seen: &Seen) -> Vec<Step> {
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        self.ledger.reached(self.service, keys(seen));
        if mode == Mode::Dead {
            return vec![Step::Reset];
        }
        if seen.header("x-laburnumcart-expect-instance") != Some(&self.name) {
            return vec![head(seen, "421 Misdirected Request", "", "")];
        }
        self.ledger.arrived(&self.name);
        if seen.path() == "/api/stage-free" {
            return vec![head(seen, "200 OK", "", "")];
        }
        if mode == Mode::Shed {
            let mut proof = "x-laburnumcart-not-executed: 1\r\n".to_owned();
            if self.backs_off {
                self.ledger.refused(&self.name);
                proof += &format!("retry-after: {}\r\n", needs::BACKOFF.as_secs());
            }
            return vec![head(seen, "503 Service Unavailable", &proof, "")];
        }
        let whole = match self.service {
            "encode" => self.encode(seen),
            "tale" => self.tale(seen),
            _ => self.desk(seen),
        };
        spoil(whole, mode)
    }

    fn desk(&self, seen: &Seen) -> Vec<Step> {
        let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
        self.ledger.ran(attempt, &self.name);
        let work = Step::Pause(time::Duration::from_millis(5));
        vec![work, signed(seen, &format!("answer to {attempt}"))]
    }

    fn tale(&self, seen: &Seen) -> Vec<Step> {
        let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
        let inputs = seen.header("x-laburnumcart-inputs").unwrap_or_default();
        let own = format!("/{attempt}-0-");
        let mut pieces: Vec<_> = inputs
            .split(',')
            .filter_map(|i| i.split_once(&own))
            .collect();
        pieces.sort_by_key(|(_, piece)| *piece);
        if pieces.iter().map(|(_, piece)| *piece).ne(["0", "1"]) {
            self.ledger
                .breach(format!("{attempt} got the inputs {inputs:?}"));
        }
        self.ledger.ran(attempt, &self.name);
        let after = seen.header("last-event-id").and_then(|id| id.parse().ok());
        let first: u32 = after.unwrap_or(0) + 1;
        let mut steps = vec![Step::Send(
            format!(
                "HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
                 x-laburnumcart-server-stamp: {}\r\ncontent-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n",
                self.name
            )
            .into_bytes(),
        )];
        for id in first..=EVENTS {
            let event = format!("id: {id}\ndata: {attempt} {id}\n\n");
            steps.push(Step::Pause(time::Duration::from_millis(15)));
            steps.push(Step::Send(
                format!("{:x}\r\n{event}\r\n", event.len()).into_bytes(),
            ));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    }

    fn encode(&self, seen: &Seen) -> Vec<Step> {
        let body: Value = serde_json::from_slice(&seen.body).unwrap_or(Value::Null);
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let result = |item: &Value| {
            let id = item["id"].as_str().unwrap_or_default();
            if item["key"] != json!(format!("key of {id}")) {
                self.ledger
                    .breach(format!("a piece of {id} got the key {}", item["key"]));
            }
            json!({ "handle": format!("{}/{id}-{}-{}", self.host, item["stage"], item["segment"]) })
        };
        let results: Vec<_> = items.iter().map(result).collect();
        let work = 10 + items.len() as u64;
        let answer = signed(seen, &json!({ "items": results }).to_string());
        vec![Step::Pause(time::Duration::from_millis(work)), answer]
    }
}

fn head(seen: &Seen, status: &str, extra: &str, body: &str) -> Step {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    Step::Send(
        format!(
            "HTTP/1.1 {status}\r\nx-laburnumcart-attempt-id: {attempt}\r\n{extra}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes(),
    )
}

fn signed(seen: &Seen, body: &str) -> Step {
    head(seen, "200 OK", "x-laburnumcart-server-stamp: s\r\n", body)
}

/// Spoils a whole answer.
fn spoil(mut steps: Vec<Step>, mode: Mode) -> Vec<Step> {
    match mode {
        Mode::Reset => vec![Step::Pause(time::Duration::from_millis(5)), Step::Reset],
        Mode::Mute => vec![Step::Hang],
        Mode::Cut => {
            let half = steps.len().div_ceil(2);
            steps.truncate(half);
            if let Some(Step::Send(bytes)) = steps.last_mut() {
                bytes.truncate(bytes.len() / 2);
            }
            steps.push(Step::Close);
            steps
        }
        Mode::Double => {
            let last = steps.last().cloned();
            steps.extend(last);
            steps
        }
        Mode::Good | Mode::Shed | Mode::Dead => steps,
    }
}
