//! Calls between the processes of the system: jobs of stages go to the owner of their queue.

mod link;
pub(crate) mod links;
mod order;

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use jsonrpsee::{
    core::{
        RpcResult,
        async_trait, //
    },
    proc_macros::rpc, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use laburnumcart::{
    batch,
    forecast,
    id, //
};

use crate::{
    dispatcher,
    view, //
};

use self::{
    link::Link,
    links::Links, //
};

/// Pause before a job is offered again when no process could take it.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Answer to a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Results, in the order of the pieces.
    Done(Vec<batch::Handle>),
    /// The job failed.
    Failed(batch::Failure),
    /// The process does not know the service yet.
    Elsewhere,
    /// Another process is to execute the rest; some pieces were sent.
    Moved,
    /// The process is leaving.
    Leaving,
}

impl From<batch::Failure> for Answer {
    fn from(failure: batch::Failure) -> Self {
        match failure {
            batch::Failure::Unavailable => Self::Elsewhere,
            batch::Failure::Moved => Self::Moved,
            failure => Self::Failed(failure),
        }
    }
}

/// A job that no process has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unanswered {
    /// It was not sent.
    Unsent,
    /// It may have been executed in part.
    Lost,
}

/// Results of a job, and the process that accounts for their room.
#[derive(Clone, Debug)]
pub struct Made {
    /// Results, in the order of the pieces.
    pub handles: Vec<batch::Handle>,
    /// Owner of the queue that executed the job.
    pub owner: Arc<view::Member>,
}

/// What a process of the system offers to the others.
#[rpc(server, client)]
pub trait Peer {
    /// Executes a job and answers when it is done.
    #[method(name = "submit")]
    async fn submit(&self, job: dispatcher::Job) -> RpcResult<Answer>;

    /// Tells of a job that will come; the answer says when it would be done.
    #[method(name = "announce")]
    async fn announce(
        &self,
        notice: dispatcher::Announcement,
    ) -> RpcResult<Option<forecast::Outlook>>;

    /// Tells that an announced job will not come.
    #[method(name = "withdraw")]
    async fn withdraw(&self, service: id::ServiceName, job: u64) -> RpcResult<()>;

    /// Cancels a job.
    #[method(name = "cancel")]
    async fn cancel(&self, service: id::ServiceName, job: u64) -> RpcResult<()>;

    /// Frees results.
    #[method(name = "free")]
    async fn free(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()>;

    /// Tells that results have been read; they are freed if their room is wanted.
    #[method(name = "read")]
    async fn read(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()>;

    /// Heartbeat.
    #[method(name = "beat")]
    async fn beat(&self) -> RpcResult<()>;
}

/// Serves other processes.
pub struct Served {
    /// Queues of this process.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// State of this process.
    pub view: Arc<view::View>,
}

#[async_trait]
impl PeerServer for Served {
    async fn submit(&self, job: dispatcher::Job) -> RpcResult<Answer> {
        if self.view.is_leaving() && !job.last {
            return Ok(Answer::Leaving);
        }
        if !self.view.is_complete() {
            return Ok(Answer::Elsewhere);
        }
        Ok(match self.dispatcher.submit(job).await {
            Ok(handles) => Answer::Done(handles),
            Err(failure) => Answer::from(failure),
        })
    }

    async fn announce(
        &self,
        notice: dispatcher::Announcement,
    ) -> RpcResult<Option<forecast::Outlook>> {
        // The job will go to another queue, of which this one tells nothing.
        if self.view.is_leaving() {
            return Ok(None);
        }
        Ok(self.dispatcher.announce(&notice))
    }

    async fn withdraw(&self, service: id::ServiceName, job: u64) -> RpcResult<()> {
        self.dispatcher.withdraw(&service, job);
        Ok(())
    }

    async fn cancel(&self, service: id::ServiceName, job: u64) -> RpcResult<()> {
        self.dispatcher.cancel(&service, job);
        Ok(())
    }

    async fn free(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()> {
        self.dispatcher.free(&service, handles);
        Ok(())
    }

    async fn read(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()> {
        self.dispatcher.free_if_congested(&service, handles);
        Ok(())
    }

    async fn beat(&self) -> RpcResult<()> {
        Ok(())
    }
}

/// The other processes as this one reaches them.
pub struct Peers {
    own: id::InstanceName,
    view: Arc<view::View>,
    dispatcher: Arc<dispatcher::Dispatcher>,
    links: Links,
    orders: Mutex<order::Orders>,
}

impl Peers {
    /// Creates the calls of the process `own`.
    pub fn new(
        own: id::InstanceName,
        view: Arc<view::View>,
        dispatcher: Arc<dispatcher::Dispatcher>,
    ) -> Self {
        Self {
            links: Links::new(own.clone(), view.clone()),
            own,
            view,
            dispatcher,
            orders: Mutex::default(),
        }
    }

    /// Executes a job at the owner of its queue; dropping the future cancels it.
    ///
    /// When the owner fails, the job goes to the next one. Its pieces may have been executed then,
    /// which wastes them and nothing else.
    pub async fn submit(&self, job: dispatcher::Job) -> Result<Made, batch::Failure> {
        let start = Instant::now();
        let (due, deadline) = (start + job.due.0, start + job.deadline.0);
        let mut arrival = job.arrival;
        loop {
            for last in [false, true] {
                for owner in self.owners(&job.service, last) {
                    let mut job = job.clone();
                    let now = Instant::now();
                    job.last = last;
                    job.arrival = arrival;
                    job.due.0 = due.saturating_duration_since(now);
                    job.deadline.0 = deadline.saturating_duration_since(now);
                    match self.offer(&owner, job).await {
                        Ok(Answer::Done(handles)) => return Ok(Made { handles, owner }),
                        Ok(Answer::Failed(failure)) => return Err(failure),
                        Ok(Answer::Moved) | Err(Unanswered::Lost) => {
                            arrival = dispatcher::Arrival::Repeated;
                        }
                        Ok(Answer::Elsewhere | Answer::Leaving) | Err(Unanswered::Unsent) => {}
                    }
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return Err(batch::Failure::Unavailable);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Tells the owner of a queue of a job that will come; returns when it would be done.
    ///
    /// Without an answer the job is not held up: an owner that is gone has no queue to be late in.
    pub async fn announce(&self, notice: dispatcher::Announcement) -> Option<forecast::Outlook> {
        let owner = self.owner(&notice.service)?;
        match owner.instance == self.own {
            true => self.dispatcher.announce(&notice),
            false => self.link(&owner)?.announce(notice).await,
        }
    }

    /// Tells the owner of a queue that an announced job will not come.
    pub fn withdraw(&self, service: &id::ServiceName, job: u64) {
        let Some(owner) = self.owner(service) else {
            return;
        };
        if owner.instance == self.own {
            self.dispatcher.withdraw(service, job);
            return;
        }
        if let Some(link) = self.link(&owner) {
            let service = service.clone();
            tokio::spawn(async move { link.withdraw(service, job).await });
        }
    }

    /// Frees results through the process that accounts for their room.
    ///
    /// The first in the order of owners may be another one by now, or be leaving while the next one
    /// makes the calls. Freed there, results would still count as room that is taken where calls
    /// wait for it, until they expire: targets stood idle for three seconds of a rolling stop.
    pub fn free(
        &self,
        service: &id::ServiceName,
        owner: &view::Member,
        handles: Vec<batch::Handle>,
    ) {
        if owner.instance == self.own {
            self.dispatcher.free(service, handles);
            return;
        }
        // With that one gone, its successor frees them for all: together, many processes would send
        // a target in need more than it takes.
        let mut others = self.owners(service, false).into_iter();
        let next = others.find(|m| m.instance != owner.instance);
        let next = next.filter(|m| m.instance != self.own);
        let links = [self.link(owner), next.and_then(|m| self.link(&m))];
        let (dispatcher, service) = (self.dispatcher.clone(), service.clone());
        tokio::spawn(async move {
            for link in links.into_iter().flatten() {
                if link.free(&service, &handles).await {
                    return;
                }
            }
            dispatcher.free(&service, handles);
        });
    }

    /// Tells the owner of a service's queue that results have been read.
    ///
    /// Lost on the way, it only means that they are freed later.
    pub fn read(&self, service: &id::ServiceName, handles: Vec<batch::Handle>) {
        let Some(owner) = self.owner(service) else {
            return;
        };
        if owner.instance == self.own {
            self.dispatcher.free_if_congested(service, handles);
            return;
        }
        if let Some(link) = self.link(&owner) {
            let service = service.clone();
            tokio::spawn(async move { link.read(&service, handles).await });
        }
    }

    /// Returns the process that jobs of a service are sent to.
    pub fn owner_of(&self, service: &id::ServiceName) -> Option<id::InstanceName> {
        self.owner(service).map(|owner| owner.instance.clone())
    }

    /// Reports whether this process is the first choice of owner of a service's queue.
    pub fn is_first(&self, service: &id::ServiceName) -> bool {
        let owner = self.owner(service);
        owner.is_none_or(|owner| owner.instance == self.own)
    }

    async fn offer(
        &self,
        owner: &view::Member,
        job: dispatcher::Job,
    ) -> Result<Answer, Unanswered> {
        if owner.instance != self.own {
            let link = self.link(owner).ok_or(Unanswered::Unsent)?;
            let answer = link.submit(job).await;
            if matches!(answer, Ok(Answer::Leaving)) {
                link.leave();
            }
            return answer;
        }
        Ok(match self.dispatcher.submit(job).await {
            Ok(handles) => Answer::Done(handles),
            Err(failure) => Answer::from(failure),
        })
    }

    /// Returns the process that owns a service's queue.
    fn owner(&self, service: &id::ServiceName) -> Option<Arc<view::Member>> {
        let order = self.order(service);
        order.iter().find(|m| self.is_up(m, false)).cloned()
    }

    /// Lists the processes that may own a service's queue, the first choice first.
    ///
    /// With `last`, this process is among them also when it is leaving. In a rolling stop all
    /// processes can be leaving at once, each for as long as its grace period; requests that they
    /// have accepted would wait for an owner until the first of them is back.
    fn owners(&self, service: &id::ServiceName, last: bool) -> Vec<Arc<view::Member>> {
        let order = self.order(service);
        let up = order.iter().filter(|m| self.is_up(m, last));
        up.cloned().collect()
    }

    fn order(&self, service: &id::ServiceName) -> order::Order {
        view::lock(&self.orders).order(&self.view, service)
    }

    fn is_up(&self, member: &view::Member, last: bool) -> bool {
        if member.instance == self.own {
            return last || !self.view.is_leaving();
        }
        self.links.is_up(member) && (last || !self.links.has_left(member))
    }

    fn link(&self, member: &view::Member) -> Option<Arc<Link>> {
        self.links.link(member)
    }
}
