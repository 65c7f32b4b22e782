//! Fixture: several entries in one process, with a store and a network that fail on demand.

use std::{
    collections,
    net,
    sync::{
        self,
        atomic, //
    },
    time, //
};

use tokio::sync::watch;

use laburnumcart::{
    claim,
    id,
    unit, //
};
use laburnumcart_entry::claims;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use laburnumcart_wire::entry;

/// Number of shards; one, so that all keys share an owner.
pub(crate) const SHARDS: u16 = 1;

/// Store of one entry, whose writes can be held back as by a pause of the process.
#[derive(Debug)]
pub(crate) struct HeldStore {
    memory: memory::Memory,
    held: watch::Sender<Option<&'static str>>,
    pub(crate) writes: atomic::AtomicU64,
}

impl HeldStore {
    /// Holds back writes to keys under a prefix, or releases all.
    pub(crate) fn hold(&self, prefix: Option<&'static str>) {
        self.held.send_replace(prefix);
    }

    async fn wait_released(&self, key: &str) {
        let mut held = self.held.subscribe();
        let open = |held: &Option<&str>| held.is_none_or(|prefix| !key.starts_with(prefix));
        held.wait_for(open).await.expect("sender is not dropped");
    }
}

impl Store for HeldStore {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, store::Failure> {
        self.memory.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        expect: store::Expect,
        value: &str,
    ) -> Result<store::Version, store::Failure> {
        self.wait_released(key).await;
        self.writes.fetch_add(1, atomic::Ordering::Relaxed);
        self.memory.put(key, expect, value).await
    }

    async fn delete(&self, key: &str, version: store::Version) -> Result<(), store::Failure> {
        self.wait_released(key).await;
        self.memory.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, store::Failure> {
        self.memory.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: store::Revision,
        wait: time::Duration,
    ) -> Result<store::Changes, store::Failure> {
        self.memory.watch(prefix, after, wait).await
    }
}

type Entry = sync::Arc<claims::Service<HeldStore, Network>>;

/// Network between entries.
#[derive(Clone, Default)]
pub(crate) struct Network {
    entries: sync::Arc<sync::Mutex<collections::HashMap<net::SocketAddr, Entry>>>,
    cut: sync::Arc<sync::Mutex<collections::HashSet<net::SocketAddr>>>,
    mute: sync::Arc<sync::Mutex<collections::HashSet<net::SocketAddr>>>,
}

impl Network {
    /// Makes an entry unreachable or reachable for the others.
    pub(crate) fn set_cut(&self, entry: &Entry, cut: bool) {
        let addr = entry.holder().addr;
        let mut cuts = self.cut.lock().unwrap();
        match cut {
            true => cuts.insert(addr),
            false => cuts.remove(&addr),
        };
    }

    /// Drops or delivers an entry's responses to claims, which take effect in both cases.
    pub(crate) fn set_mute(&self, entry: &Entry, mute: bool) {
        let addr = entry.holder().addr;
        let mut mutes = self.mute.lock().unwrap();
        match mute {
            true => mutes.insert(addr),
            false => mutes.remove(&addr),
        };
    }

    fn reach(&self, addr: net::SocketAddr) -> Result<Entry, claims::Unreachable> {
        if self.cut.lock().unwrap().contains(&addr) {
            return Err(claims::Unreachable);
        }
        let entries = self.entries.lock().unwrap();
        entries.get(&addr).cloned().ok_or(claims::Unreachable)
    }
}

impl claims::Peers for Network {
    async fn claim(
        &self,
        addr: net::SocketAddr,
        claim: entry::Claim,
    ) -> Result<entry::Decision, claims::Unreachable> {
        // The callee continues if its caller drops the call.
        let entry = self.reach(addr)?;
        let serve = tokio::spawn(async move { entry.serve_claim(claim).await });
        let decision = serve.await.map_err(|_| claims::Unreachable)?;
        match self.mute.lock().unwrap().contains(&addr) {
            true => Err(claims::Unreachable),
            false => Ok(decision),
        }
    }

    async fn release(
        &self,
        addr: net::SocketAddr,
        release: entry::Release,
    ) -> Result<bool, claims::Unreachable> {
        Ok(self.reach(addr)?.serve_release(release).await)
    }

    async fn fetch(
        &self,
        addr: net::SocketAddr,
        fetch: entry::Fetch,
    ) -> Result<entry::Answer, claims::Unreachable> {
        let entry = self.reach(addr)?;
        if entry.holder().incarnation != fetch.incarnation {
            return Ok(entry::Answer::Unknown);
        }
        let body = fetch.request.to_string();
        Ok(entry::Answer::Whole { body })
    }
}

/// Entries that share a store and a network.
pub(crate) struct Cluster {
    pub(crate) memory: memory::Memory,
    pub(crate) net: Network,
    live: Vec<net::SocketAddr>,
    limit: usize,
    segments: u64,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        Self {
            memory: memory::Memory::new(),
            net: Network::default(),
            live: Vec::new(),
            limit: 20_000,
            segments: 256,
        }
    }

    pub(crate) fn with_limit(limit: usize) -> Self {
        Self {
            limit,
            ..Self::new()
        }
    }

    /// Creates a cluster with a limit of segments between two snapshots.
    pub(crate) fn with_segments(segments: u64) -> Self {
        Self {
            segments,
            ..Self::new()
        }
    }

    /// Starts an entry; the first one is the preferred owner of all shards.
    pub(crate) fn start(&mut self, number: u16) -> (Entry, sync::Arc<HeldStore>) {
        self.start_with(number, SHARDS)
    }

    pub(crate) fn start_with(&mut self, number: u16, shards: u16) -> (Entry, sync::Arc<HeldStore>) {
        let addr = net::SocketAddr::from(([127, 0, 0, 1], number));
        let holder = claim::Holder {
            addr,
            incarnation: id::Incarnation::random(),
        };
        let store = sync::Arc::new(HeldStore {
            memory: self.memory.clone(),
            held: watch::Sender::new(None),
            writes: atomic::AtomicU64::new(0),
        });
        let service = claims::Builder::new(holder)
            .shards(shards)
            .write_rate(unit::Rate(1000.0))
            .max_claims(self.limit)
            .snapshot_interval(self.segments)
            .start(store.clone(), sync::Arc::new(self.net.clone()));
        if self.live.is_empty() {
            self.live.push(addr);
        }
        service.set_live_entries(self.live.clone());
        let mut entries = self.net.entries.lock().unwrap();
        entries.insert(addr, service.clone());
        (service, store)
    }
}

/// Returns the parameters of a claim on a key by a request.
pub(crate) fn params(key: u128, request: u128) -> claims::ClaimRequest {
    claims::ClaimRequest {
        key: id::Fingerprint(key),
        content: id::Fingerprint(key),
        request: id::RequestId(request),
        retention: unit::Period::from_secs(3600),
    }
}

/// Claims a key with a deadline of 10 s.
pub(crate) async fn claim(entry: &Entry, params: claims::ClaimRequest) -> entry::Decision {
    let deadline = tokio::time::Instant::now() + time::Duration::from_secs(10);
    entry.claim(params, deadline).await.decision
}

/// Returns the request that holds the key according to a decision.
pub(crate) fn taken_by(decision: &entry::Decision) -> Option<id::RequestId> {
    match decision {
        entry::Decision::Taken { request, .. } => Some(*request),
        _ => None,
    }
}
