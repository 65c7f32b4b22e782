//! The platform's store, in memory, as PROTOCOL.md tells it.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{http, json};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes in order: revision, kind, object or what is left of it, whether it was deleted.
    log: Vec<(u64, String, String, bool)>,
}

/// A store that answers at once and loses nothing.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deletion_pending\":false}},\"specification\":{},\"status\":null}}",
        object.revision, object.created, object.specification
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, specification: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.specification == specification
        {
            return encode(name, known);
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object { revision: self.revision, created, specification: specification.to_owned() };
        let text = encode(name, &object);
        self.objects.insert(key, object);
        self.log.push((self.revision, kind.to_owned(), text.clone(), false));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.log.push((self.revision, kind.to_owned(), encode(name, &object), true));
        }
    }
}

fn query(path: &str, name: &str) -> Option<u64> {
    let pairs = path.split_once('?')?.1.split('&');
    let mut values = pairs.filter_map(|p| p.split_once('='));
    values.find(|(n, _)| *n == name)?.1.parse().ok()
}

impl Store {
    /// Starts to serve on a free port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let store = self.clone();
        http::serve(listener, move |request, stream| store.answer(request, stream));
        addr
    }

    /// Writes an object as another writer than the system.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.0.0.lock().unwrap().write(kind, name, specification);
        self.0.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.0.0.lock().unwrap().delete(kind, name);
        self.0.1.notify_all();
    }

    /// Returns the names of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.0.0.lock().unwrap();
        state.objects.keys().filter(|(k, _)| k == kind).map(|(_, n)| n.clone()).collect()
    }

    fn answer(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let (status, body) = self.decide(request);
        http::respond(stream, status, "content-type: application/json\r\n", &body)
    }

    fn decide(&self, request: &http::Message) -> (&'static str, String) {
        let path = request.word().to_owned();
        let plain = path.split('?').next().unwrap_or("");
        let Some(rest) = plain.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let method = request.line.split(' ').next().unwrap_or("");
        match (method, name) {
            ("GET", "") if query(&path, "watch").is_some() => self.watch(kind, &path),
            ("GET", "") => {
                let state = self.0.0.lock().unwrap();
                let items = state.objects.iter().filter(|((k, _), _)| k == kind);
                let items: Vec<_> = items.map(|((_, n), o)| encode(n, o)).collect();
                let body = format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.revision);
                ("200 OK", body)
            }
            ("GET", name) => {
                let state = self.0.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => ("200 OK", encode(name, object)),
                    None => ("404 Not Found", "{}".into()),
                }
            }
            _ => self.change(method, kind, name, &path, &request.text()),
        }
    }

    fn watch(&self, kind: &str, path: &str) -> (&'static str, String) {
        let after = query(path, "watch").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(query(path, "wait_ms").unwrap_or(0).min(30_000));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let found = state.log.iter().filter(|(r, k, _, _)| *r > after && k == kind);
            let found: Vec<_> = found
                .map(|(_, _, text, deleted)| format!("{{\"deleted\":{deleted},\"object\":{text}}}"))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", format!("{{\"events\":[{}],\"at\":{}}}", found.join(","), state.revision));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, method: &str, kind: &str, name: &str, path: &str, body: &str) -> (&'static str, String) {
        let metadata = json::member(body, "metadata").unwrap_or("{}");
        let named = json::member(metadata, "name").map_or("", json::text);
        let name = if name.is_empty() { named } else { name };
        let expected = json::member(metadata, "revision").and_then(|r| r.parse().ok());
        let expected = expected.or(query(path, "revision"));
        let mut state = self.0.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let differs = |o: &Object| expected.is_some_and(|e| e != o.revision);
        let answer = match (method, &known) {
            ("POST", Some(object)) => ("409 Conflict", encode(name, object)),
            ("PUT" | "DELETE", None) => ("404 Not Found", "{}".into()),
            ("PUT" | "DELETE", Some(object)) if differs(object) => ("409 Conflict", encode(name, object)),
            ("DELETE", Some(object)) => {
                let text = encode(name, object);
                state.delete(kind, name);
                ("200 OK", text)
            }
            _ => {
                let specification = json::member(body, "specification").unwrap_or("null");
                ("200 OK", state.write(kind, name, specification))
            }
        };
        drop(state);
        self.0.1.notify_all();
        answer
    }
}
