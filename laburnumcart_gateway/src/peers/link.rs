//! The connection to one other process.

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
        Unanswered, //
    },
    relay::{
        self,
        RelayClient, //
    },
    view, //
};

/// Longest time to open a connection.
const CONNECT: unit::Period = unit::Period::from_millis(500);

/// Pause between heartbeats on a connection in use.
const BEAT: time::Duration = time::Duration::from_millis(300);

/// Longest wait for the answer to a heartbeat.
///
/// A connection that went silent holds up the jobs of requests whose objective is about a second.
const SILENCE: time::Duration = time::Duration::from_millis(600);

/// Longest wait for the answer to an announcement, which holds up the request.
const NOTICE: time::Duration = time::Duration::from_millis(80);

/// Longest call; jobs are bounded by their own deadlines.
const REQUEST: unit::Period = unit::Period::from_secs(60);

/// First time that a process which failed is passed over; it doubles with each failure.
const DOWN: time::Duration = time::Duration::from_millis(300);

/// Longest time that it is passed over.
const DOWN_MAX: time::Duration = time::Duration::from_secs(3);

/// Whether a connection is kept alive by heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Beats {
    /// Heartbeats are sent.
    Sent,
    /// Calls follow one another so soon that they tell as much.
    Left,
}

/// An open connection, and whether it has failed.
#[derive(Clone)]
struct Open {
    client: Arc<peer::Client>,
    broken: watch::Receiver<bool>,
}

#[derive(Default)]
struct State {
    down: Option<Instant>,
    failed: u32,
    /// When the process has answered anything last.
    heard: Option<Instant>,
    /// Closes the connection when it is dropped.
    breaker: Option<watch::Sender<bool>>,
}

/// The connection to one life of another process.
pub(crate) struct Link {
    pub(super) member: view::Member,
    beats: Beats,
    state: Arc<Mutex<State>>,
    open: tokio::sync::Mutex<Option<Open>>,
    left: atomic::AtomicBool,
}

impl Link {
    pub(super) fn new(member: view::Member, beats: Beats) -> Self {
        Self {
            member,
            beats,
            state: Arc::default(),
            open: tokio::sync::Mutex::default(),
            left: atomic::AtomicBool::new(false),
        }
    }

    pub(super) fn is_up(&self, now: Instant) -> bool {
        view::lock(&self.state)
            .down
            .is_none_or(|until| until <= now)
    }

    /// Records that the process is leaving, from which it does not come back in this life.
    pub(super) fn leave(&self) {
        self.left.store(true, atomic::Ordering::Relaxed);
    }

    /// Reports whether the process is known to be leaving.
    pub(super) fn has_left(&self) -> bool {
        self.left.load(atomic::Ordering::Relaxed)
    }

    /// Records that the process has answered.
    fn hear(&self) {
        view::lock(&self.state).heard = Some(Instant::now());
    }

    /// Fails all calls on the connection.
    pub(super) fn cut(&self, cause: &'static str) {
        fail(&self.state, &self.member, cause);
    }

    /// Submits a job.
    pub(super) async fn submit(
        self: &Arc<Self>,
        job: dispatcher::Job,
    ) -> Result<Answer, Unanswered> {
        let mut open = self.client().await.ok_or(Unanswered::Unsent)?;
        let mut canceller = Canceller {
            open: Some(open.clone()),
            service: job.service.clone(),
            job: job.id,
        };
        let answer = tokio::select! {
            answer = open.client.submit(job) => answer,
            _ = open.broken.wait_for(|broken| *broken) => return Err(Unanswered::Lost),
        };
        canceller.open = None;
        match answer {
            Ok(answer) => {
                self.hear();
                Ok(answer)
            }
            Err(error) => {
                // All calls on the connection fail together; it is one failure of the process.
                if !*open.broken.borrow() {
                    self.report(&error);
                }
                Err(Unanswered::Lost)
            }
        }
    }

    /// Tells of a job that will come; returns when it would be done.
    pub(super) async fn announce(
        self: &Arc<Self>,
        notice: dispatcher::Announcement,
    ) -> Option<forecast::Outlook> {
        let call = async {
            let open = self.client().await?;
            let outlook = open.client.announce(notice).await.ok()?;
            self.hear();
            outlook
        };
        tokio::time::timeout(NOTICE, call).await.ok().flatten()
    }

    /// Tells that an announced job will not come.
    pub(super) async fn withdraw(self: &Arc<Self>, service: id::ServiceName, job: u64) {
        if let Some(open) = self.client().await {
            // Without an answer it is forgotten when it is due.
            let _ = tokio::time::timeout(SILENCE, open.client.withdraw(service, job)).await;
        }
    }

    /// Frees results; returns whether the process was told.
    pub(super) async fn free(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: &[batch::Handle],
    ) -> bool {
        let Some(open) = self.client().await else {
            return false;
        };
        let call = open.client.free(service.clone(), handles.to_vec());
        matches!(tokio::time::timeout(SILENCE, call).await, Ok(Ok(())))
    }

    /// Tells that results have been read.
    pub(super) async fn read(
        self: &Arc<Self>,
        service: &id::ServiceName,
        handles: Vec<batch::Handle>,
    ) {
        if let Some(open) = self.client().await {
            let call = open.client.read(service.clone(), handles);
            // Without an answer they are freed with their request.
            let _ = tokio::time::timeout(SILENCE, call).await;
        }
    }

    /// Asks what the process knows of the store; `None` when the connection failed.
    ///
    /// The answer is due when the wait ends. A connection that went silent is given up soon after, as
    /// it hides changes.
    pub(crate) async fn follow(self: &Arc<Self>, ask: relay::Ask) -> Option<relay::Reply> {
        let mut open = self.client().await?;
        let limit = ask.wait.0 + SILENCE;
        let call = async {
            tokio::select! {
                answer = open.client.follow(ask) => Some(answer),
                _ = open.broken.wait_for(|broken| *broken) => None,
            }
        };
        match tokio::time::timeout(limit, call).await {
            Ok(Some(Ok(answer))) => {
                view::lock(&self.state).failed = 0;
                Some(answer)
            }
            Ok(Some(Err(error))) => {
                self.report(&error);
                None
            }
            Ok(None) => None,
            Err(_) => {
                self.cut("silent");
                None
            }
        }
    }

    /// Tells what targets have said of themselves.
    pub(crate) async fn tell(self: &Arc<Self>, signals: Vec<relay::signals::Told>) {
        if let Some(open) = self.client().await {
            // Without an answer others hear of them from their own requests' answers.
            let _ = tokio::time::timeout(SILENCE, open.client.tell(signals)).await;
        }
    }

    fn report(&self, error: &client::Error) {
        event!(
            Warn,
            "peer-failed",
            peer = self.member.instance,
            error = error
        );
        self.cut("failed");
    }

    /// Returns the connection, opened if there is none.
    async fn client(self: &Arc<Self>) -> Option<Open> {
        let mut slot = self.open.lock().await;
        if let Some(open) = &*slot
            && !*open.broken.borrow()
            && open.client.is_connected()
        {
            return Some(open.clone());
        }
        if !self.is_up(Instant::now()) {
            return None;
        }
        let secret: secret::Secret = self.member.secret.parse().ok()?;
        let limits = peer::Limits::default().connect(CONNECT).request(REQUEST);
        match peer::connect(self.member.peer, &secret, &limits).await {
            Ok(client) => {
                let open = self.watch(client);
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
                self.cut("unreached");
                None
            }
        }
    }

    /// Starts the heartbeats of a new connection, if it has any.
    fn watch(&self, client: peer::Client) -> Open {
        let (sender, receiver) = watch::channel(false);
        let mut state = view::lock(&self.state);
        state.breaker = Some(sender);
        drop(state);
        let open = Open {
            client: Arc::new(client),
            broken: receiver,
        };
        event!(Info, "peer-connected", peer = self.member.instance);
        if self.beats == Beats::Sent {
            tokio::spawn(beat(open.clone(), self.state.clone(), self.member.clone()));
        }
        open
    }
}

/// Sends heartbeats until one is not answered in time, and nothing else is.
///
/// A process under much load answers them late. Taken for gone, its queues would move to the next
/// one with all their load, and from there on.
async fn beat(mut open: Open, state: Arc<Mutex<State>>, member: view::Member) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(BEAT) => {}
            _ = open.broken.wait_for(|broken| *broken) => return,
        }
        match tokio::time::timeout(SILENCE, open.client.beat()).await {
            Ok(Ok(())) => {
                let mut state = view::lock(&state);
                state.failed = 0;
                state.heard = Some(Instant::now());
            }
            Err(_) if is_heard(&state) => {}
            _ => {
                fail(&state, &member, "silent");
                return;
            }
        }
    }
}

/// Reports whether the process has answered anything within the time of a heartbeat.
fn is_heard(state: &Mutex<State>) -> bool {
    let heard = view::lock(state).heard;
    heard.is_some_and(|at| at.elapsed() < SILENCE)
}

/// Closes the connection and passes the process over for a while.
fn fail(state: &Mutex<State>, member: &view::Member, cause: &'static str) {
    let mut state = view::lock(state);
    let down = (DOWN * (1 << state.failed.min(5))).min(DOWN_MAX);
    state.failed += 1;
    state.down = Some(Instant::now() + down);
    if let Some(breaker) = state.breaker.take() {
        // Without a receiver no call is waiting.
        let _ = breaker.send(true);
    }
    event!(
        Info,
        "peer-down",
        peer = member.instance,
        cause = cause,
        for_ms = down.as_millis()
    );
}

/// Cancels a job whose caller has gone before its answer.
struct Canceller {
    open: Option<Open>,
    service: id::ServiceName,
    job: u64,
}

impl Drop for Canceller {
    fn drop(&mut self) {
        let Some(open) = self.open.take() else {
            return;
        };
        let (service, job) = (self.service.clone(), self.job);
        tokio::spawn(async move {
            // An error means that the connection has failed, and the job with it.
            let _ = open.client.cancel(service, job).await;
        });
    }
}
