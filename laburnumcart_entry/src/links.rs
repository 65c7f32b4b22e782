//! Lanes to agents: one connection at a time, watched by heartbeats and replaced when it fails.

mod ear;
pub mod pull;

use std::{
    net,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
};

use arc_swap::ArcSwapOption;
use prometheus_client::metrics::counter::Counter;
use tokio::{
    runtime,
    sync::watch,
    task,
    time, //
};

use laburnumcart::{
    balancer::latency,
    facts,
    id,
    unit, //
};
use laburnumcart_wire::{
    agent::{
        self,
        AgentClient, //
    },
    lane,
    peer,
    secret, //
};

use crate::gossip;

/// Periods of the lanes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two heartbeats while attempts are in flight.
    pub beat: time::Duration,
    /// Time between two heartbeats otherwise.
    pub idle: time::Duration,
    /// Time after which a heartbeat counts as missed.
    pub answer: time::Duration,
    /// Number of missed heartbeats in a row that end a connection.
    pub missed: u32,
    /// Longest time to open a connection.
    pub connect: time::Duration,
    /// Time between two tries to open a connection, and between two questions for readiness.
    pub pause: time::Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat: time::Duration::from_secs(1),
            idle: time::Duration::from_secs(2),
            answer: time::Duration::from_millis(750),
            missed: 2,
            connect: time::Duration::from_millis(500),
            pause: time::Duration::from_millis(200),
        }
    }
}

/// What a lane needs to open connections.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Life of this process.
    pub incarnation: id::Incarnation,
    /// Address of this process's peer port.
    pub peer: net::SocketAddr,
    /// Facts that heartbeats carry.
    pub gossip: Arc<gossip::Gossip>,
    /// Counter of connections that were given up.
    pub breaks: Counter,
    /// Counter of questions about attempts in doubt.
    pub doubts: Counter,
    /// Secret that is sent to agents.
    pub secret: secret::Secret,
    /// Periods.
    pub timing: Timing,
}

/// Where a lane stands.
#[derive(Clone, Debug)]
pub enum Link {
    /// The first connection is being opened.
    Opening,
    /// No connection.
    Down {
        /// Whether the address refused the last connection, so that no process listens there.
        gone: bool,
    },
    /// A connection that answers its heartbeats.
    Up(Arc<Connection>),
}

/// One connection of a lane.
#[derive(Debug)]
pub struct Connection {
    /// Place in the lane.
    pub session: lane::Session,
    /// Life of the agent that answered.
    pub incarnation: id::Incarnation,
    client: peer::Client,
    closed: watch::Sender<bool>,
    trip: Mutex<latency::MinRtt>,
}

impl Connection {
    /// Returns the client; calls must be raced against [`Connection::closed`].
    pub fn client(&self) -> &peer::Client {
        &self.client
    }

    /// Takes in a round trip and returns the least one lately.
    fn record(&self, elapsed: time::Duration) -> Option<time::Duration> {
        let mut trip = self.trip.lock().unwrap_or_else(PoisonError::into_inner);
        trip.record(elapsed, time::Instant::now());
        trip.get()
    }

    /// Returns whether the connection was given up.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow() || !self.client.is_connected()
    }

    /// Waits until the connection is given up.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        // The sender lives as long as `self`, so that the wait cannot fail.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

/// A report with what this process knew when it came.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The report.
    pub report: agent::Report,
    /// When it came.
    pub at: time::Instant,
    /// Attempts that this process had in flight there.
    pub own: u32,
    /// Least round trip of a heartbeat lately, once one was answered on the connection.
    pub trip: Option<time::Duration>,
}

/// The way to one agent.
#[derive(Debug)]
pub struct Lane {
    /// Address of the agent.
    pub addr: net::SocketAddr,
    /// Attempts that this process has in flight there.
    pub running: Arc<AtomicU32>,
    /// Counter of questions about attempts in doubt.
    pub doubts: Counter,
    ear: Arc<ear::Ear>,
    /// Milliseconds between two heartbeats without attempts in flight.
    idle: Arc<AtomicU64>,
    link: watch::Sender<Link>,
    task: task::AbortHandle,
}

impl Lane {
    /// Opens a lane on a runtime and keeps it open until the value is dropped.
    pub fn open(runtime: &runtime::Handle, addr: net::SocketAddr, caller: Caller) -> Arc<Self> {
        let (link, _) = watch::channel(Link::Opening);
        let ear = Arc::new(ear::Ear {
            addr,
            peer: caller.peer,
            answer: caller.timing.answer,
            gossip: caller.gossip.clone(),
            seen: ArcSwapOption::empty(),
            running: Arc::default(),
        });
        let doubts = caller.doubts.clone();
        let keeper = Keeper {
            addr,
            idle: Arc::new(AtomicU64::new(millis(caller.timing.idle))),
            caller,
            link: link.clone(),
            ear: ear.clone(),
        };
        let idle = keeper.idle.clone();
        let task = runtime.spawn(keeper.run());
        Arc::new(Self {
            addr,
            running: ear.running.clone(),
            doubts,
            ear,
            idle,
            link,
            task: task.abort_handle(),
        })
    }

    /// Returns the connection, if there is one.
    pub fn connection(&self) -> Option<Arc<Connection>> {
        match &*self.link.borrow() {
            Link::Up(connection) if !connection.is_closed() => Some(connection.clone()),
            _ => None,
        }
    }

    /// Exchanges all facts of crashes with the agent now, and waits for at most a heartbeat's time.
    ///
    /// With the next heartbeat they would come up to two seconds later, in which content that
    /// crashes targets can be sent to several more.
    pub async fn exchange(&self) {
        let Some(connection) = self.connection() else {
            return;
        };
        let beat = agent::Heartbeat {
            session: connection.session,
            peer: Some(self.ear.peer),
            facts: Some(self.ear.gossip.all()),
        };
        self.ear.beat(&connection, beat).await;
    }

    /// Returns the last report of the agent, if it ever reported.
    pub fn report(&self) -> Option<Arc<Seen>> {
        self.ear.seen.load_full()
    }

    /// Reports whether the agent takes work for a service now, as far as is known.
    pub fn takes(&self, service: &id::ServiceName) -> bool {
        let ready =
            |report: &agent::Report| report.ready && !report.leaving && report.service == *service;
        self.connection().is_some() && self.report().is_some_and(|seen| ready(&seen.report))
    }

    /// Reports whether the first connection is still being opened.
    pub fn is_opening(&self) -> bool {
        matches!(*self.link.borrow(), Link::Opening)
    }

    /// Follows the state of the lane.
    pub fn link(&self) -> watch::Receiver<Link> {
        self.link.subscribe()
    }

    /// Returns the time between two heartbeats without attempts in flight.
    pub fn idle(&self) -> time::Duration {
        time::Duration::from_millis(self.idle.load(Ordering::Relaxed))
    }

    /// Sets the time between two heartbeats without attempts in flight, from the next one on.
    ///
    /// With an attempt in flight heartbeats are sent at [`Timing::beat`] whatever this is, so that a
    /// silent connection is found as soon as work depends on it.
    pub fn set_idle(&self, period: time::Duration) {
        self.idle.store(millis(period), Ordering::Relaxed);
    }

    /// Counts an attempt in until the value is dropped.
    pub fn hold(self: &Arc<Self>) -> Held {
        self.running.fetch_add(1, Ordering::Relaxed);
        Held(self.clone())
    }
}

fn millis(period: time::Duration) -> u64 {
    period.as_millis().try_into().unwrap_or(u64::MAX)
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An attempt in flight on a lane.
#[derive(Debug)]
pub struct Held(Arc<Lane>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a lane open.
#[derive(Debug)]
struct Keeper {
    addr: net::SocketAddr,
    caller: Caller,
    link: watch::Sender<Link>,
    ear: Arc<ear::Ear>,
    idle: Arc<AtomicU64>,
}

impl Keeper {
    async fn run(self) {
        for number in 1.. {
            let session = lane::Session {
                lane: self.caller.incarnation,
                number,
            };
            match connect(self.addr, &self.caller, session).await {
                Ok((connection, report)) => self.hold(connection, report).await,
                Err(gone) => {
                    self.link.send_replace(Link::Down { gone });
                    time::sleep(self.caller.timing.pause).await;
                }
            }
        }
    }

    /// Holds a connection until it ends or goes silent.
    async fn hold(&self, connection: Connection, report: agent::Report) {
        self.ear.note(report, None);
        let connection = Arc::new(connection);
        self.link.send_replace(Link::Up(connection.clone()));
        self.watch(&connection).await;
        self.caller.breaks.inc();
        self.link.send_replace(Link::Down { gone: false });
        connection.closed.send_replace(true);
    }

    /// Sends heartbeats until the connection ends or misses too many of them.
    async fn watch(&self, connection: &Arc<Connection>) {
        let timing = &self.caller.timing;
        let mut sent = facts::Version::default();
        let mut missed = 0;
        while missed < timing.missed {
            // A missed heartbeat is followed by the next at once, to know soon.
            if missed == 0 && self.rest(connection).await {
                return;
            }
            let (facts, version) = self.caller.gossip.changes(sent);
            let beat = agent::Heartbeat {
                session: connection.session,
                peer: facts.is_some().then_some(self.caller.peer),
                facts,
            };
            match self.ear.beat(connection, beat).await {
                ear::Heard::Live => {
                    sent = version;
                    missed = 0;
                }
                ear::Heard::Missed => missed += 1,
                ear::Heard::Ended => return,
            }
        }
    }

    /// Waits until the next heartbeat is due; returns true when the connection ends first.
    async fn rest(&self, connection: &Connection) -> bool {
        let timing = &self.caller.timing;
        let begun = time::Instant::now();
        loop {
            // Until its target is ready an agent is asked often: each wait delays its first work.
            let seen = self.ear.seen.load();
            let ready = seen.as_ref().is_none_or(|seen| seen.report.ready);
            if !ready && begun.elapsed() >= timing.pause {
                return false;
            }
            let wait = if ready { timing.beat } else { timing.pause };
            let ended = time::timeout(wait, connection.client.on_disconnect());
            if ended.await.is_ok() {
                return true;
            }
            let active = self.ear.running.load(Ordering::Relaxed) > 0;
            let idle = time::Duration::from_millis(self.idle.load(Ordering::Relaxed));
            if active || begun.elapsed() >= idle {
                return false;
            }
        }
    }
}

/// Opens one connection; `Err(true)` when the address refuses it.
async fn connect(
    addr: net::SocketAddr,
    caller: &Caller,
    session: lane::Session,
) -> Result<(Connection, agent::Report), bool> {
    let limits = peer::Limits::default()
        .connect(unit::Period(caller.timing.connect))
        .request(CALL_LIMIT)
        .concurrent(CALLS_MAX);
    match peer::connect(addr, &caller.secret, &limits).await {
        Ok(client) => greet(client, caller, session).await.ok_or(false),
        Err(peer::ConnectError::Failed(_)) => Err(refuses(addr, caller.timing.connect).await),
        Err(_) => Err(false),
    }
}

/// Returns whether no process listens at the address.
async fn refuses(addr: net::SocketAddr, limit: time::Duration) -> bool {
    match time::timeout(limit, tokio::net::TcpStream::connect(addr)).await {
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Opens the session; nothing else goes over the connection before this was answered.
async fn greet(
    client: peer::Client,
    caller: &Caller,
    session: lane::Session,
) -> Option<(Connection, agent::Report)> {
    let hello = agent::Hello {
        instance: caller.instance.clone(),
        session,
        peer: Some(caller.peer),
        facts: caller.gossip.all(),
    };
    let answer = time::timeout(caller.timing.connect, client.hello(hello)).await;
    let report = answer.ok()?.ok()?;
    let connection = Connection {
        session,
        incarnation: report.incarnation,
        client,
        closed: watch::channel(false).0,
        trip: Mutex::new(latency::MinRtt::new(time::Instant::now())),
    };
    Some((connection, report))
}

/// Most calls that wait on one connection.
const CALLS_MAX: u32 = 4096;

/// Longest wait for an answer; above every deadline, as silence is found by heartbeats.
const CALL_LIMIT: unit::Period = unit::Period::from_secs(600);
