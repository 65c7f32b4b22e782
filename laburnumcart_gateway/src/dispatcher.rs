//! Executes the jobs of stages that this process owns.
//!
//! One process owns the queue of a service, so that calls are filled with the pieces of all
//! callers. Owners are chosen without agreement: two of them for a moment waste calls, as a piece
//! may be executed twice, but no result is lost by it.

mod call;
mod free;
mod job;
mod owned_queue;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
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
    quota, //
};

use crate::{
    budgets,
    dialect,
    metrics,
    outbound,
    pool,
    view, //
};

use self::owned_queue::OwnedQueue;

pub use self::job::{
    Announcement, //
    Arrival,
    Job,
};

/// Pause between two looks at queues in which something waits.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Pause between two looks at empty queues.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Queues of the services that this process owns jobs of.
pub struct Dispatcher {
    view: Arc<view::View>,
    outbound: Arc<outbound::Outbound>,
    budgets: Arc<budgets::Budgets>,
    dialect: Arc<dyn dialect::Dialect>,
    metrics: metrics::Metrics,
    queues: Mutex<collections::HashMap<id::ServiceName, OwnedQueue>>,
    consumed: mpsc::UnboundedSender<Vec<batch::Handle>>,
}

/// Cancels a job whose submitter has gone.
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
    /// Creates a dispatcher without jobs; inputs that were read go to `consumed`.
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
            consumed,
        })
    }

    /// Executes a job; dropping the future cancels it.
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

    /// Frees results that nobody needs any more.
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

    /// Takes in that results have been read, though their request is not done with them.
    ///
    /// Their room is what binds a congested stage: held to the end of the next stage's call, it
    /// would leave calls half empty, whose fixed time is the same. Without congestion they are
    /// kept, as a piece that fails can be made again of them; its whole request would have to begin
    /// again otherwise.
    pub fn free_if_crowded(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: Vec<batch::Handle>,
    ) {
        let is_crowded = |owned: &OwnedQueue| owned.queue.is_crowded();
        if view::lock(&self.queues)
            .get(service)
            .is_some_and(is_crowded)
        {
            self.free(service, handles);
        }
    }

    /// Looks after the queues until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut changes = self.view.subscribe();
        loop {
            let tick = if self.is_idle() {
                IDLE_POLL_INTERVAL
            } else {
                POLL_INTERVAL
            };
            tokio::select! {
                () = tokio::time::sleep(tick) => {}
                _ = changes.changed() => self.update_queues(),
            }
            let services: Vec<_> = view::lock(&self.queues).keys().cloned().collect();
            services
                .iter()
                .for_each(|service| self.dispatch_calls(service));
        }
    }

    /// Gives the jobs that wait to other processes; theirs is the next choice of owner.
    pub fn hand_over_all(&self) {
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let events = owned.queue.hand_over();
            event!(Info, "queue-left", service = service, jobs = events.len());
            owned.apply_events(events, &*self.dialect);
        }
    }

    /// Gives away the jobs that wait for services whose queue another process owns from now on.
    ///
    /// Processes that start together know nothing of each other, and each owns all queues at first.
    /// With many queues before the same targets, each calls them in vain and with few pieces. Only
    /// the change counts: a process that cannot reach the new owner goes on to submit jobs here.
    pub fn hand_over_moved(&self, is_first: impl Fn(&id::ServiceName) -> bool) {
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let was_first = std::mem::replace(&mut owned.first_choice, is_first(service));
            if was_first && !owned.first_choice {
                let events = owned.queue.hand_over();
                event!(Info, "queue-moved", service = service, jobs = events.len());
                owned.apply_events(events, &*self.dialect);
            }
        }
    }

    fn is_idle(&self) -> bool {
        view::lock(&self.queues).values().all(OwnedQueue::is_idle)
    }

    /// Takes in the targets and the configuration.
    fn update_queues(&self) {
        let targets = self.view.targets.load_full();
        let table = self.view.table.load_full();
        for (service, owned) in view::lock(&self.queues).iter_mut() {
            let known = table.as_ref().and_then(|t| t.service(service));
            if let Some(shape) = known.and_then(|s| s.batching) {
                owned.queue.set_shape(shape);
            }
            owned.update_targets(targets.service(service), |t| self.call_limiter(t));
            let gone = owned.fail_lost(&targets, &*self.dialect);
            owned.apply_events(gone, &*self.dialect);
        }
    }

    /// Returns the queue of a service, made when it is needed first.
    fn owned_queue<'a>(
        &self,
        queues: &'a mut collections::HashMap<id::ServiceName, OwnedQueue>,
        service: &id::ServiceName,
    ) -> Option<&'a mut OwnedQueue> {
        if !queues.contains_key(service) {
            let table = self.view.table.load();
            let shape = table.as_ref()?.service(service)?.batching?;
            let mut owned = OwnedQueue::new(shape);
            let targets = self.view.targets.load();
            owned.update_targets(targets.service(service), |t| self.call_limiter(t));
            event!(
                Info,
                "queue-owned",
                service = service,
                targets = owned.queue.engines.len()
            );
            queues.insert(service.clone(), owned);
        }
        queues.get_mut(service)
    }

    fn enqueue(
        &self,
        job: Job,
    ) -> Result<oneshot::Receiver<Result<Vec<batch::Handle>, batch::Failure>>, batch::Failure> {
        let mut queues = view::lock(&self.queues);
        let owned = self.owned_queue(&mut queues, &job.service);
        let owned = owned.ok_or(batch::Failure::Unavailable)?;
        if owned.queue.engines.is_empty() {
            return Err(batch::Failure::Unavailable);
        }
        let now = Instant::now();
        owned.queue.unexpect(job.id);
        if job.input.is_lost(&self.view.targets.load(), &*self.dialect) {
            return Err(batch::Failure::Gone);
        }
        self.check_outlook(owned, &job, now)?;
        self.charge_budget(&job)?;
        let (sender, receiver) = oneshot::channel();
        owned.push(job, sender, now);
        Ok(receiver)
    }

    /// Takes in that a job will come; returns when it would be done.
    pub fn announce(&self, notice: &Announcement) -> Option<forecast::Outlook> {
        let mut queues = view::lock(&self.queues);
        let owned = self.owned_queue(&mut queues, &notice.service)?;
        if owned.queue.engines.is_empty() {
            return None;
        }
        let now = Instant::now();
        let spec = notice.spec(now);
        let outlook = owned.queue.forecast(&spec, now);
        owned.queue.expect(notice.id, spec);
        Some(outlook)
    }

    /// Returns the number of pieces of a service that wait here.
    pub fn waiting_pieces(&self, service: &id::ServiceName) -> usize {
        let queues = view::lock(&self.queues);
        queues.get(service).map_or(0, |owned| owned.queue.waiting())
    }

    /// Forgets a job that will not come.
    pub fn withdraw(&self, service: &id::ServiceName, id: u64) {
        if let Some(owned) = view::lock(&self.queues).get_mut(service) {
            owned.queue.unexpect(id);
        }
    }

    /// Refuses a job that cannot be done in time.
    ///
    /// Kept, it would wait for that until its deadline, in which its caller could have come again.
    fn check_outlook(
        &self,
        owned: &OwnedQueue,
        job: &Job,
        now: Instant,
    ) -> Result<(), batch::Failure> {
        let outlook = owned.queue.outlook(&job.spec(now), now);
        if outlook <= job.deadline.0 {
            return Ok(());
        }
        self.metrics.refused_early.inc();
        event!(
            Info,
            "job-refused",
            request = job.attempt,
            service = job.service,
            outlook_ms = outlook.as_millis(),
            due_ms = job.due.as_millis(),
            deadline_ms = job.deadline.as_millis(),
            waiting = owned.queue.waiting()
        );
        let excess = outlook.saturating_sub(job.due.0);
        Err(batch::Failure::Busy(
            excess.as_millis().try_into().unwrap_or(u32::MAX),
        ))
    }

    /// Counts a job's request, or takes the job from the budget if its pieces were sent before.
    fn charge_budget(&self, job: &Job) -> Result<(), batch::Failure> {
        match job.arrival {
            Arrival::First => self.budgets.record_request(&job.service),
            Arrival::Further => {}
            Arrival::Repeated => {
                let repeat = budgets::Repeat {
                    request: &job.attempt,
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

    /// Cancels a job; one that is not known has ended.
    pub fn cancel(&self, service: &id::ServiceName, id: u64) {
        let mut queues = view::lock(&self.queues);
        if let Some(owned) = queues.get_mut(service) {
            owned.cancel(id, &*self.dialect);
        }
    }

    /// Makes all calls that can be made now.
    fn dispatch_calls(self: &Arc<Self>, service: &id::ServiceName) {
        let now = Instant::now();
        let mut queues = view::lock(&self.queues);
        let Some(owned) = queues.get_mut(service) else {
            return;
        };
        let expired = owned.expire(now);
        owned.apply_events(expired, &*self.dialect);
        while let Some(call) = owned.queue.take(now) {
            self.start_call(service, owned, call, now);
        }
        self.schedule_flush(service, owned);
    }

    /// Returns the gate of calls of a target.
    fn call_limiter(&self, target: &view::Target) -> quota::Gate {
        self.outbound.quotas.limiters(target).calls
    }

    /// Returns the bounds of a call to a target of a service.
    fn connection_bounds(&self, service: &id::ServiceName) -> pool::Bounds {
        let table = self.view.table.load();
        let known = table.as_ref().and_then(|t| t.service(service));
        let connections = known.map_or(1, |s| s.connections / self.view.share());
        pool::Bounds {
            connections: connections.max(2),
            idle: time::Duration::from_secs(60),
        }
    }
}
