//! Dispatches the jobs of stages to targets, in batch calls.
//!
//! One process owns the queue of a service, so that a call holds pieces of all callers. Owners are
//! chosen without consensus: two owners at a time waste calls, as a piece may be executed twice, but
//! lose no result.

mod call;
mod free;
mod job;
mod owned_queue;
mod shortage;

use std::{
    collections,
    sync::{
        Arc,
        Mutex,
        OnceLock, //
    },
    time,
};

use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};

use laburnumcart::{
    batch,
    event,
    forecast,
    id,
    poison,
    quota, //
};

use crate::{
    budgets::{
        self,
        pieces, //
    },
    clock,
    dialect,
    metrics,
    outbound,
    pool,
    view, //
};

use self::owned_queue::OwnedQueue;

pub use self::job::{
    Announcement,
    Arrival,
    Job, //
};

/// Interval at which queues with waiting jobs are polled.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Interval at which empty queues are polled.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Lateness of a poll from which the process is taken to have stood still.
///
/// Callers give up an owner that is silent for as long, and submit their jobs to the next one.
const STANDSTILL: time::Duration = time::Duration::from_millis(800);

/// Batch queues of the services whose jobs were submitted to this process.
pub struct Dispatcher {
    view: Arc<view::View>,
    outbound: Arc<outbound::Outbound>,
    budgets: Arc<budgets::Budgets>,
    dialect: Arc<dyn dialect::Dialect>,
    metrics: metrics::Metrics,
    queues: Mutex<collections::HashMap<id::ServiceName, OwnedQueue>>,
    /// Share of the capacity that each lower rank keeps during a shortage; unset if ranks do not
    /// share it.
    floor: OnceLock<f64>,
    consumed: mpsc::UnboundedSender<Vec<batch::Handle>>,
}

/// Cancels a job when dropped.
struct CancelGuard<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    service: &'a id::ServiceName,
    id: u64,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.cancel(self.service, self.id);
    }
}

impl Dispatcher {
    /// Creates a dispatcher without queues.
    ///
    /// Results that were read and that no other stage needs are sent to `consumed`.
    pub fn new(
        view: Arc<view::View>,
        outbound: Arc<outbound::Outbound>,
        budgets: Arc<budgets::Budgets>,
        dialect: Arc<dyn dialect::Dialect>,
        metrics: metrics::Metrics,
        consumed: mpsc::UnboundedSender<Vec<batch::Handle>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            outbound,
            budgets,
            dialect,
            metrics,
            queues: Mutex::default(),
            floor: OnceLock::new(),
            consumed,
        })
    }

    /// Makes ranks share the capacity of queues during a shortage, with this floor for lower ranks.
    pub fn share_by_rank(&self, floor: f64) {
        // A floor that was set before stays; queues may already use it.
        let _ = self.floor.set(floor);
    }

    /// Executes a job and returns its results; dropping the future cancels the job.
    pub async fn submit(self: &Arc<Self>, job: Job) -> Result<Vec<batch::Handle>, batch::Failure> {
        let service = job.service.clone();
        let id = job.id;
        let receiver = self.enqueue(job)?;
        let _guard = CancelGuard {
            dispatcher: self,
            service: &service,
            id,
        };
        self.dispatch_calls(&service);
        receiver.await.unwrap_or(Err(batch::Failure::Unavailable))
    }

    /// Frees results at their targets.
    pub fn free(self: &Arc<Self>, service: &id::ServiceName, handles: Vec<batch::Handle>) {
        let mut queues = view::lock(&self.queues);
        if let Some(owned) = self.owned_queue(&mut queues, service) {
            handles
                .into_iter()
                .for_each(|handle| owned.schedule_free(handle, &*self.dialect));
        }
        drop(queues);
        self.dispatch_calls(service);
    }

    /// Frees results that the next stage has read, if a full batch waits in the queue.
    ///
    /// A congested stage is limited by the room for its results: kept until the next stage's call
    /// ends, they would leave calls half empty, and the fixed time of a call stays the same. Without
    /// congestion they are kept, so that a failed piece of the next stage can be repeated; without
    /// its inputs the whole request would start over.
    pub fn free_if_congested(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: Vec<batch::Handle>,
    ) {
        let is_congested = |owned: &OwnedQueue| owned.queue.has_full_batch();
        if view::lock(&self.queues)
            .get(service)
            .is_some_and(is_congested)
        {
            self.free(service, handles);
        }
    }

    /// Drives the queues until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut changes = self.view.subscribe();
        let mut signals = self.outbound.quotas.signals.subscribe();
        loop {
            let interval = if self.is_idle() {
                IDLE_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            let polled = clock::now();
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                _ = changes.changed() => self.update_queues(),
                _ = signals.changed() => self.fail_refused(),
            }
            let elapsed = clock::now().since(polled);
            if elapsed > interval + STANDSTILL {
                self.log_standstill(elapsed);
            }
            let services: Vec<_> = view::lock(&self.queues).keys().cloned().collect();
            services
                .iter()
                .for_each(|service| self.dispatch_calls(service));
        }
    }

    /// Logs that the process stood still, and the pieces that waited in its queues.
    fn log_standstill(&self, elapsed: time::Duration) {
        let queues = view::lock(&self.queues);
        let waiting: usize = queues.values().map(|o| o.queue.waiting_pieces()).sum();
        event!(
            Warn,
            "stood-still",
            lasted_ms = elapsed.as_millis(),
            queues = queues.len(),
            waiting = waiting
        );
    }

    /// Gives up all waiting jobs, so that their senders submit them to the next owner.
    pub fn hand_over_all(&self) {
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let events = owned.queue.release_unstarted();
            event!(Info, "queue-left", service = service, jobs = events.len());
            owned.apply_events(events, &*self.dialect);
        }
    }

    /// Gives up the waiting jobs of queues of which this process has just ceased to be the first
    /// choice of owner, as `is_first` tells.
    ///
    /// Processes that start together do not know of each other, so each owns all queues at first.
    /// With many queues for the same targets, calls hold few pieces and often find a target busy.
    /// Jobs that arrive after the change stay: their senders cannot reach the new owner.
    pub fn hand_over_moved(&self, is_first: impl Fn(&id::ServiceName) -> bool) {
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let was_first = std::mem::replace(&mut owned.first_choice, is_first(service));
            if was_first && !owned.first_choice {
                let events = owned.queue.release_unstarted();
                event!(Info, "queue-moved", service = service, jobs = events.len());
                owned.apply_events(events, &*self.dialect);
            }
        }
    }

    fn is_idle(&self) -> bool {
        view::lock(&self.queues).values().all(OwnedQueue::is_idle)
    }

    /// Applies changes of targets and configuration to the queues.
    fn update_queues(&self) {
        let targets = self.view.targets.load_full();
        let table = self.view.table.load_full();
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let config = table.as_ref().and_then(|t| t.service(service));
            if let Some(batching) = config.and_then(|s| s.batching) {
                owned.queue.set_batching(batching);
            }
            if table.as_ref().is_some_and(|t| t.is_unreadable(service)) {
                let released = owned.queue.release_unstarted();
                owned.apply_events(released, &*self.dialect);
            }
            owned.update_targets(targets.service(service), |t| self.call_limiter(t));
            let failed = owned.fail_lost_inputs(&targets, &*self.dialect);
            owned.apply_events(failed, &*self.dialect);
        }
    }

    /// Reports whether the content of a stage is refused because it crashes targets.
    fn is_refused(&self, content: id::Fingerprint) -> bool {
        let status = self.outbound.quotas.signals.content_status(|| content);
        matches!(status, poison::Status::Quarantined(_))
    }

    /// Fails the waiting jobs whose content is refused from now on.
    fn fail_refused(&self) {
        for owned in view::lock(&self.queues).values_mut() {
            let failed = owned.fail_refused(|content| self.is_refused(content));
            owned.apply_events(failed, &*self.dialect);
        }
    }

    /// Returns the queue of a service, created on first use.
    fn owned_queue<'a>(
        &self,
        queues: &'a mut collections::HashMap<id::ServiceName, OwnedQueue>,
        service: &id::ServiceName,
    ) -> Option<&'a mut OwnedQueue> {
        if !queues.contains_key(service) {
            let table = self.view.table.load();
            let batching = table.as_ref()?.service(service)?.batching?;
            let repeats = pieces::PieceSends::new(self.budgets.clone(), service.clone());
            let mut owned = OwnedQueue::new(batching, repeats);
            owned.queue.set_floor(self.floor.get().copied());
            let targets = self.view.targets.load();
            owned.update_targets(targets.service(service), |t| self.call_limiter(t));
            event!(
                Info,
                "queue-owned",
                service = service,
                targets = owned.queue.targets.len()
            );
            queues.insert(service.clone(), owned);
        }
        queues.get_mut(service)
    }

    fn enqueue(
        &self,
        job: Job,
    ) -> Result<oneshot::Receiver<Result<Vec<batch::Handle>, batch::Failure>>, batch::Failure> {
        let table = self.view.table.load();
        let is_unreadable = table
            .as_ref()
            .is_some_and(|t| t.is_unreadable(&job.service));
        let mut queues = view::lock(&self.queues);
        let owned = self.owned_queue(&mut queues, &job.service);
        let owned = owned.ok_or(batch::Failure::Unavailable)?;
        if is_unreadable || owned.queue.targets.is_empty() {
            return Err(batch::Failure::Unavailable);
        }
        let now = Instant::now();
        owned.queue.withdraw(job.id);
        if job.input.is_lost(&self.view.targets.load(), &*self.dialect) {
            return Err(batch::Failure::Gone);
        }
        if job.content.is_some_and(|content| self.is_refused(content)) {
            return Err(batch::Failure::Failed);
        }
        self.check_estimate(owned, &job, now)?;
        self.charge_budget(&job)?;
        let (sender, receiver) = oneshot::channel();
        owned.push(job, sender, now);
        Ok(receiver)
    }

    /// Records a job that will be submitted later; returns an estimate of when it would be done.
    pub fn announce(&self, announcement: &Announcement) -> Option<forecast::Estimate> {
        let mut queues = view::lock(&self.queues);
        let owned = self.owned_queue(&mut queues, &announcement.service)?;
        if owned.queue.targets.is_empty() {
            return None;
        }
        let now = Instant::now();
        let spec = announcement.spec(now);
        owned.queue.record_offer(&spec, now);
        let estimate = owned.queue.estimate_future(&spec, now);
        owned.queue.announce(announcement.id, spec);
        Some(estimate)
    }

    /// Returns the number of pieces that wait in the queue of a service.
    pub fn waiting_pieces(&self, service: &id::ServiceName) -> usize {
        let queues = view::lock(&self.queues);
        queues
            .get(service)
            .map_or(0, |owned| owned.queue.waiting_pieces())
    }

    /// Withdraws the announcement of a job.
    pub fn withdraw(&self, service: &id::ServiceName, id: u64) {
        if let Some(owned) = view::lock(&self.queues).get_mut(service) {
            owned.queue.withdraw(id);
        }
    }

    /// Refuses a job that cannot be done before its deadline.
    ///
    /// It would wait until the deadline for nothing, while its caller could retry.
    fn check_estimate(
        &self,
        owned: &OwnedQueue,
        job: &Job,
        now: Instant,
    ) -> Result<(), batch::Failure> {
        let estimate = owned.queue.estimate_time(&job.spec(now), now);
        if estimate <= job.deadline.0 {
            return Ok(());
        }
        self.metrics.refused_early.inc();
        event!(
            Info,
            "job-refused",
            request = job.attempt,
            service = job.service,
            outlook_ms = estimate.as_millis(),
            due_ms = job.due.as_millis(),
            deadline_ms = job.deadline.as_millis(),
            waiting = owned.queue.waiting_pieces()
        );
        let excess = estimate.saturating_sub(job.due.0);
        Err(batch::Failure::Busy(
            excess.as_millis().try_into().unwrap_or(u32::MAX),
        ))
    }

    /// Counts the first job of a request in the retry budget, and charges a repeated job to it.
    fn charge_budget(&self, job: &Job) -> Result<(), batch::Failure> {
        match job.arrival {
            Arrival::First => self.budgets.record_request(&job.service),
            Arrival::Further => {}
            Arrival::Repeated => {
                let repeat = budgets::Repeat {
                    attempt: &job.attempt,
                    service: &job.service,
                    kind: budgets::RepeatKind::Stage,
                    count: job.pieces,
                };
                if !self.budgets.try_spend(&repeat) {
                    return Err(batch::Failure::Failed);
                }
            }
        }
        Ok(())
    }

    /// Cancels a job, unless it has ended.
    pub fn cancel(&self, service: &id::ServiceName, id: u64) {
        let mut queues = view::lock(&self.queues);
        if let Some(owned) = queues.get_mut(service) {
            owned.cancel(id, &*self.dialect);
        }
    }

    /// Starts all calls that can be made now.
    fn dispatch_calls(self: &Arc<Self>, service: &id::ServiceName) {
        let now = Instant::now();
        let mut queues = view::lock(&self.queues);
        let Some(owned) = queues.get_mut(service) else {
            return;
        };
        let expired = owned.expire(now);
        owned.apply_events(expired, &*self.dialect);
        while let Some(call) = owned.queue.next_call(now) {
            self.start_call(service, owned, call, now);
        }
        self.report_shortage(service, owned);
        self.schedule_flush(service, owned);
    }

    /// Returns the rate limiter of calls to a target.
    fn call_limiter(&self, target: &view::Target) -> quota::Limiter {
        self.outbound.quotas.limiters(target).calls
    }

    /// Returns the connection limits of calls to the targets of a service.
    fn connection_bounds(&self, service: &id::ServiceName) -> pool::Bounds {
        let table = self.view.table.load();
        let config = table.as_ref().and_then(|t| t.service(service));
        let connections = config.map_or(1, |s| s.connections / self.view.member_count());
        pool::Bounds {
            max_connections: connections.max(2),
            max_idle: time::Duration::from_secs(60),
        }
    }
}
