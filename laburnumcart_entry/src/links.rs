//! Lanes to agents: one connection at a time, monitored by heartbeats and replaced on failure.

mod heartbeat;
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

/// Intervals and timeouts of a lane.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Heartbeat interval while attempts are in flight.
    pub active_period: time::Duration,
    /// Heartbeat interval otherwise.
    pub idle_period: time::Duration,
    /// Time after which an unanswered heartbeat counts as missed.
    pub heartbeat_timeout: time::Duration,
    /// Number of consecutive missed heartbeats that end a connection.
    pub max_missed: u32,
    /// Maximum time to open a connection.
    pub connect_timeout: time::Duration,
    /// Pause between connection attempts, and heartbeat interval until the target is ready.
    pub retry_pause: time::Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            active_period: time::Duration::from_secs(1),
            idle_period: time::Duration::from_secs(2),
            heartbeat_timeout: time::Duration::from_millis(750),
            max_missed: 2,
            connect_timeout: time::Duration::from_millis(500),
            retry_pause: time::Duration::from_millis(200),
        }
    }
}

/// Configuration of a lane, and the state it shares with the process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this process.
    pub instance: id::InstanceName,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
    /// Address of this process's peer port.
    pub peer: net::SocketAddr,
    /// Facts that are exchanged on heartbeats.
    pub gossip: Arc<gossip::Gossip>,
    /// Counter of connections that ended.
    pub closed_connections: Counter,
    /// Counter of queries about attempts whose state is unknown.
    pub outcome_queries: Counter,
    /// Secret that authenticates this process to agents.
    pub secret: secret::Secret,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// State of a lane.
#[derive(Clone, Debug)]
pub enum Link {
    /// The first connection is being opened.
    Connecting,
    /// There is no connection.
    Down {
        /// Whether the address refused the last connection: no process listens there.
        refused: bool,
    },
    /// The connection is open and its heartbeats are answered.
    Up(Arc<Connection>),
}

/// One connection of a lane.
#[derive(Debug)]
pub struct Connection {
    /// Session of the lane.
    pub session: lane::Session,
    /// Incarnation of the agent.
    pub incarnation: id::Incarnation,
    client: peer::Client,
    closed: watch::Sender<bool>,
    min_rtt: Mutex<latency::MinRtt>,
}

impl Connection {
    /// Returns the client; calls must be aborted when [`Connection::closed`] resolves.
    pub fn client(&self) -> &peer::Client {
        &self.client
    }

    /// Records a round-trip time and returns the recent minimum.
    fn record_rtt(&self, elapsed: time::Duration) -> Option<time::Duration> {
        let mut min_rtt = self.min_rtt.lock().unwrap_or_else(PoisonError::into_inner);
        min_rtt.record(elapsed, time::Instant::now());
        min_rtt.get()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow() || !self.client.is_connected()
    }

    /// Waits until the lane gives up the connection.
    pub async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

/// A report of an agent, with the state of this process when it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: agent::Report,
    /// Time of receipt.
    pub received_at: time::Instant,
    /// Number of attempts that this process had in flight there.
    pub own_in_flight: u32,
    /// Recent minimum round-trip time; `None` until a heartbeat was answered on the connection.
    pub min_rtt: Option<time::Duration>,
}

/// Lane to one agent.
#[derive(Debug)]
pub struct Lane {
    /// Address of the agent.
    pub addr: net::SocketAddr,
    /// Number of attempts that this process has in flight there.
    pub in_flight: Arc<AtomicU32>,
    /// Counter of queries about attempts whose state is unknown.
    pub outcome_queries: Counter,
    monitor: Arc<heartbeat::Monitor>,
    /// Heartbeat interval without attempts in flight, in milliseconds.
    idle_millis: Arc<AtomicU64>,
    link: watch::Sender<Link>,
    task: task::AbortHandle,
}

impl Lane {
    /// Opens a lane on a runtime; it reconnects until it is dropped.
    pub fn open(runtime: &runtime::Handle, addr: net::SocketAddr, config: Config) -> Arc<Self> {
        let (link, _) = watch::channel(Link::Connecting);
        let monitor = Arc::new(heartbeat::Monitor {
            addr,
            peer: config.peer,
            timeout: config.timing.heartbeat_timeout,
            gossip: config.gossip.clone(),
            last_report: ArcSwapOption::empty(),
            in_flight: Arc::default(),
        });
        let outcome_queries = config.outcome_queries.clone();
        let keeper = Keeper {
            addr,
            idle_millis: Arc::new(AtomicU64::new(millis(config.timing.idle_period))),
            config,
            link: link.clone(),
            monitor: monitor.clone(),
        };
        let idle = keeper.idle_millis.clone();
        let task = runtime.spawn(keeper.run());
        Arc::new(Self {
            addr,
            in_flight: monitor.in_flight.clone(),
            outcome_queries,
            monitor,
            idle_millis: idle,
            link,
            task: task.abort_handle(),
        })
    }

    /// Returns the connection, if it is open.
    pub fn connection(&self) -> Option<Arc<Connection>> {
        match &*self.link.borrow() {
            Link::Up(connection) if !connection.is_closed() => Some(connection.clone()),
            _ => None,
        }
    }

    /// Exchanges all facts with the agent at once; waits at most [`Timing::heartbeat_timeout`].
    ///
    /// The next regular heartbeat may be two seconds away, and until then content that crashes
    /// targets can be sent to several more.
    pub async fn exchange_facts(&self) {
        let Some(connection) = self.connection() else {
            return;
        };
        let beat = agent::Heartbeat {
            session: connection.session,
            peer: Some(self.monitor.peer),
            facts: Some(self.monitor.gossip.all()),
        };
        self.monitor.send(&connection, beat).await;
    }

    /// Returns the latest report of the agent, if there is one.
    pub fn report(&self) -> Option<Arc<ReceivedReport>> {
        self.monitor.last_report.load_full()
    }

    /// Returns whether the agent accepts work for a service, by its latest report.
    pub fn accepts_work(&self, service: &id::ServiceName) -> bool {
        let ready =
            |report: &agent::Report| report.ready && !report.leaving && report.service == *service;
        self.connection().is_some()
            && self
                .report()
                .is_some_and(|received| ready(&received.report))
    }

    /// Returns whether the first connection is still being opened.
    pub fn is_connecting(&self) -> bool {
        matches!(*self.link.borrow(), Link::Connecting)
    }

    /// Returns a receiver of the lane's state.
    pub fn subscribe(&self) -> watch::Receiver<Link> {
        self.link.subscribe()
    }

    /// Returns the heartbeat interval without attempts in flight.
    pub fn idle_period(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_millis.load(Ordering::Relaxed))
    }

    /// Sets the heartbeat interval without attempts in flight.
    ///
    /// With attempts in flight the interval is always [`Timing::active_period`], so that a silent
    /// connection is detected quickly when work depends on it.
    pub fn set_idle_period(&self, period: time::Duration) {
        self.idle_millis.store(millis(period), Ordering::Relaxed);
    }

    /// Counts an attempt as in flight until the returned guard is dropped.
    pub fn count_attempt(self: &Arc<Self>) -> CountedAttempt {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CountedAttempt(self.clone())
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

/// Guard that counts an attempt as in flight on a lane.
#[derive(Debug)]
pub struct CountedAttempt(Arc<Lane>);

impl Drop for CountedAttempt {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Task that keeps a lane connected.
#[derive(Debug)]
struct Keeper {
    addr: net::SocketAddr,
    config: Config,
    link: watch::Sender<Link>,
    monitor: Arc<heartbeat::Monitor>,
    idle_millis: Arc<AtomicU64>,
}

impl Keeper {
    async fn run(self) {
        for number in 1.. {
            let session = lane::Session {
                lane: self.config.incarnation,
                number,
            };
            match connect(self.addr, &self.config, session).await {
                Ok((connection, report)) => self.serve_connection(connection, report).await,
                Err(refused) => {
                    self.link.send_replace(Link::Down { refused });
                    time::sleep(self.config.timing.retry_pause).await;
                }
            }
        }
    }

    /// Publishes a connection and sends heartbeats on it until it ends or is silent.
    async fn serve_connection(&self, connection: Connection, report: agent::Report) {
        self.monitor.record_report(report, None);
        let connection = Arc::new(connection);
        self.link.send_replace(Link::Up(connection.clone()));
        self.send_heartbeats(&connection).await;
        self.config.closed_connections.inc();
        self.link.send_replace(Link::Down { refused: false });
        connection.closed.send_replace(true);
    }

    /// Sends heartbeats until the connection ends or too many in a row are missed.
    async fn send_heartbeats(&self, connection: &Arc<Connection>) {
        let timing = &self.config.timing;
        let mut sent = facts::Version::default();
        let mut missed = 0;
        while missed < timing.max_missed {
            // After a missed heartbeat the next one is sent at once, for quick failure detection.
            if missed == 0 && self.wait_for_heartbeat(connection).await {
                return;
            }
            let (facts, version) = self.config.gossip.changes(sent);
            let beat = agent::Heartbeat {
                session: connection.session,
                peer: facts.is_some().then_some(self.config.peer),
                facts,
            };
            match self.monitor.send(connection, beat).await {
                heartbeat::Outcome::Answered => {
                    sent = version;
                    missed = 0;
                }
                heartbeat::Outcome::Missed => missed += 1,
                heartbeat::Outcome::Ended => return,
            }
        }
    }

    /// Waits until the next heartbeat is due; returns true if the connection ends first.
    async fn wait_for_heartbeat(&self, connection: &Connection) -> bool {
        let timing = &self.config.timing;
        let started_at = time::Instant::now();
        loop {
            // Until its target is ready, an agent is polled often: it gets no work before that.
            let received = self.monitor.last_report.load();
            let ready = received
                .as_ref()
                .is_none_or(|received| received.report.ready);
            if !ready && started_at.elapsed() >= timing.retry_pause {
                return false;
            }
            let wait = if ready {
                timing.active_period
            } else {
                timing.retry_pause
            };
            let ended = time::timeout(wait, connection.client.on_disconnect());
            if ended.await.is_ok() {
                return true;
            }
            let active = self.monitor.in_flight.load(Ordering::Relaxed) > 0;
            let idle = time::Duration::from_millis(self.idle_millis.load(Ordering::Relaxed));
            if active || started_at.elapsed() >= idle {
                return false;
            }
        }
    }
}

/// Opens one connection; returns `Err(true)` if the address refuses it.
async fn connect(
    addr: net::SocketAddr,
    config: &Config,
    session: lane::Session,
) -> Result<(Connection, agent::Report), bool> {
    let limits = peer::Limits::default()
        .connect(unit::Period(config.timing.connect_timeout))
        .request(CALL_TIMEOUT)
        .concurrent(MAX_CONCURRENT_CALLS);
    match peer::connect(addr, &config.secret, &limits).await {
        Ok(client) => open_session(client, config, session).await.ok_or(false),
        Err(peer::ConnectError::Failed(_)) => {
            Err(is_refused(addr, config.timing.connect_timeout).await)
        }
        Err(_) => Err(false),
    }
}

/// Returns whether the address refuses connections, so that no process listens there.
async fn is_refused(addr: net::SocketAddr, limit: time::Duration) -> bool {
    match time::timeout(limit, tokio::net::TcpStream::connect(addr)).await {
        Ok(Err(e)) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Opens the session; no other call is made on the connection before the agent has answered.
async fn open_session(
    client: peer::Client,
    config: &Config,
    session: lane::Session,
) -> Option<(Connection, agent::Report)> {
    let hello = agent::Hello {
        instance: config.instance.clone(),
        session,
        peer: Some(config.peer),
        facts: config.gossip.all(),
    };
    let answer = time::timeout(config.timing.connect_timeout, client.hello(hello)).await;
    let report = answer.ok()?.ok()?;
    let connection = Connection {
        session,
        incarnation: report.incarnation,
        client,
        closed: watch::channel(false).0,
        min_rtt: Mutex::new(latency::MinRtt::new(time::Instant::now())),
    };
    Some((connection, report))
}

/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: u32 = 4096;

/// Timeout of a call; longer than any deadline, as silent connections are found by heartbeats.
const CALL_TIMEOUT: unit::Period = unit::Period::from_secs(600);
