//! The platform's store, in memory: objects by kind and name, watches, conditional writes.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
}

#[derive(Debug, Default)]
struct State {
    at: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes by revision: kind, name, and the object unless it was deleted.
    events: Vec<(u64, String, String, Option<Object>)>,
}

/// Handle of the store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("bound"),
            state: Arc::new((Mutex::new(State { at: 100, ..State::default() }), Condvar::new())),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or an engine does; returns when it is confirmed.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.write(kind, name, specification);
        self.state.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().remove(kind, name);
        self.state.1.notify_all();
    }

    pub fn count(&self, kind: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.objects.keys().filter(|(k, _)| k == kind).count()
    }

    fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = http::read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            let first = format!("HTTP/1.1 {status} {}", reason(status));
            let headers = [("Content-Type", "application/json")];
            if http::write_message(reader.get_mut(), &first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &http::Message) -> (u16, String) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return (404, "{}".into());
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|n| n.parse::<u64>().ok());
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let mut state = self.state.0.lock().unwrap();
        match (call.word(0), name.is_empty()) {
            ("GET", true) => match number("watch") {
                Some(after) => {
                    let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                    loop {
                        let events = state.events_after(kind, after);
                        let left = end.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let (events, at) = (events.join(","), state.at);
                            return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                        }
                        state = self.state.1.wait_timeout(state, left).unwrap().0;
                    }
                }
                None => {
                    let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
                    let items: Vec<_> = of_kind.map(|((_, n), o)| o.json(n)).collect();
                    let (items, at) = (items.join(","), state.at);
                    (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
                }
            },
            ("GET", false) => match state.objects.get(&key(kind, name)) {
                Some(object) => (200, object.json(name)),
                None => (404, "{}".into()),
            },
            (method @ ("POST" | "PUT"), _) => {
                let metadata = http::field(&body, "metadata").unwrap_or("{}");
                let name = match name {
                    "" => http::text(http::field(metadata, "name")),
                    name => name,
                };
                let expected = http::field(metadata, "revision").and_then(|n| n.trim().parse().ok());
                let known = state.objects.get(&key(kind, name)).cloned();
                match (method, known) {
                    ("POST", Some(known)) => return (409, known.json(name)),
                    ("PUT", None) => return (404, "{}".into()),
                    ("PUT", Some(known)) if expected.is_some_and(|e: u64| e != known.revision) => {
                        return (409, known.json(name));
                    }
                    _ => {}
                }
                let name = name.to_owned();
                let specification = http::field(&body, "specification").unwrap_or("null");
                let object = state.write(kind, &name, specification);
                self.state.1.notify_all();
                (200, object.json(&name))
            }
            ("DELETE", false) => {
                let known = state.objects.get(&key(kind, name)).cloned();
                match known {
                    None => (404, "{}".into()),
                    Some(known) if number("revision").is_some_and(|r| r != known.revision) => {
                        (409, known.json(name))
                    }
                    Some(known) => {
                        state.remove(kind, name);
                        self.state.1.notify_all();
                        (200, known.json(name))
                    }
                }
            }
            _ => (404, "{}".into()),
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, specification: &str) -> Object {
        let known = self.objects.get(&key(kind, name)).cloned();
        if let Some(known) = known.as_ref().filter(|k| k.specification == specification) {
            return known.clone();
        }
        self.at += 1;
        let object = Object {
            revision: self.at,
            created: known.map_or(self.at, |k| k.created),
            specification: specification.to_owned(),
        };
        self.objects.insert(key(kind, name), object.clone());
        self.events.push((self.at, kind.into(), name.into(), Some(object.clone())));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self.objects.remove(&key(kind, name)).is_some() {
            self.at += 1;
            self.events.push((self.at, kind.into(), name.into(), None));
        }
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<String> {
        let later = self.events.iter().filter(|(at, k, ..)| *at > after && k == kind);
        let event = |(at, _, name, object): &(u64, String, String, Option<Object>)| match object {
            Some(object) => format!("{{\"deleted\":false,\"object\":{}}}", object.json(name)),
            None => {
                let gone = Object { revision: *at, created: *at, specification: "null".into() };
                format!("{{\"deleted\":true,\"object\":{}}}", gone.json(name))
            }
        };
        later.map(event).collect()
    }
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deletion_pending\":false}},\"specification\":{},\"status\":null}}",
            self.revision, self.created, self.specification
        )
    }
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        _ => "Service Unavailable",
    }
}
