//! Executes the jobs of stages that this process owns.
//!
//! One process owns the queue of a service, so that calls are filled with the pieces of all
//! callers. Owners are chosen without agreement: two of them for a moment waste calls, as a piece
//! may be executed twice, but no result is lost by it.

mod call;
mod frees;
mod job;
mod line;

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

use self::line::Line;

pub use self::job::{
    Arrival,
    Job,
    Notice, //
};

/// Pause between two looks at queues in which something waits.
const TICK: time::Duration = time::Duration::from_millis(25);

/// Pause between two looks at empty queues.
const IDLE_TICK: time::Duration = time::Duration::from_millis(250);

/// Queues of the services that this process owns jobs of.
pub struct Dispatcher {
    view: Arc<view::View>,
    outbound: Arc<outbound::Outbound>,
    budgets: Arc<budgets::Budgets>,
    dialect: Arc<dyn dialect::Dialect>,
    metrics: metrics::Metrics,
    lines: Mutex<collections::HashMap<id::ServiceName, Line>>,
    consumed: mpsc::UnboundedSender<Vec<batch::Handle>>,
}

/// Cancels a job whose submitter has gone.
struct Submitted<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    service: &'a id::ServiceName,
    id: u64,
}

impl Drop for Submitted<'_> {
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
            lines: Mutex::default(),
            consumed,
        })
    }

    /// Executes a job; dropping the future cancels it.
    pub async fn submit(self: &Arc<Self>, job: Job) -> Result<Vec<batch::Handle>, batch::Failure> {
        let service = job.service.clone();
        let id = job.id;
        let receiver = self.enqueue(job)?;
        let _submitted = Submitted {
            dispatcher: self,
            service: &service,
            id,
        };
        self.pump(&service);
        receiver.await.unwrap_or(Err(batch::Failure::Unavailable))
    }

    /// Frees results that nobody needs any more.
    pub fn free(self: &Arc<Self>, service: &id::ServiceName, handles: Vec<batch::Handle>) {
        let mut lines = view::lock(&self.lines);
        if let Some(line) = self.line(&mut lines, service) {
            handles
                .into_iter()
                .for_each(|handle| line.free(handle, &*self.dialect));
        }
        drop(lines);
        self.pump(service);
    }

    /// Takes in that results have been read, though their request is not done with them.
    ///
    /// Their room is what binds a congested stage: held to the end of the next stage's call, it
    /// would leave calls half empty, whose fixed time is the same. Without congestion they are
    /// kept, as a piece that fails can be made again of them; its whole request would have to begin
    /// again otherwise.
    pub fn read(self: &Arc<Self>, service: &id::ServiceName, handles: Vec<batch::Handle>) {
        let is_crowded = |line: &Line| line.queue.has_full_batch();
        if view::lock(&self.lines).get(service).is_some_and(is_crowded) {
            self.free(service, handles);
        }
    }

    /// Looks after the queues until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut changes = self.view.subscribe();
        loop {
            let tick = if self.is_idle() { IDLE_TICK } else { TICK };
            tokio::select! {
                () = tokio::time::sleep(tick) => {}
                _ = changes.changed() => self.refresh(),
            }
            let services: Vec<_> = view::lock(&self.lines).keys().cloned().collect();
            services.iter().for_each(|service| self.pump(service));
        }
    }

    /// Gives the jobs that wait to other processes; theirs is the next choice of owner.
    pub fn hand_over(&self) {
        for (service, line) in view::lock(&self.lines).iter_mut() {
            let events = line.queue.release_unstarted();
            event!(Info, "queue-left", service = service, jobs = events.len());
            line.settle(events, &*self.dialect);
        }
    }

    /// Gives away the jobs that wait for services whose queue another process owns from now on.
    ///
    /// Processes that start together know nothing of each other, and each owns all queues at first.
    /// With many queues before the same targets, each calls them in vain and with few pieces. Only
    /// the change counts: a process that cannot reach the new owner goes on to submit jobs here.
    pub fn consolidate(&self, is_first: impl Fn(&id::ServiceName) -> bool) {
        for (service, line) in view::lock(&self.lines).iter_mut() {
            let was_first = std::mem::replace(&mut line.first, is_first(service));
            if was_first && !line.first {
                let events = line.queue.release_unstarted();
                event!(Info, "queue-moved", service = service, jobs = events.len());
                line.settle(events, &*self.dialect);
            }
        }
    }

    fn is_idle(&self) -> bool {
        view::lock(&self.lines).values().all(Line::is_idle)
    }

    /// Takes in the targets and the configuration.
    fn refresh(&self) {
        let targets = self.view.targets.load_full();
        let table = self.view.table.load_full();
        for (service, line) in view::lock(&self.lines).iter_mut() {
            let known = table.as_ref().and_then(|t| t.service(service));
            if let Some(shape) = known.and_then(|s| s.batching) {
                line.queue.set_batching(shape);
            }
            line.update(targets.service(service), |t| self.gate(t));
            let gone = line.drop_lost(&targets, &*self.dialect);
            line.settle(gone, &*self.dialect);
        }
    }

    /// Returns the queue of a service, made when it is needed first.
    fn line<'a>(
        &self,
        lines: &'a mut collections::HashMap<id::ServiceName, Line>,
        service: &id::ServiceName,
    ) -> Option<&'a mut Line> {
        if !lines.contains_key(service) {
            let table = self.view.table.load();
            let shape = table.as_ref()?.service(service)?.batching?;
            let mut line = Line::new(shape);
            let targets = self.view.targets.load();
            line.update(targets.service(service), |t| self.gate(t));
            event!(
                Info,
                "queue-owned",
                service = service,
                targets = line.queue.targets.len()
            );
            lines.insert(service.clone(), line);
        }
        lines.get_mut(service)
    }

    fn enqueue(
        &self,
        job: Job,
    ) -> Result<oneshot::Receiver<Result<Vec<batch::Handle>, batch::Failure>>, batch::Failure> {
        let mut lines = view::lock(&self.lines);
        let line = self.line(&mut lines, &job.service);
        let line = line.ok_or(batch::Failure::Unavailable)?;
        if line.queue.targets.is_empty() {
            return Err(batch::Failure::Unavailable);
        }
        let now = Instant::now();
        line.queue.withdraw(job.id);
        if job.input.is_lost(&self.view.targets.load(), &*self.dialect) {
            return Err(batch::Failure::Gone);
        }
        self.check(line, &job, now)?;
        self.count(&job)?;
        let (sender, receiver) = oneshot::channel();
        line.push(job, sender, now);
        Ok(receiver)
    }

    /// Takes in that a job will come; returns when it would be done.
    pub fn announce(&self, notice: &Notice) -> Option<forecast::Estimate> {
        let mut lines = view::lock(&self.lines);
        let line = self.line(&mut lines, &notice.service)?;
        if line.queue.targets.is_empty() {
            return None;
        }
        let now = Instant::now();
        let spec = notice.spec(now);
        let outlook = line.queue.estimate_future(&spec, now);
        line.queue.announce(notice.id, spec);
        Some(outlook)
    }

    /// Returns the number of pieces of a service that wait here.
    pub fn waiting(&self, service: &id::ServiceName) -> usize {
        let lines = view::lock(&self.lines);
        lines
            .get(service)
            .map_or(0, |line| line.queue.waiting_pieces())
    }

    /// Forgets a job that will not come.
    pub fn withdraw(&self, service: &id::ServiceName, id: u64) {
        if let Some(line) = view::lock(&self.lines).get_mut(service) {
            line.queue.withdraw(id);
        }
    }

    /// Refuses a job that cannot be done in time.
    ///
    /// Kept, it would wait for that until its deadline, in which its caller could have come again.
    fn check(&self, line: &Line, job: &Job, now: Instant) -> Result<(), batch::Failure> {
        let outlook = line.queue.estimate_time(&job.spec(now), now);
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
            waiting = line.queue.waiting_pieces()
        );
        let excess = outlook.saturating_sub(job.due.0);
        Err(batch::Failure::Busy(
            excess.as_millis().try_into().unwrap_or(u32::MAX),
        ))
    }

    /// Counts a job's request, or takes the job from the budget if its pieces were sent before.
    fn count(&self, job: &Job) -> Result<(), batch::Failure> {
        match job.arrival {
            Arrival::First => self.budgets.earn(&job.service),
            Arrival::Further => {}
            Arrival::Repeated => {
                let repeat = budgets::Repeat {
                    request: &job.attempt,
                    service: &job.service,
                    way: budgets::Way::Stage,
                    count: job.pieces,
                };
                if !self.budgets.spend(&repeat) {
                    return Err(batch::Failure::Failed);
                }
            }
        }
        Ok(())
    }

    /// Cancels a job; one that is not known has ended.
    pub fn cancel(&self, service: &id::ServiceName, id: u64) {
        let mut lines = view::lock(&self.lines);
        if let Some(line) = lines.get_mut(service) {
            line.cancel(id, &*self.dialect);
        }
    }

    /// Makes all calls that can be made now.
    fn pump(self: &Arc<Self>, service: &id::ServiceName) {
        let now = Instant::now();
        let mut lines = view::lock(&self.lines);
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        let expired = line.expire(now);
        line.settle(expired, &*self.dialect);
        while let Some(call) = line.queue.next_call(now) {
            self.start(service, line, call, now);
        }
        self.flush_later(service, line);
    }

    /// Returns the gate of calls of a target.
    fn gate(&self, target: &view::Target) -> quota::Limiter {
        self.outbound.quotas.gates(target).calls
    }

    /// Returns the bounds of a call to a target of a service.
    fn bounds(&self, service: &id::ServiceName) -> pool::Bounds {
        let table = self.view.table.load();
        let known = table.as_ref().and_then(|t| t.service(service));
        let connections = known.map_or(1, |s| s.connections / self.view.member_count());
        pool::Bounds {
            max_connections: connections.max(2),
            max_idle: time::Duration::from_secs(60),
        }
    }
}
