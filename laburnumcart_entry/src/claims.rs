//! Claims on non-idempotent requests, sharded over the entries, so that each runs at most once.
//!
//! [`Service::claim`] returns [`entry::Decision::Granted`] only after the claim is durable in the
//! object service. A request must not execute before that. See [`laburnumcart::claim`] for the log
//! itself.

mod actor;
mod append;
mod compaction;
pub mod metrics;
mod owned;
mod release_guard;
pub mod resend;
mod settings;
mod takeover;

use std::{
    future,
    net,
    sync::{
        self,
        atomic, //
    },
    time, //
};

use derive_more::{
    Display,
    Error, //
};
use tokio::{
    runtime,
    sync::{
        OnceCell,
        mpsc,
        oneshot, //
    },
    time as clock,
};

use laburnumcart::{
    claim::{
        self,
        limiter,
        ownership, //
        record,
    },
    id,
    unit,
    verdict, //
};
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

pub use settings::Builder;

/// Default retry delay that is suggested with a refused claim.
pub const RETRY_DELAY: unit::Period = unit::Period::from_secs(1);

/// Capacity of a shard's command queue; further commands are refused.
const COMMAND_QUEUE: usize = 4096;

/// Burst size of the append rate limiter, over all shards of this process.
const APPEND_BURST: u32 = 4;

/// Pause before the owner is looked up again when a peer names another one.
const DISAGREEMENT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// The peer did not respond; the call may still have taken effect.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("peer did not answer")]
pub struct Unreachable;

/// Remote calls to other entries.
pub trait Peers: Send + Sync + 'static {
    /// Sends a claim to the entry at `addr`.
    fn claim(
        &self,
        addr: net::SocketAddr,
        claim: entry::Claim,
    ) -> impl future::Future<Output = Result<entry::Decision, Unreachable>> + Send;

    /// Releases a claim at the entry at `addr`.
    fn release(
        &self,
        addr: net::SocketAddr,
        release: entry::Release,
    ) -> impl future::Future<Output = Result<bool, Unreachable>> + Send;

    /// Fetches the final answer of a request from the entry at `addr`.
    fn fetch(
        &self,
        addr: net::SocketAddr,
        fetch: entry::Fetch,
    ) -> impl future::Future<Output = Result<entry::Answer, Unreachable>> + Send;
}

/// Parameters of a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    /// Fingerprint of team and idempotency key, from [`claim::key`].
    pub key: id::Fingerprint,
    /// Fingerprint of the request's content.
    pub content: id::Fingerprint,
    /// Request that may execute if the claim is granted.
    pub request: id::RequestId,
    /// Time for which the claim is kept.
    pub retention: unit::Period,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Whether the claim was granted, is held by another request or was refused.
    pub decision: entry::Decision,
    /// Whether a refused claim may be in the log until its release is recorded.
    pub in_doubt: bool,
}

/// Handle of the task of one shard.
#[derive(Debug)]
struct Shard {
    commands: mpsc::Sender<actor::Command>,
    detector: sync::Arc<sync::Mutex<ownership::Detector>>,
}

/// Client and server of claims: forwards each call to the owner of its shard.
#[derive(Debug)]
pub struct Service<S, P> {
    config: Builder,
    store: sync::Arc<S>,
    peers: sync::Arc<P>,
    runtime: runtime::Handle,
    live_entries: sync::RwLock<Vec<net::SocketAddr>>,
    /// Number of shards to store if no process has stored one yet.
    initial_shards: atomic::AtomicU16,
    shards: OnceCell<Vec<Shard>>,
}

impl<S: store::Store, P: Peers> Service<S, P> {
    fn new(config: Builder, store: sync::Arc<S>, peers: sync::Arc<P>) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            initial_shards: config.shards.into(),
            config,
            store,
            peers,
            runtime: runtime::Handle::current(),
            live_entries: sync::RwLock::default(),
            shards: OnceCell::new(),
        })
    }

    /// Sets the peer addresses of the live entries, among which shards are distributed.
    pub fn set_live_entries(&self, live: Vec<net::SocketAddr>) {
        *self.live_entries.write().expect("lock is not poisoned") = live;
    }

    /// Sets the number of shards; ignored once any process has stored one, which is final.
    pub fn set_shards(&self, shards: u16) {
        self.initial_shards
            .store(shards.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns the address and incarnation of this process.
    pub fn holder(&self) -> claim::Holder {
        self.config.holder
    }

    /// Claims a key at the owner of its shard, for a request that executes in this process.
    ///
    /// Never returns `Elsewhere`. A key that is claimed for other content is refused as
    /// `KeyReused`. A claim that is undecided at the deadline is refused as not run, which is
    /// correct as only this process could have executed the request, and is released.
    pub async fn claim(
        self: &sync::Arc<Self>,
        claim: ClaimRequest,
        deadline: clock::Instant,
    ) -> Outcome {
        let mut guard = release_guard::ReleaseGuard::new(self.clone(), claim);
        let deciding = self.claim_at_owner(&claim, &mut guard.unanswered);
        let decided = clock::timeout_at(deadline, deciding).await;
        let Ok(decision) = decided else {
            return Outcome {
                decision: refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)),
                in_doubt: true,
            };
        };
        let in_doubt = guard.resolve(&decision);
        let decision = match decision {
            entry::Decision::Taken { content, .. } if content != claim.content => {
                refused(verdict::Reason::KeyReused, None)
            }
            decision => decision,
        };
        Outcome { decision, in_doubt }
    }

    /// Handles a claim that another entry has sent.
    ///
    /// Returns `Elsewhere` if this process does not own the shard.
    pub async fn serve_claim(&self, claim: entry::Claim) -> entry::Decision {
        let Ok(shard) = self.shard_of(claim.key).await else {
            return refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY));
        };
        let grant = record::Grant {
            key: claim.key,
            content: claim.content,
            request: claim.request,
            holder: claim.holder,
            keep: claim.retention,
            age: unit::Period::default(),
        };
        let (reply, mut answer) = oneshot::channel();
        let mode = actor::Mode::Serve;
        let command = actor::Command::Claim { grant, mode, reply };
        if self.send(shard, command).is_err() {
            return refused(verdict::Reason::Overloaded, Some(RETRY_DELAY));
        }
        let limit = self.config.serve_timeout;
        if let Ok(Ok(decision)) = clock::timeout(limit, &mut answer).await {
            return decision;
        }
        // A closed channel makes the owner release a later grant; one that was sent between the
        // timeout and the close is read here.
        answer.close();
        answer
            .try_recv()
            .unwrap_or_else(|_| refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)))
    }

    /// Releases a claim whose request is proven not executed; returns whether that is durable.
    ///
    /// If it is not durable, the key may stay claimed, which is safe.
    pub async fn release(&self, key: id::Fingerprint, request: id::RequestId) -> bool {
        let Ok(shard) = self.shard_of(key).await else {
            return false;
        };
        let release = entry::Release {
            shard,
            key,
            request,
        };
        let owner = match self.release_locally(&release).await {
            actor::Released::Here(recorded) => return recorded,
            actor::Released::Elsewhere(owner) => owner,
        };
        let addr = owner.map_or_else(|| self.preferred_owner(shard), |owner| owner.addr);
        if addr == self.config.holder.addr {
            return false;
        }
        let answer = self.peers.release(addr, release).await;
        answer.unwrap_or(false)
    }

    /// Handles a release that another entry has sent.
    pub async fn serve_release(&self, release: entry::Release) -> bool {
        matches!(
            self.release_locally(&release).await,
            actor::Released::Here(true)
        )
    }

    /// Gives up all owned shards, so that another entry can take them over without a timeout.
    pub async fn drain(&self) {
        let Some(shards) = self.shards.get() else {
            return;
        };
        let mut answers = Vec::new();
        for shard in shards {
            let (reply, answer) = oneshot::channel();
            let sent = shard.commands.send(actor::Command::Drain { reply }).await;
            if sent.is_ok() {
                answers.push(answer);
            }
        }
        for answer in answers {
            // A shard whose task has ended owns nothing.
            answer.await.ok();
        }
    }

    async fn release_locally(&self, release: &entry::Release) -> actor::Released {
        let Ok(shard) = self.shard_of(release.key).await else {
            return actor::Released::Here(false);
        };
        let (reply, answer) = oneshot::channel();
        let command = actor::Command::Release {
            key: release.key,
            request: release.request,
            reply,
        };
        if self.send(shard, command).is_err() {
            return actor::Released::Here(false);
        }
        answer.await.unwrap_or(actor::Released::Here(false))
    }

    /// Retries at successive owners until one decides; sets `unanswered` if a peer did not respond.
    async fn claim_at_owner(&self, claim: &ClaimRequest, unanswered: &mut bool) -> entry::Decision {
        let shard = match self.shard_of(claim.key).await {
            Ok(shard) => shard,
            Err(_) => return refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)),
        };
        let mut mode = actor::Mode::Cached;
        loop {
            let owner = match self.claim_locally(shard, claim, mode).await {
                entry::Decision::Elsewhere { owner } => owner,
                decision => return decision,
            };
            mode = match self.claim_remotely(shard, claim, owner, unanswered).await {
                Ok(decision) => return decision,
                Err(mode) => mode,
            };
        }
    }

    /// Sends the claim to the shard's task in this process.
    async fn claim_locally(
        &self,
        shard: u16,
        claim: &ClaimRequest,
        mode: actor::Mode,
    ) -> entry::Decision {
        let grant = record::Grant {
            key: claim.key,
            content: claim.content,
            request: claim.request,
            holder: self.config.holder,
            keep: claim.retention,
            age: unit::Period::default(),
        };
        let (reply, answer) = oneshot::channel();
        let command = actor::Command::Claim { grant, mode, reply };
        if self.send(shard, command).is_err() {
            return refused(verdict::Reason::Overloaded, Some(RETRY_DELAY));
        }
        let lost = |_| refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY));
        answer.await.unwrap_or_else(lost)
    }

    /// Sends the claim to the owner, or else to the preferred owner.
    ///
    /// Without a decision, returns the mode for the next local attempt.
    async fn claim_remotely(
        &self,
        shard: u16,
        claim: &ClaimRequest,
        owner: Option<claim::Holder>,
        unanswered: &mut bool,
    ) -> Result<entry::Decision, actor::Mode> {
        let own_addr = self.config.holder.addr;
        let addr = owner.map_or_else(|| self.preferred_owner(shard), |owner| owner.addr);
        if addr == own_addr {
            // The shard has no owner, or its owner is an earlier incarnation at this address.
            return Err(actor::Mode::TakeOver(owner));
        }
        let message = entry::Claim {
            shard,
            key: claim.key,
            content: claim.content,
            request: claim.request,
            holder: self.config.holder,
            retention: claim.retention,
        };
        match self.peers.claim(addr, message).await {
            // The preferred owner declines: it shuts down, or its list of live entries differs.
            Ok(entry::Decision::Elsewhere { owner: None }) if owner.is_none() => {
                Err(actor::Mode::TakeOver(None))
            }
            Ok(entry::Decision::Elsewhere { .. }) => {
                self.with_detector(shard, ownership::Detector::record_success);
                clock::sleep(DISAGREEMENT_PAUSE).await;
                Err(actor::Mode::Refresh)
            }
            Ok(decision) => {
                self.with_detector(shard, ownership::Detector::record_success);
                Ok(decision)
            }
            Err(Unreachable) => {
                *unanswered = true;
                self.handle_unreachable(shard, owner).await
            }
        }
    }

    /// Retries, takes over or refuses, as the failure detector decides, when an owner is
    /// unreachable.
    async fn handle_unreachable(
        &self,
        shard: u16,
        owner: Option<claim::Holder>,
    ) -> Result<entry::Decision, actor::Mode> {
        let now = clock::Instant::now();
        match self.with_detector(shard, |detector| detector.record_failure(now)) {
            ownership::Action::Retry(wait) => {
                clock::sleep(wait).await;
                Err(actor::Mode::Refresh)
            }
            ownership::Action::TakeOver => Err(actor::Mode::TakeOver(owner)),
            ownership::Action::Settle(wait) => {
                let retry = unit::Period(wait);
                Ok(refused(verdict::Reason::ClaimUnavailable, Some(retry)))
            }
        }
    }

    fn with_detector<T>(&self, shard: u16, act: impl FnOnce(&mut ownership::Detector) -> T) -> T {
        let shards = self.shards.get().expect("shards are known");
        let shard = &shards[usize::from(shard)];
        act(&mut shard.detector.lock().expect("lock is not poisoned"))
    }

    fn preferred_owner(&self, shard: u16) -> net::SocketAddr {
        let live = self.live_entries.read().expect("lock is not poisoned");
        ownership::preferred_owner(shard, &live).unwrap_or(self.config.holder.addr)
    }

    fn send(&self, shard: u16, command: actor::Command) -> Result<(), ()> {
        let shards = self.shards.get().ok_or(())?;
        let shard = shards.get(usize::from(shard)).ok_or(())?;
        shard.commands.try_send(command).map_err(|_| ())
    }

    async fn shard_of(&self, key: id::Fingerprint) -> Result<u16, store::Failure> {
        let shards = self.shards.get_or_try_init(|| self.start_shards()).await?;
        Ok(claim::shard(key, shards.len() as u16))
    }

    /// Reads the number of shards and starts a task for each.
    async fn start_shards(&self) -> Result<Vec<Shard>, store::Failure> {
        let wanted = self.initial_shards.load(atomic::Ordering::Relaxed);
        let count = takeover::fix_shard_count(&*self.store, wanted).await?;
        if count != wanted {
            laburnumcart_daemon::event!(
                Warn,
                "claim-shards-kept",
                stored = count,
                configured = wanted
            );
        }
        // Each append leads to one deletion later. Deletions have a limiter of their own, so that
        // they do not delay claims.
        let half = unit::Rate(self.config.write_rate.0 / 2.0);
        let new_limiter =
            |burst| sync::Arc::new(sync::Mutex::new(limiter::Limiter::new(half, count, burst)));
        let (appends, deletions) = (new_limiter(APPEND_BURST), new_limiter(1));
        let spawn_shard = |shard| self.spawn(shard, appends.clone(), deletions.clone());
        Ok((0..count).map(spawn_shard).collect())
    }

    fn spawn(
        &self,
        shard: u16,
        appends: actor::SharedLimiter,
        deletions: actor::SharedLimiter,
    ) -> Shard {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let detector = ownership::Detector::new(self.config.takeover_limits);
        let detector = sync::Arc::new(sync::Mutex::new(detector));
        let context = actor::Context {
            shard,
            holder: self.config.holder,
            store: self.store.clone(),
            runtime: self.runtime.clone(),
            limits: self.config.limits,
            appends,
            deletions,
            store_timeout: self.config.store_timeout,
            detector: detector.clone(),
            metrics: self.config.metrics.clone(),
        };
        self.runtime.spawn(actor::run(context, receiver));
        Shard { commands, detector }
    }
}

/// Creates a refusal with the verdict that the request was not executed.
fn refused(reason: verdict::Reason, retry: Option<unit::Period>) -> entry::Decision {
    let refusal = verdict::Refusal::not_run(reason);
    entry::Decision::Refused(verdict::Refusal { retry, ..refusal })
}
