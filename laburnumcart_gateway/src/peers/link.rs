//! Connection to one peer, with heartbeats and failure detection.

mod origin_calls;

use std::{
    sync::{
        Arc,
        Mutex,
        atomic, //
    },
    time,
};

use jsonrpsee::core::client;
use tokio::{
    sync::watch,
    time::Instant, //
};

use laburnumcart::{
    batch,
    event,
    forecast,
    id,
    unit, //
};
use laburnumcart_wire::{
    peer,
    secret, //
};

use crate::{
    dispatcher,
    peers::{
        Answer,
        PeerClient,
        SubmitError,
        backoff, //
    },
    relay::{
        self,
        RelayClient, //
    },
    view, //
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: unit::Period = unit::Period::from_millis(500);

/// Pause between heartbeats on an open connection.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Timeout for the answer to a heartbeat, and to other short calls.
///
/// An unresponsive connection delays the jobs of requests whose objective is about a second.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Timeout for the answer to an announcement, which delays the request.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// Timeout of any call; jobs also have their own deadlines.
const REQUEST_TIMEOUT: unit::Period = unit::Period::from_secs(60);

/// Whether heartbeats are sent on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Heartbeats {
    /// Heartbeats check the connection.
    Enabled,
    /// Calls are frequent enough to check the connection.
    Disabled,
}

/// An open connection and a signal that it was closed.
#[derive(Clone)]
struct OpenConnection {
    client: Arc<peer::Client>,
    broken: watch::Receiver<bool>,
}

#[derive(Default)]
struct State {
    backoff: backoff::Backoff,
    /// Time of the last answer of any kind.
    last_answer: Option<Instant>,
    /// Closes the connection when sent `true` or dropped.
    closer: Option<watch::Sender<bool>>,
}

/// Connection to one incarnation of a peer, opened on use.
pub(crate) struct Link {
    pub(super) member: view::Member,
    heartbeats: Heartbeats,
    state: Arc<Mutex<State>>,
    connection: tokio::sync::Mutex<Option<OpenConnection>>,
    leaving: atomic::AtomicBool,
    /// Whether the peer runs a version of this program without calls about origins of streams.
    lacks_origins: atomic::AtomicBool,
}

impl Link {
    pub(super) fn new(member: view::Member, heartbeats: Heartbeats) -> Self {
        Self {
            member,
            heartbeats,
            state: Arc::default(),
            connection: tokio::sync::Mutex::default(),
            leaving: atomic::AtomicBool::new(false),
            lacks_origins: atomic::AtomicBool::new(false),
        }
    }

    pub(super) fn is_up(&self, now: Instant) -> bool {
        view::lock(&self.state).backoff.is_over(now)
    }

    /// Records that the peer is shutting down, which is final for this incarnation.
    pub(super) fn mark_leaving(&self) {
        self.leaving.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether the peer is known to be shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Relaxed)
    }

    /// Records that the peer has answered.
    fn record_answer(&self) {
        view::lock(&self.state).last_answer = Some(Instant::now());
    }

    /// Closes the connection, which fails all of its calls, and starts a backoff.
    pub(super) fn close(&self, cause: &'static str) {
        mark_down(&self.state, &self.member, cause);
    }

    /// Submits a job.
    pub(super) async fn submit(
        self: &Arc<Self>,
        job: dispatcher::Job,
    ) -> Result<Answer, SubmitError> {
        let mut open = self.connection().await.ok_or(SubmitError::NotSent)?;
        let mut guard = CancelGuard {
            open: Some(open.clone()),
            service: job.service.clone(),
            job: job.id,
        };
        let answer = tokio::select! {
            answer = open.client.submit(job) => answer,
            _ = open.broken.wait_for(|broken| *broken) => return Err(SubmitError::Lost),
        };
        guard.open = None;
        match answer {
            Ok(answer) => {
                self.record_answer();
                Ok(answer)
            }
            Err(error) => {
                // All calls on the connection fail together, which counts as one failure.
                if !*open.broken.borrow() {
                    self.record_error(&error);
                }
                Err(SubmitError::Lost)
            }
        }
    }

    /// Announces a job and returns an estimate of its completion time.
    pub(super) async fn announce(
        self: &Arc<Self>,
        notice: dispatcher::Announcement,
    ) -> Option<forecast::Estimate> {
        let call = async {
            let open = self.connection().await?;
            let outlook = open.client.announce(notice).await.ok()?;
            self.record_answer();
            outlook
        };
        tokio::time::timeout(ANNOUNCE_TIMEOUT, call)
            .await
            .ok()
            .flatten()
    }

    /// Withdraws an announced job.
    pub(super) async fn withdraw(self: &Arc<Self>, service: id::ServiceName, job: u64) {
        if let Some(open) = self.connection().await {
            // A lost withdrawal has no effect beyond the time at which the job is due.
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, open.client.withdraw(service, job)).await;
        }
    }

    /// Frees results and returns whether the peer confirmed it.
    pub(super) async fn free(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: &[batch::Handle],
    ) -> bool {
        let Some(open) = self.connection().await else {
            return false;
        };
        let call = open.client.free(service.clone(), handles.to_vec());
        matches!(tokio::time::timeout(ANSWER_TIMEOUT, call).await, Ok(Ok(())))
    }

    /// Reports that results have been read.
    pub(super) async fn report_read(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: Vec<batch::Handle>,
    ) {
        if let Some(open) = self.connection().await {
            let call = open.client.read(service.clone(), handles);
            // If the report is lost, the results are freed together with their request.
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
        }
    }

    /// Requests store data from the peer and returns `None` if the connection failed.
    ///
    /// The answer is due at the end of the request's wait. An unresponsive connection is closed
    /// soon after, as it hides changes.
    pub(crate) async fn follow(
        self: &Arc<Self>,
        request: relay::FollowRequest,
    ) -> Option<relay::FollowReply> {
        let mut open = self.connection().await?;
        let limit = request.wait.0 + ANSWER_TIMEOUT;
        let call = async {
            tokio::select! {
                answer = open.client.follow(request) => Some(answer),
                _ = open.broken.wait_for(|broken| *broken) => None,
            }
        };
        match tokio::time::timeout(limit, call).await {
            Ok(Some(Ok(answer))) => {
                view::lock(&self.state).backoff.record_answer();
                Some(answer)
            }
            Ok(Some(Err(error))) => {
                self.record_error(&error);
                None
            }
            Ok(None) => None,
            Err(_) => {
                self.close("silent");
                None
            }
        }
    }

    /// Requests a part of a packed answer; returns `None` if it is not had in time.
    pub(crate) async fn part(
        self: &Arc<Self>,
        request: relay::packed::PartRequest,
    ) -> Option<relay::packed::Data> {
        let open = self.connection().await?;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, open.client.part(request)).await;
        match answer {
            Ok(Ok(part)) => part,
            Ok(Err(error)) => {
                self.record_error(&error);
                None
            }
            Err(_) => {
                self.close("silent");
                None
            }
        }
    }

    /// Sends target signals.
    pub(crate) async fn send_signals(self: &Arc<Self>, signals: Vec<relay::signals::TargetSignal>) {
        if let Some(open) = self.connection().await {
            // If they are lost, peers get the signals from responses to their own requests.
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, open.client.tell(signals)).await;
        }
    }

    /// Sends completions of content that had failed at crashed targets.
    pub(crate) async fn send_completions(
        self: &Arc<Self>,
        completed: Vec<relay::signals::Completion>,
    ) {
        if let Some(open) = self.connection().await {
            // If they are lost, the content is cleared by a later request that completes.
            let call = open.client.tell_completed(completed);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
        }
    }

    /// Asks for a permit to run a content; `None` if the peer does not answer.
    pub(super) async fn begin_trial(self: &Arc<Self>, content: id::Fingerprint) -> Option<bool> {
        let open = self.connection().await?;
        let call = open.client.begin_trial(content);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await.ok()?;
        answer.ok()
    }

    /// Gives a permit back, with the crashes of the content.
    pub(super) async fn end_trial(
        self: &Arc<Self>,
        content: id::Fingerprint,
        crashes: Vec<relay::signals::TargetSignal>,
    ) {
        if let Some(open) = self.connection().await {
            // If it is lost, the permit expires.
            let call = open.client.end_trial(content, crashes);
            let _ = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
        }
    }

    fn record_error(&self, error: &client::Error) {
        event!(
            Warn,
            "peer-failed",
            peer = self.member.instance,
            error = error
        );
        self.close("failed");
    }

    /// Returns the open connection, or opens one unless the peer is in a backoff.
    async fn connection(self: &Arc<Self>) -> Option<OpenConnection> {
        let mut slot = self.connection.lock().await;
        if let Some(open) = &*slot
            && !*open.broken.borrow()
            && open.client.is_connected()
        {
            return Some(open.clone());
        }
        // Without heartbeats, the caller chooses whom it asks despite a backoff.
        if self.heartbeats == Heartbeats::Enabled && !self.is_up(Instant::now()) {
            return None;
        }
        let secret: secret::Secret = self.member.secret.parse().ok()?;
        let limits = peer::Limits::default()
            .connect(CONNECT_TIMEOUT)
            .request(REQUEST_TIMEOUT);
        match peer::connect(self.member.peer, &secret, &limits).await {
            Ok(client) => {
                let open = self.start_connection(client);
                *slot = Some(open.clone());
                Some(open)
            }
            Err(error) => {
                event!(
                    Warn,
                    "peer-unreached",
                    peer = self.member.instance,
                    error = error
                );
                self.close("unreached");
                None
            }
        }
    }

    /// Registers a new connection and starts its heartbeats, if enabled.
    fn start_connection(&self, client: peer::Client) -> OpenConnection {
        let (sender, receiver) = watch::channel(false);
        let mut state = view::lock(&self.state);
        state.closer = Some(sender);
        drop(state);
        let open = OpenConnection {
            client: Arc::new(client),
            broken: receiver,
        };
        event!(Info, "peer-connected", peer = self.member.instance);
        if self.heartbeats == Heartbeats::Enabled {
            tokio::spawn(send_heartbeats(
                open.clone(),
                self.state.clone(),
                self.member.clone(),
            ));
        }
        open
    }
}

/// Sends heartbeats until the peer answers neither a heartbeat nor any other call in time.
///
/// A peer under high load answers heartbeats late. If that counted as a failure, its queues would
/// move with all their load to the next process, overload that one, and so on.
async fn send_heartbeats(mut open: OpenConnection, state: Arc<Mutex<State>>, member: view::Member) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            _ = open.broken.wait_for(|broken| *broken) => return,
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, open.client.beat()).await {
            Ok(Ok(())) => {
                let mut state = view::lock(&state);
                state.backoff.record_answer();
                state.last_answer = Some(Instant::now());
            }
            Err(_) if has_answered(&state) => {}
            _ => {
                mark_down(&state, &member, "silent");
                return;
            }
        }
    }
}

/// Returns whether the peer has answered any call within the heartbeat timeout.
fn has_answered(state: &Mutex<State>) -> bool {
    let last_answer = view::lock(state).last_answer;
    last_answer.is_some_and(|at| at.elapsed() < ANSWER_TIMEOUT)
}

/// Closes the connection and starts a backoff.
fn mark_down(state: &Mutex<State>, member: &view::Member, cause: &'static str) {
    let mut state = view::lock(state);
    let backoff = state.backoff.record_failure(Instant::now());
    if let Some(closer) = state.closer.take() {
        // It fails only without receivers, when no call is waiting.
        let _ = closer.send(true);
    }
    event!(
        Info,
        "peer-down",
        peer = member.instance,
        cause = cause,
        for_ms = backoff.as_millis()
    );
}

/// Cancels a job if it is dropped before the answer.
struct CancelGuard {
    open: Option<OpenConnection>,
    service: id::ServiceName,
    job: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(open) = self.open.take() else {
            return;
        };
        let (service, job) = (self.service.clone(), self.job);
        tokio::spawn(async move {
            // After an error the connection is closed, which cancels the job as well.
            let _ = open.client.cancel(service, job).await;
        });
    }
}
