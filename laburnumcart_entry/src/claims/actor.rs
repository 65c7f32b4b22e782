//! Task of one shard, which follows the owner or is the owner itself.

use std::{
    sync,
    time, //
};

use tokio::{
    runtime,
    sync::{
        mpsc,
        oneshot, //
    },
    time as clock,
};

use laburnumcart::{
    claim::{
        self,
        ownership, //
        record,
    },
    id,
    unit,
    verdict, //
};
use laburnumcart_daemon::event;
use laburnumcart_platform::store;
use laburnumcart_wire::entry;

use crate::claims::{
    self,
    append,
    compaction,
    metrics,
    owned,
    takeover, //
};

/// Greatest age of a head that claims are routed by.
const HEAD_AGE_MAX: time::Duration = time::Duration::from_secs(5);

/// Time for which claims are refused immediately after a call of the object service has failed.
pub(super) const UNAVAILABLE_TIME: time::Duration = time::Duration::from_millis(250);

/// Handling of a claim whose shard this process does not own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mode {
    /// Return the owner from the cached head.
    Cached,
    /// Read the head and return the owner.
    Refresh,
    /// Take the shard over if it has no owner; the claim came from a peer.
    Serve,
    /// Take the shard over if it has no owner or this one.
    TakeOver(Option<claim::Holder>),
}

/// Outcome of a release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Released {
    /// This process owns the shard; the flag tells whether the release is in the log.
    Here(bool),
    /// Another process owns the shard.
    Elsewhere(Option<claim::Holder>),
}

/// Command to the task of a shard.
#[derive(Debug)]
pub(super) enum Command {
    /// Claims a key.
    Claim {
        /// Record to append.
        grant: record::Grant,
        /// Handling if this process does not own the shard.
        mode: Mode,
        /// Receives the decision; if closed, the claim is withdrawn.
        reply: oneshot::Sender<entry::Decision>,
    },
    /// Releases a claim.
    Release {
        key: id::Fingerprint,
        /// Request that held it.
        request: id::RequestId,
        /// Receives the outcome.
        reply: oneshot::Sender<Released>,
    },
    /// Gives up the shard for a graceful shutdown.
    Drain {
        /// Signalled on completion.
        reply: oneshot::Sender<()>,
    },
}

/// Rate limiter that the shards of a process share.
pub(super) type SharedLimiter = sync::Arc<sync::Mutex<claim::limiter::Limiter>>;

/// Configuration and shared resources of a shard's task.
pub(super) struct Context<S> {
    pub(super) shard: u16,
    pub(super) holder: claim::Holder,
    pub(super) store: sync::Arc<S>,
    pub(super) runtime: runtime::Handle,
    pub(super) limits: claim::log::Limits,
    pub(super) appends: SharedLimiter,
    pub(super) deletions: SharedLimiter,
    pub(super) store_timeout: time::Duration,
    pub(super) detector: sync::Arc<sync::Mutex<ownership::Detector>>,
    pub(super) metrics: metrics::Metrics,
}

impl<S> Context<S> {
    /// Applies a change to both rate limiters of this process.
    fn update_limiters(&self, change: impl Fn(&mut claim::limiter::Limiter)) {
        for limiter in [&self.appends, &self.deletions] {
            change(&mut limiter.lock().expect("lock is not poisoned"));
        }
    }

    /// Refuses a claim as not run.
    pub(super) fn refuse(
        &self,
        reply: oneshot::Sender<entry::Decision>,
        reason: verdict::Reason,
        retry: unit::Period,
    ) {
        self.metrics.refused.inc();
        // A caller that no longer waits needs no refusal.
        reply.send(claims::refused(reason, Some(retry))).ok();
    }
}

/// State of a shard that this process does not own.
#[derive(Debug, Default)]
struct Follower {
    head: Option<record::Head>,
    read_at: Option<clock::Instant>,
    /// End of the time in which claims are refused, and the retry delay to suggest.
    unavailable: Option<(clock::Instant, unit::Period)>,
    drained: bool,
}

/// Runs the task until the service is dropped.
pub(super) async fn run<S: store::Store>(
    context: Context<S>,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut follower = Follower::default();
    while let Some(command) = commands.recv().await {
        let Some(taken) = follower.handle(&context, command).await else {
            continue;
        };
        context.update_limiters(claim::limiter::Limiter::add_shard);
        let ended = owned::run(&context, &mut commands, taken).await;
        context.update_limiters(claim::limiter::Limiter::remove_shard);
        follower.record_loss(&context);
        match ended {
            owned::Ended::Sealed => {}
            owned::Ended::Drained => follower.drained = true,
            owned::Ended::Closed => return,
        }
    }
}

impl Follower {
    /// Handles a command; returns the start state of an owner if the shard was taken over.
    async fn handle<S: store::Store>(
        &mut self,
        context: &Context<S>,
        command: Command,
    ) -> Option<owned::Start> {
        match command {
            Command::Claim { grant, mode, reply } => self.claim(context, grant, mode, reply).await,
            Command::Release { reply, .. } => {
                // If the owner does not confirm the release, the key stays claimed, which is safe.
                self.read_at = None;
                let owner = self.owner(context).await.unwrap_or(None);
                reply.send(Released::Elsewhere(owner)).ok();
                None
            }
            Command::Drain { reply } => {
                self.drained = true;
                reply.send(()).ok();
                None
            }
        }
    }

    async fn claim<S: store::Store>(
        &mut self,
        context: &Context<S>,
        grant: record::Grant,
        mode: Mode,
        reply: oneshot::Sender<entry::Decision>,
    ) -> Option<owned::Start> {
        if reply.is_closed() {
            return None;
        }
        let now = clock::Instant::now();
        if let Some((until, retry)) = self.unavailable
            && now < until
        {
            context.refuse(reply, verdict::Reason::ClaimUnavailable, retry);
            return None;
        }
        if self.drained && matches!(mode, Mode::TakeOver(_)) {
            context.refuse(reply, verdict::Reason::Leaving, claims::RETRY_DELAY);
            return None;
        }
        if mode != Mode::Cached {
            self.read_at = None;
        }
        match self.locate_or_take_over(context, mode).await {
            Ok(Ownership::Taken(taken)) => Some(owned::Start {
                log: taken,
                grant,
                reply,
            }),
            Ok(Ownership::Elsewhere(owner)) => {
                reply.send(entry::Decision::Elsewhere { owner }).ok();
                None
            }
            Err(failure) => {
                let retry = append::retry_after(&failure).unwrap_or(claims::RETRY_DELAY);
                self.unavailable =
                    Some((clock::Instant::now() + UNAVAILABLE_TIME.min(retry.0), retry));
                context.refuse(reply, verdict::Reason::ClaimUnavailable, retry);
                None
            }
        }
    }

    async fn locate_or_take_over<S: store::Store>(
        &mut self,
        context: &Context<S>,
        mode: Mode,
    ) -> Result<Ownership, store::Failure> {
        let owner = self.owner(context).await?;
        let here = owner.is_none_or(|owner| owner.addr == context.holder.addr);
        let can_take_over = match mode {
            Mode::Cached | Mode::Refresh => false,
            Mode::Serve => here,
            Mode::TakeOver(suspect) => here || owner == suspect,
        };
        if self.drained || !can_take_over {
            return Ok(Ownership::Elsewhere(owner));
        }
        self.take_over(context, owner).await
    }

    async fn take_over<S: store::Store>(
        &mut self,
        context: &Context<S>,
        suspect: Option<claim::Holder>,
    ) -> Result<Ownership, store::Failure> {
        let plan = takeover::Plan {
            shard: context.shard,
            holder: context.holder,
            suspect,
            limits: context.limits,
            store_timeout: context.store_timeout,
        };
        self.read_at = None;
        match takeover::take_over(&*context.store, plan).await? {
            takeover::Outcome::Owner(taken) => {
                context.metrics.takeovers.inc();
                event!(
                    Info,
                    "claim-shard-taken",
                    shard = context.shard,
                    epoch = taken.log.epoch(),
                    claims = taken.log.table().len()
                );
                self.record_head(context, Some(taken.base.head));
                let deletions = compaction::delete_superseded(
                    context.store.clone(),
                    taken.superseded,
                    Some(taken.base),
                    context.deletions.clone(),
                    context.store_timeout,
                );
                context.runtime.spawn(deletions);
                Ok(Ownership::Taken(Box::new(taken.log)))
            }
            takeover::Outcome::Foreign(head) => {
                self.record_head(context, head);
                Ok(Ownership::Elsewhere(head.and_then(|head| head.owner)))
            }
        }
    }

    /// Returns the owner, and reads the head if the cached one is older than [`HEAD_AGE_MAX`].
    async fn owner<S: store::Store>(
        &mut self,
        context: &Context<S>,
    ) -> Result<Option<claim::Holder>, store::Failure> {
        let now = clock::Instant::now();
        let fresh = self.read_at.is_some_and(|read| now < read + HEAD_AGE_MAX);
        if !fresh {
            let found =
                takeover::read_head(&*context.store, context.shard, context.store_timeout).await?;
            self.record_head(context, found.map(|(head, _)| head));
            self.read_at = Some(clock::Instant::now());
        }
        Ok(self.head.and_then(|head| head.owner))
    }

    /// Caches a head and reports a change of owner to the failure detector.
    fn record_head<S>(&mut self, context: &Context<S>, head: Option<record::Head>) {
        let known = self.head.map(|head| head.epoch);
        let epoch = head.map(|head| head.epoch);
        if known.is_some() && epoch > known {
            let mut detector = context.detector.lock().expect("lock is not poisoned");
            detector.record_owner_change(clock::Instant::now());
        }
        self.head = head.or(self.head);
    }

    /// Records that this process no longer owns the shard, and invalidates the cached head.
    fn record_loss<S>(&mut self, context: &Context<S>) {
        self.read_at = None;
        context.metrics.lost.inc();
        event!(Info, "claim-shard-lost", shard = context.shard);
    }
}

/// Owner of a shard after the takeover or lookup for a claim.
enum Ownership {
    /// This process has taken the shard over.
    Taken(Box<claim::log::Log>),
    /// Another process owns the shard, or none does.
    Elsewhere(Option<claim::Holder>),
}
