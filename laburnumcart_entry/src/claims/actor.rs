//! The task of one shard: follows its owner, or is it.

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

/// Time for which a head that was read is good enough to route by.
const HEAD_AGE_MAX: time::Duration = time::Duration::from_secs(5);

/// How long to refuse at once after the object service could not be used.
pub(super) const UNAVAILABLE_TIME: time::Duration = time::Duration::from_millis(250);

/// How a claim is to be treated when this process does not own the shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mode {
    /// Say whose it is, as last seen.
    Cached,
    /// Read the head first.
    Refresh,
    /// Take the shard if nobody owns it; a peer asks.
    Serve,
    /// Take the shard if nobody owns it, or this owner does.
    TakeOver(Option<claim::Holder>),
}

/// Outcome of a release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Released {
    /// This process owns the shard; whether the release is in the log.
    Here(bool),
    /// Another process owns the shard.
    Elsewhere(Option<claim::Holder>),
}

/// What the task is asked to do.
#[derive(Debug)]
pub(super) enum Command {
    /// Claim a key.
    Claim {
        /// The claim.
        grant: record::Grant,
        /// What to do if the shard is not owned here.
        mode: Mode,
        /// Where the decision goes; a closed one withdraws the claim.
        reply: oneshot::Sender<entry::Decision>,
    },
    /// Give a claim back.
    Release {
        /// Key of the claim.
        key: id::Fingerprint,
        /// Request that held it.
        request: id::RequestId,
        /// Where the outcome goes.
        reply: oneshot::Sender<Released>,
    },
    /// Give the shard up.
    Drain {
        /// Told at the end.
        reply: oneshot::Sender<()>,
    },
}

/// A rate limit that the shards of a process share.
pub(super) type SharedLimiter = sync::Arc<sync::Mutex<claim::limiter::Limiter>>;

/// What the task works with.
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
    /// Changes both rate limits of this process.
    fn update_limiters(&self, change: impl Fn(&mut claim::limiter::Limiter)) {
        for pace in [&self.appends, &self.deletions] {
            change(&mut pace.lock().expect("lock is not poisoned"));
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
        // A receiver that is gone has no use for a refusal.
        reply.send(claims::refused(reason, Some(retry))).ok();
    }
}

/// What is known of a shard that is owned elsewhere.
#[derive(Debug, Default)]
struct Follower {
    head: Option<record::Head>,
    read: Option<clock::Instant>,
    down: Option<(clock::Instant, unit::Period)>,
    stopped: bool,
}

/// Runs until the service is dropped.
pub(super) async fn run<S: store::Store>(context: Context<S>, mut inbox: mpsc::Receiver<Command>) {
    let mut follower = Follower::default();
    while let Some(command) = inbox.recv().await {
        let Some(taken) = follower.handle(&context, command).await else {
            continue;
        };
        context.update_limiters(claim::limiter::Limiter::add_shard);
        let ended = owned::run(&context, &mut inbox, taken).await;
        context.update_limiters(claim::limiter::Limiter::remove_shard);
        follower.record_loss(&context);
        match ended {
            owned::Ended::Sealed => {}
            owned::Ended::Drained => follower.stopped = true,
            owned::Ended::Closed => return,
        }
    }
}

impl Follower {
    /// Handles a command; returns the state of the shard if it was taken over for a claim.
    async fn handle<S: store::Store>(
        &mut self,
        context: &Context<S>,
        command: Command,
    ) -> Option<owned::Start> {
        match command {
            Command::Claim { grant, mode, reply } => self.claim(context, grant, mode, reply).await,
            Command::Release { reply, .. } => {
                // Without the owner's answer the key stays claimed, which is safe.
                self.read = None;
                let owner = self.owner(context).await.unwrap_or(None);
                reply.send(Released::Elsewhere(owner)).ok();
                None
            }
            Command::Drain { reply } => {
                self.stopped = true;
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
        if let Some((until, retry)) = self.down
            && now < until
        {
            context.refuse(reply, verdict::Reason::ClaimUnavailable, retry);
            return None;
        }
        if self.stopped && matches!(mode, Mode::TakeOver(_)) {
            context.refuse(reply, verdict::Reason::Leaving, claims::RETRY_DELAY);
            return None;
        }
        if mode != Mode::Cached {
            self.read = None;
        }
        match self.decide(context, mode).await {
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
                self.down = Some((clock::Instant::now() + UNAVAILABLE_TIME.min(retry.0), retry));
                context.refuse(reply, verdict::Reason::ClaimUnavailable, retry);
                None
            }
        }
    }

    async fn decide<S: store::Store>(
        &mut self,
        context: &Context<S>,
        mode: Mode,
    ) -> Result<Ownership, store::Failure> {
        let owner = self.owner(context).await?;
        let here = owner.is_none_or(|owner| owner.addr == context.holder.addr);
        let take = match mode {
            Mode::Cached | Mode::Refresh => false,
            Mode::Serve => here,
            Mode::TakeOver(suspect) => here || owner == suspect,
        };
        if self.stopped || !take {
            return Ok(Ownership::Elsewhere(owner));
        }
        self.take(context, owner).await
    }

    async fn take<S: store::Store>(
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
        self.read = None;
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
                let sweep = compaction::delete_superseded(
                    context.store.clone(),
                    taken.superseded,
                    Some(taken.base),
                    context.deletions.clone(),
                    context.store_timeout,
                );
                context.runtime.spawn(sweep);
                Ok(Ownership::Taken(Box::new(taken.log)))
            }
            takeover::Outcome::Foreign(head) => {
                self.record_head(context, head);
                Ok(Ownership::Elsewhere(head.and_then(|head| head.owner)))
            }
        }
    }

    /// Returns the owner, reading the head if it was read long ago.
    async fn owner<S: store::Store>(
        &mut self,
        context: &Context<S>,
    ) -> Result<Option<claim::Holder>, store::Failure> {
        let now = clock::Instant::now();
        let fresh = self.read.is_some_and(|read| now < read + HEAD_AGE_MAX);
        if !fresh {
            let found =
                takeover::read_head(&*context.store, context.shard, context.store_timeout).await?;
            self.record_head(context, found.map(|(head, _)| head));
            self.read = Some(clock::Instant::now());
        }
        Ok(self.head.and_then(|head| head.owner))
    }

    /// Remembers a head, and when the shard changed hands.
    fn record_head<S>(&mut self, context: &Context<S>, head: Option<record::Head>) {
        let known = self.head.map(|head| head.epoch);
        let epoch = head.map(|head| head.epoch);
        if known.is_some() && epoch > known {
            let mut suspicion = context.detector.lock().expect("lock is not poisoned");
            suspicion.record_owner_change(clock::Instant::now());
        }
        self.head = head.or(self.head);
    }

    /// Forgets whose the shard is, as it is no longer this process's.
    fn record_loss<S>(&mut self, context: &Context<S>) {
        self.read = None;
        context.metrics.lost.inc();
        event!(Info, "claim-shard-lost", shard = context.shard);
    }
}

/// What follows a claim in a shard that was not owned here.
enum Ownership {
    /// The shard was taken over.
    Taken(Box<claim::log::Log>),
    /// It is owned elsewhere.
    Elsewhere(Option<claim::Holder>),
}
