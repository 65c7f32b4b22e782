//! Claims of non-idempotent requests, over shards that the entries own among themselves.
//!
//! [`Service::claim`] answers [`entry::Decision::Granted`] only after the claim is durable in the
//! object service. Nothing may execute before that, and what executes does so once. See
//! [`laburnumcart::claim`] for the log itself.

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

/// Time after which a refused claim is worth a new try, when nothing better is known.
pub const RETRY_DELAY: unit::Period = unit::Period::from_secs(1);

/// Commands that wait at one shard; more are refused.
const COMMAND_QUEUE: usize = 4096;

/// Appends of this process that may start at once after a quiet time.
const APPEND_BURST: u32 = 4;

/// Pause before asking again about a shard whose owner is not agreed on.
const DISAGREEMENT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// A peer did not answer; what was asked of it may have taken effect.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("peer did not answer")]
pub struct Unreachable;

/// Calls of other entries.
pub trait Peers: Send + Sync + 'static {
    /// Asks the entry at `addr` for a claim.
    fn claim(
        &self,
        addr: net::SocketAddr,
        claim: entry::Claim,
    ) -> impl future::Future<Output = Result<entry::Decision, Unreachable>> + Send;

    /// Gives a claim back to the entry at `addr`.
    fn release(
        &self,
        addr: net::SocketAddr,
        release: entry::Release,
    ) -> impl future::Future<Output = Result<bool, Unreachable>> + Send;

    /// Asks the entry at `addr` for a final answer.
    fn fetch(
        &self,
        addr: net::SocketAddr,
        fetch: entry::Fetch,
    ) -> impl future::Future<Output = Result<entry::Answer, Unreachable>> + Send;
}

/// What a request claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest {
    /// Team and idempotency key together, from [`claim::key`].
    pub key: id::Fingerprint,
    /// Content of the request.
    pub content: id::Fingerprint,
    /// Request that executes if the claim is granted.
    pub request: id::RequestId,
    /// How long the claim is kept.
    pub retention: unit::Period,
}

/// What came of a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The decision.
    pub decision: entry::Decision,
    /// Whether a refused claim may be in the log until it has been given back.
    pub in_doubt: bool,
}

/// Access to the task of one shard.
#[derive(Debug)]
struct Shard {
    commands: mpsc::Sender<actor::Command>,
    detector: sync::Arc<sync::Mutex<ownership::Detector>>,
}

/// Claims and releases, wherever their shards are owned.
#[derive(Debug)]
pub struct Service<S, P> {
    config: Builder,
    store: sync::Arc<S>,
    peers: sync::Arc<P>,
    runtime: runtime::Handle,
    live_entries: sync::RwLock<Vec<net::SocketAddr>>,
    /// Number of shards to fix if no process has done so before.
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

    /// Sets the peer addresses of the live entries, over which ownership spreads.
    pub fn set_live_entries(&self, live: Vec<net::SocketAddr>) {
        *self.live_entries.write().expect("lock is not poisoned") = live;
    }

    /// Sets the number of shards, which counts only until a process has fixed it for good.
    pub fn set_shards(&self, shards: u16) {
        self.initial_shards
            .store(shards.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns the address and life of this process.
    pub fn holder(&self) -> claim::Holder {
        self.config.holder
    }

    /// Claims a key for a request that executes in this process, at its owner.
    ///
    /// Never answers `Elsewhere`. A key that was claimed with other content is refused as
    /// `KeyReused`. At the deadline an undecided claim is refused as not run: only this process
    /// could have executed the request, and it gives the claim back.
    pub async fn claim(
        self: &sync::Arc<Self>,
        ask: ClaimRequest,
        deadline: clock::Instant,
    ) -> Outcome {
        let mut undecided = release_guard::ReleaseGuard::new(self.clone(), ask);
        let deciding = self.claim_at_owner(&ask, &mut undecided.unanswered);
        let decided = clock::timeout_at(deadline, deciding).await;
        let Ok(decision) = decided else {
            return Outcome {
                decision: refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)),
                in_doubt: true,
            };
        };
        let doubtful = undecided.resolve(&decision);
        let decision = match decision {
            entry::Decision::Taken { content, .. } if content != ask.content => {
                refused(verdict::Reason::KeyReused, None)
            }
            decision => decision,
        };
        Outcome {
            decision,
            in_doubt: doubtful,
        }
    }

    /// Answers a claim that another entry asks for.
    ///
    /// `Elsewhere` if this process does not own the shard.
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
        // The answer may have come between the timeout and now; closed, it would be given back.
        answer.close();
        answer
            .try_recv()
            .unwrap_or_else(|_| refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)))
    }

    /// Gives back a claim whose request provably never started; returns whether it is recorded.
    ///
    /// Unless it is recorded the key stays claimed, which is safe.
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

    /// Answers a release that another entry asks for.
    pub async fn serve_release(&self, release: entry::Release) -> bool {
        matches!(
            self.release_locally(&release).await,
            actor::Released::Here(true)
        )
    }

    /// Ends the ownership of every shard, so that the next asker takes over without waiting.
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
            // A shard whose task is gone has nothing to hand over.
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

    /// Asks until there is a decision; sets `unanswered` if a peer did not answer on the way.
    async fn claim_at_owner(&self, ask: &ClaimRequest, unanswered: &mut bool) -> entry::Decision {
        let shard = match self.shard_of(ask.key).await {
            Ok(shard) => shard,
            Err(_) => return refused(verdict::Reason::ClaimUnavailable, Some(RETRY_DELAY)),
        };
        let mut mode = actor::Mode::Cached;
        loop {
            let owner = match self.claim_locally(shard, ask, mode).await {
                entry::Decision::Elsewhere { owner } => owner,
                decision => return decision,
            };
            mode = match self.claim_remotely(shard, ask, owner, unanswered).await {
                Ok(decision) => return decision,
                Err(mode) => mode,
            };
        }
    }

    /// Asks the task of the shard in this process.
    async fn claim_locally(
        &self,
        shard: u16,
        ask: &ClaimRequest,
        mode: actor::Mode,
    ) -> entry::Decision {
        let grant = record::Grant {
            key: ask.key,
            content: ask.content,
            request: ask.request,
            holder: self.config.holder,
            keep: ask.retention,
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

    /// Asks the owner, or who should become it; otherwise returns how to ask here next.
    async fn claim_remotely(
        &self,
        shard: u16,
        ask: &ClaimRequest,
        owner: Option<claim::Holder>,
        unanswered: &mut bool,
    ) -> Result<entry::Decision, actor::Mode> {
        let me = self.config.holder.addr;
        let addr = owner.map_or_else(|| self.preferred_owner(shard), |owner| owner.addr);
        if addr == me {
            // Nobody owns it, or an earlier life at this address did.
            return Err(actor::Mode::TakeOver(owner));
        }
        let claim = entry::Claim {
            shard,
            key: ask.key,
            content: ask.content,
            request: ask.request,
            holder: self.config.holder,
            retention: ask.retention,
        };
        match self.peers.claim(addr, claim).await {
            // Who should own it does not want it: it stops, or knows of others than this process.
            Ok(entry::Decision::Elsewhere { owner: None }) if owner.is_none() => {
                Err(actor::Mode::TakeOver(None))
            }
            Ok(entry::Decision::Elsewhere { .. }) => {
                self.suspicion(shard, ownership::Detector::record_success);
                clock::sleep(DISAGREEMENT_PAUSE).await;
                Err(actor::Mode::Refresh)
            }
            Ok(decision) => {
                self.suspicion(shard, ownership::Detector::record_success);
                Ok(decision)
            }
            Err(Unreachable) => {
                *unanswered = true;
                self.handle_unreachable(shard, owner).await
            }
        }
    }

    /// Follows the advice about an owner that did not answer.
    async fn handle_unreachable(
        &self,
        shard: u16,
        owner: Option<claim::Holder>,
    ) -> Result<entry::Decision, actor::Mode> {
        let now = clock::Instant::now();
        match self.suspicion(shard, |suspicion| suspicion.record_failure(now)) {
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

    fn suspicion<T>(&self, shard: u16, act: impl FnOnce(&mut ownership::Detector) -> T) -> T {
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

    /// Learns the number of shards and starts a task for each.
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
        // In the long run each append costs a deletion. With a limit of their own, deletions do
        // not delay claims.
        let half = unit::Rate(self.config.write_rate.0 / 2.0);
        let pace =
            |burst| sync::Arc::new(sync::Mutex::new(limiter::Limiter::new(half, count, burst)));
        let (appends, deletions) = (pace(APPEND_BURST), pace(1));
        let spawn_shard = |shard| self.spawn(shard, appends.clone(), deletions.clone());
        Ok((0..count).map(spawn_shard).collect())
    }

    fn spawn(
        &self,
        shard: u16,
        appends: actor::SharedLimiter,
        deletions: actor::SharedLimiter,
    ) -> Shard {
        let (inbox, commands) = mpsc::channel(COMMAND_QUEUE);
        let suspicion = ownership::Detector::new(self.config.takeover_limits);
        let suspicion = sync::Arc::new(sync::Mutex::new(suspicion));
        let context = actor::Context {
            shard,
            holder: self.config.holder,
            store: self.store.clone(),
            runtime: self.runtime.clone(),
            limits: self.config.limits,
            appends,
            deletions,
            store_timeout: self.config.store_timeout,
            detector: suspicion.clone(),
            metrics: self.config.metrics.clone(),
        };
        self.runtime.spawn(actor::run(context, commands));
        Shard {
            commands: inbox,
            detector: suspicion,
        }
    }
}

/// Creates a refusal that proves that the request did not run.
fn refused(reason: verdict::Reason, retry: Option<unit::Period>) -> entry::Decision {
    let refusal = verdict::Refusal::not_run(reason);
    entry::Decision::Refused(verdict::Refusal { retry, ..refusal })
}
