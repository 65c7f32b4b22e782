//! Case 7: most machines are lost, and a request that crashes its engines comes again and again.

mod gateways;
mod http;
mod json;
mod record;
mod store;

use std::{
    env, fs, io,
    net::{SocketAddr, TcpListener, TcpStream},
    process,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const CORES: f64 = 0.19;

/// Machines of the deployment, and those that are left after the loss.
const MACHINES: usize = 100;
const LEFT: usize = 4;

const ENGINES: usize = 12;

/// Time after which a crashed engine is back.
const BACK: Duration = Duration::from_millis(2_500);

/// `contact_ms` of the sheet, and the retries that may reach engines later than that after the third
/// crash.
const CONTACT: Duration = Duration::from_millis(5_000);
const RETRIES: usize = 3;

/// Pause between two requests that crash their engines, and the number of those.
const PAUSE: Duration = Duration::from_millis(2_000);
const DEADLY: usize = 20;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"chat","host":"desk.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":6000,"target_latency_ms":1900,"priority":1,"service":"model","max_attempts":1,"anonymous":true,"resumable":false,"gap_target_ms":500}],"services":[{"name":"model","health_path":"/health","max_connections":810,"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":32,"kv_cache_tokens":439320}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// A model engine, which some content crashes.
struct Engine {
    id: String,
    zone: &'static str,
    addr: SocketAddr,
    store: store::Store,
    record: record::Record,
    crashes: Arc<Mutex<Vec<Instant>>>,
    born: AtomicU64,
}

impl Engine {
    fn register(&self) {
        let entry = format!(
            "{{\"service\":\"model\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},\"sequence\":0}}",
            self.addr, self.zone, self.born.load(Ordering::Relaxed)
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Begins a life of the engine.
    fn start(self: Arc<Self>, listener: TcpListener) {
        self.register();
        let alive = Arc::new(AtomicBool::new(true));
        let (engine, own) = (self.clone(), alive.clone());
        http::serve_until(listener, alive, move |request, stream| engine.answer(&own, request, stream));
    }

    fn answer(self: &Arc<Self>, alive: &Arc<AtomicBool>, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = format!("x-laburnumcart-instance-id: {}\r\nx-laburnumcart-instance-load: 1,0,64\r\n", self.id);
        if !request.word().starts_with("/chat/") {
            return http::respond(stream, "200 OK", &id, "{\"queued_requests\":0,\"active_requests\":0}");
        }
        let attempt = request.header("x-laburnumcart-attempt-id").unwrap_or("");
        let echo = format!("x-laburnumcart-attempt-id: {attempt}\r\n{id}");
        if request.header("x-laburnumcart-expect-instance").is_some_and(|expected| expected != self.id) {
            return http::respond(stream, "421 Misdirected Request", &format!("{echo}x-laburnumcart-not-executed: 1\r\n"), "");
        }
        self.record.line(&format!("request run attempt={attempt} engine={}", self.id));
        if !request.word().contains("deadly") {
            thread::sleep(Duration::from_millis(60));
            let event = format!("id: 1\ndata: {attempt}-1\n\n");
            return http::respond(stream, "200 OK", &format!("{echo}x-laburnumcart-server-stamp: 3e1b.07\r\ncontent-type: text/event-stream\r\n"), &event);
        }
        thread::sleep(Duration::from_millis(40));
        self.crashes.lock().unwrap().push(Instant::now());
        self.record.line(&format!("engine {} crashes with attempt={attempt}", self.id));
        alive.store(false, Ordering::Release);
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(BACK);
            engine.born.fetch_add(BACK.as_millis() as u64 + 40, Ordering::Relaxed);
            let listener = TcpListener::bind(engine.addr).expect("the engine's port");
            engine.record.line(&format!("engine {} is back", engine.id));
            engine.start(listener);
        });
        Ok(false)
    }
}

fn ask(addr: SocketAddr, attempt: &str, path: &str, record: &record::Record) -> u16 {
    let body = "what the caller asks";
    let request = format!("POST /chat/{path} HTTP/1.1\r\nHost: desk.example\r\nX-Laburnumcart-Attempt-Id: {attempt}\r\nX-Laburnumcart-Deadline-Ms: 6000\r\nX-Laburnumcart-Model: m\r\nX-Laburnumcart-Token-Usage: 1460,80\r\nX-Laburnumcart-Prompt-Prefix: 5c1e07a2:800,{}:250\r\nContent-Length: {}\r\n\r\n{body}", if path == "deadly" { "91bd3f06" } else { "e4402b7d" }, body.len());
    record.line(&format!("client sends {attempt} to {addr}"));
    let status = http::call(addr, &request, Duration::from_millis(6000)).map_or(0, |a| a.status());
    record.line(&format!("client got {attempt} status={status}"));
    status
}

fn main() {
    let number = |name: &str, default: usize| env::var(name).ok().and_then(|l| l.parse().ok()).unwrap_or(default);
    let (count, left) = (number("MACHINES", MACHINES), number("LEFT", LEFT));
    let trouble = env::var("TROUBLE").map_or(true, |t| t != "0");
    let folder = env::temp_dir().join(format!("review-deadly-{}", process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = record::Record::create(&env::var("RECORD").unwrap_or_else(|_| "record.txt".into()));
    let store = store::Store::default();
    let common = gateways::Settings { store: store.start(), folder: folder.clone(), descriptors: 4100, store_writes: 3200, retry_extra: 246 };
    store.put("config", "main", CONFIG);
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Engine {
            id: format!("i-model{}", number + 1),
            zone: ZONES[number % 3],
            addr: listener.local_addr().expect("a bound port"),
            store: store.clone(),
            record: record.clone(),
            crashes: crashes.clone(),
            born: AtomicU64::new(1_780_000_000_000),
        };
        Arc::new(engine).start(listener);
    }
    let machine = |n: usize| gateways::Gateway::new(&format!("frontend-{}-{}", ZONES[n % 3], n / 3 + 1), ZONES[n % 3], CORES, &common);
    let mut machines: Vec<_> = (0..count).map(machine).collect();
    machines.iter_mut().for_each(gateways::Gateway::start);
    let is_ready = machines.iter().all(|m| m.wait_ready(Duration::from_secs(20)));
    thread::sleep(Duration::from_secs(3));
    let members = store.names("gateways").len();
    record.say(&format!("{count} machines, ready={is_ready}, members={members}"));
    let callers: Vec<_> = machines[..left].iter().map(|m| m.callers).collect();
    if trouble {
        machines[left..].iter().for_each(|m| m.signal(gateways::STOP));
        record.say(&format!("{} machines have lost power", count - left));
    }
    // The machines that are left are in touch again from `contact_ms` after it.
    thread::sleep(CONTACT + Duration::from_secs(3));
    let mut served = 0;
    for number in 1..=DEADLY {
        let (record, addr) = (record.clone(), callers[number % left]);
        let deadly = record.clone();
        thread::spawn(move || ask(addr, &format!("deadly-{number}"), "deadly", &deadly));
        thread::sleep(PAUSE / 2);
        let other = callers[(number + 1) % left];
        let status = ask(other, &format!("sound-{number}"), &format!("sound{number}"), &record);
        served += usize::from(status == 200);
        thread::sleep(PAUSE / 2);
    }
    let crashes = crashes.lock().unwrap().clone();
    let third = crashes.get(2).copied();
    let late = third.map_or(0, |third| crashes.iter().filter(|at| **at > third + CONTACT).count());
    let ready = machines[..left].iter().all(gateways::Gateway::is_ready);
    record.say(&format!("{} engines crashed, {late} of them later than contact_ms after the third; {served} of {DEADLY} sound requests were served; ready={ready}", crashes.len()));
    drop(machines);
    let _ = fs::remove_dir_all(&folder);
    let code = match (is_ready && members == count && ready, late > RETRIES) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    record.say(&format!("exit {code}"));
    process::exit(code);
}
