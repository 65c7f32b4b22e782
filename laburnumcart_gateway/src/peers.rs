//! Calls between the processes of the system, which send jobs of stages to their queue owners.

pub mod backoff;
mod link;
pub(crate) mod links;
mod owner_ranking;
pub mod trial;

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

/// Pause before a job that no process accepted is submitted again.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Answer to a submitted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The job is complete; handles are in the order of the pieces.
    Done(Vec<batch::Handle>),
    /// The job failed.
    Failed(batch::Failure),
    /// The process doesn't know the service yet.
    #[serde(rename = "elsewhere")]
    Unavailable,
    /// Another process must execute the rest; some pieces were already sent to targets.
    Moved,
    /// The process is shutting down.
    Leaving,
}

impl From<batch::Failure> for Answer {
    fn from(failure: batch::Failure) -> Self {
        match failure {
            batch::Failure::Unavailable => Self::Unavailable,
            batch::Failure::Moved => Self::Moved,
            failure => Self::Failed(failure),
        }
    }
}

/// Failure to get an answer to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SubmitError {
    /// The job was not sent.
    NotSent,
    /// The job was sent and may have been executed in part.
    Lost,
}

/// Results of a job, and the process that accounts for the capacity that they use.
#[derive(Clone, Debug)]
pub struct JobResults {
    /// Handles of the results, in the order of the pieces.
    pub handles: Vec<batch::Handle>,
    /// Queue owner that executed the job.
    pub owner: Arc<view::Member>,
}

/// Remote interface between the processes of the system.
#[rpc(server, client)]
pub trait Peer {
    /// Executes a job and returns when it is complete.
    #[method(name = "submit")]
    async fn submit(&self, job: dispatcher::Job) -> RpcResult<Answer>;

    /// Announces a future job and returns an estimate of its completion time.
    #[method(name = "announce")]
    async fn announce(
        &self,
        notice: dispatcher::Announcement,
    ) -> RpcResult<Option<forecast::Estimate>>;

    /// Withdraws the announcement of a job.
    #[method(name = "withdraw")]
    async fn withdraw(&self, service: id::ServiceName, job: u64) -> RpcResult<()>;

    /// Cancels a job.
    #[method(name = "cancel")]
    async fn cancel(&self, service: id::ServiceName, job: u64) -> RpcResult<()>;

    /// Frees results.
    #[method(name = "free")]
    async fn free(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()>;

    /// Reports that results have been read and may be freed when capacity is needed.
    #[method(name = "read")]
    async fn read(&self, service: id::ServiceName, handles: Vec<batch::Handle>) -> RpcResult<()>;

    /// Answers a heartbeat.
    #[method(name = "beat")]
    async fn beat(&self) -> RpcResult<()>;
}

/// Serves calls from peers.
pub struct PeerService {
    /// Queues that this process owns.
    pub dispatcher: Arc<dispatcher::Dispatcher>,
    /// Control state of this process.
    pub view: Arc<view::View>,
}

#[async_trait]
impl PeerServer for PeerService {
    async fn submit(&self, job: dispatcher::Job) -> RpcResult<Answer> {
        if self.view.is_leaving() && !job.last {
            return Ok(Answer::Leaving);
        }
        if !self.view.is_loaded() {
            return Ok(Answer::Unavailable);
        }
        Ok(match self.dispatcher.submit(job).await {
            Ok(handles) => Answer::Done(handles),
            Err(failure) => Answer::from(failure),
        })
    }

    async fn announce(
        &self,
        notice: dispatcher::Announcement,
    ) -> RpcResult<Option<forecast::Estimate>> {
        // The job will go to another owner's queue, which this process cannot estimate.
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

/// Client of the other processes, which selects the owner of each queue.
pub struct Peers {
    own: id::InstanceName,
    view: Arc<view::View>,
    dispatcher: Arc<dispatcher::Dispatcher>,
    links: Links,
    rankings: Mutex<owner_ranking::OwnerRankings>,
}

impl Peers {
    /// Creates the client of the process `own`.
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
            rankings: Mutex::default(),
        }
    }

    /// Executes a job at the owner of its queue; dropping the future cancels the job.
    ///
    /// If the owner fails, the job goes to the next one. Pieces may then be executed twice, which
    /// only wastes the work.
    pub async fn submit(&self, job: dispatcher::Job) -> Result<JobResults, batch::Failure> {
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
                    match self.submit_to(&owner, job).await {
                        Ok(Answer::Done(handles)) => return Ok(JobResults { handles, owner }),
                        Ok(Answer::Failed(failure)) => return Err(failure),
                        Ok(Answer::Moved) | Err(SubmitError::Lost) => {
                            arrival = dispatcher::Arrival::Repeated;
                        }
                        Ok(Answer::Unavailable | Answer::Leaving) | Err(SubmitError::NotSent) => {}
                    }
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return Err(batch::Failure::Unavailable);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Announces a job to the queue owner and returns an estimate of its completion time.
    ///
    /// Without an answer the job isn't delayed: an unreachable owner's queue moves elsewhere.
    pub async fn announce(&self, notice: dispatcher::Announcement) -> Option<forecast::Estimate> {
        let owner = self.owner(&notice.service)?;
        match owner.instance == self.own {
            true => self.dispatcher.announce(&notice),
            false => self.link(&owner)?.announce(notice).await,
        }
    }

    /// Withdraws an announced job from the queue owner.
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

    /// Frees results through the process that accounts for the capacity that they use.
    ///
    /// The first choice of owner may have changed since, or be shutting down while the next one
    /// sends the batch calls. If it freed the results, they would still count as used where calls
    /// wait for capacity, until they expire: targets stay idle for 3 s in a rolling restart.
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
        // If that process is gone, its successor frees them. If every process did so on its own,
        // they would overload the target together.
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

    /// Reports to the queue owner of a service that results have been read.
    ///
    /// If the report is lost, the results are only freed later.
    pub fn report_read(&self, service: &id::ServiceName, handles: Vec<batch::Handle>) {
        let Some(owner) = self.owner(service) else {
            return;
        };
        if owner.instance == self.own {
            self.dispatcher.free_if_congested(service, handles);
            return;
        }
        if let Some(link) = self.link(&owner) {
            let service = service.clone();
            tokio::spawn(async move { link.report_read(&service, handles).await });
        }
    }

    /// Returns the name of the process that jobs of a service are sent to.
    pub fn owner_name(&self, service: &id::ServiceName) -> Option<id::InstanceName> {
        self.owner(service).map(|owner| owner.instance.clone())
    }

    /// Returns whether this process is the preferred owner of a service's queue.
    pub fn is_first_owner(&self, service: &id::ServiceName) -> bool {
        let owner = self.owner(service);
        owner.is_none_or(|owner| owner.instance == self.own)
    }

    async fn submit_to(
        &self,
        owner: &view::Member,
        job: dispatcher::Job,
    ) -> Result<Answer, SubmitError> {
        if owner.instance != self.own {
            let link = self.link(owner).ok_or(SubmitError::NotSent)?;
            let answer = link.submit(job).await;
            if matches!(answer, Ok(Answer::Leaving)) {
                link.mark_leaving();
            }
            return answer;
        }
        Ok(match self.dispatcher.submit(job).await {
            Ok(handles) => Answer::Done(handles),
            Err(failure) => Answer::from(failure),
        })
    }

    /// Returns the queue owner of a service.
    fn owner(&self, service: &id::ServiceName) -> Option<Arc<view::Member>> {
        let ranking = self.ranking(service);
        ranking.iter().find(|m| self.is_up(m, false)).cloned()
    }

    /// Lists the processes that may own a service's queue, the preferred one first.
    ///
    /// With `last`, processes that are shutting down are included. In a rolling restart all
    /// processes can be shutting down at once for up to their grace period. Requests that they
    /// accepted would otherwise wait for an owner until the first process is back.
    fn owners(&self, service: &id::ServiceName, last: bool) -> Vec<Arc<view::Member>> {
        let ranking = self.ranking(service);
        let up = ranking.iter().filter(|m| self.is_up(m, last));
        up.cloned().collect()
    }

    fn ranking(&self, service: &id::ServiceName) -> owner_ranking::OwnerRanking {
        view::lock(&self.rankings).get(&self.view, service)
    }

    fn is_up(&self, member: &view::Member, last: bool) -> bool {
        if member.instance == self.own {
            return last || !self.view.is_leaving();
        }
        self.links.is_up(member) && (last || !self.links.is_leaving(member))
    }

    fn link(&self, member: &view::Member) -> Option<Arc<Link>> {
        self.links.link(member)
    }
}
