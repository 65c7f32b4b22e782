//! Callers that use one connection for several requests.

use std::{
    collections,
    sync::{
        Arc,
        atomic, //
    },
    time,
};

use tokio::{
    io::AsyncWriteExt,
    net::tcp,
    sync::watch, //
};

use super::{
    DEADLINE,
    changes,
    response, //
};
use crate::soak::{
    Testbed,
    callers,
    history,
    targets::EVENT_GAP, //
};

/// Pause of a caller between two connections.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// Time for which a caller waits for a response.
const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Time after which callers that leave early do so.
const LEAVE_TIME: time::Duration = time::Duration::from_millis(100);

/// Part of a limit that callers use.
const USED_PART: f64 = 0.8;

/// Longest pause of callers within a body and on an idle connection.
const BODY_PAUSE_MS: u64 = 300;
const IDLE_PAUSE: time::Duration = time::Duration::from_millis(2500);

/// Longest time after which the next request is sent ahead of the response, in milliseconds.
const AHEAD_MS: u64 = 500;

/// Pause of targets before each event of a stream, in milliseconds.
const EVENT_GAP_MS: std::ops::Range<u64> = 15..350;

const BODY: &str = "body of a request";

/// How a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Style {
    Whole,
    PausesInHead,
    PausesInBody,
    HalfCloses,
    Leaves,
}

impl Style {
    fn choose() -> Self {
        match rand::random_range(0..20) {
            0..4 => Self::PausesInHead,
            4..7 => Self::PausesInBody,
            7 => Self::HalfCloses,
            8 => Self::Leaves,
            _ => Self::Whole,
        }
    }

    /// Reports whether the caller may leave before the response.
    fn leaves(self) -> bool {
        matches!(self, Self::HalfCloses | Self::Leaves)
    }
}

/// A request that awaits its response.
struct Pending {
    attempt: String,
    call: history::Call,
    style: Style,
}

impl Pending {
    /// Returns the head and the body to send.
    fn text(&self) -> (String, &'static str) {
        let request = callers::request(&self.attempt, &self.call, DEADLINE)
            .header(EVENT_GAP, rand::random_range(EVENT_GAP_MS))
            .header("content-length", BODY.len())
            .body(())
            .expect("a valid request");
        let mut head = format!("POST {} HTTP/1.1\r\n", request.uri());
        for (name, value) in request.headers() {
            let value = String::from_utf8_lossy(value.as_bytes());
            head += &format!("{name}: {value}\r\n");
        }
        (head + "\r\n", BODY)
    }
}

/// A caller that sends its requests on kept connections.
pub(in crate::soak) struct Caller {
    testbed: Arc<Testbed>,
    number: usize,
    count: usize,
}

impl Caller {
    pub(in crate::soak) fn new(testbed: Arc<Testbed>, number: usize) -> Self {
        Self {
            testbed,
            number,
            count: 0,
        }
    }

    pub(in crate::soak) async fn send_until(mut self, stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            self.use_connection(&stop).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Opens a connection and sends several requests on it, until it ends.
    async fn use_connection(&mut self, stop: &watch::Receiver<bool>) {
        let (gateway, addr) = {
            let gateways = self.testbed.gateways.lock().await;
            let index = rand::random_range(0..gateways.count());
            (index, gateways.caller_addr(index))
        };
        let Ok(stream) = tokio::net::TcpStream::connect(addr).await else {
            return;
        };
        let opened = time::Instant::now();
        let (reader, writer) = stream.into_split();
        let mut connection = Connection {
            incoming: response::Incoming::new(reader, rand::random_ratio(1, 5)),
            writer,
            gateway,
            opened,
            told: atomic::AtomicBool::new(false),
        };
        let mut waiting = collections::VecDeque::new();
        for _ in 0..rand::random_range(1..12) {
            if waiting.is_empty() {
                let mut next = self.next_request(Style::choose());
                connection.send(&self.testbed, &mut next).await;
                waiting.push_back(next);
            }
            let Some(pending) = waiting.pop_front() else {
                break;
            };
            let sends_ahead = !pending.style.leaves() && rand::random_ratio(1, 3);
            let next = sends_ahead.then(|| self.next_request(Style::Whole));
            let (done, next) = connection.exchange(pending, next).await;
            let answered = done.call.complete;
            let goes_on = answered && !done.style.leaves() && !connection.is_told();
            self.record(done);
            waiting.extend(next);
            if !goes_on || *stop.borrow() {
                break;
            }
            if waiting.is_empty() {
                connection.stay_idle(&self.testbed).await;
            }
        }
        // What was sent ahead is answered before the connection ends.
        for mut pending in waiting {
            connection.receive(&mut pending).await;
            self.record(pending);
        }
    }

    fn next_request(&mut self, style: Style) -> Pending {
        self.count += 1;
        let attempt = format!("a-{}-{}", self.number, self.count);
        let routes = ["safe", "once", "tale", "keyed", "extra"];
        let route = routes[rand::random_range(0..routes.len())];
        let call = history::Call {
            route,
            key: (route == "keyed").then(|| "key-1".to_owned()),
            sent: time::Instant::now(),
            status: None,
            body: String::new(),
            complete: false,
            whole: None,
            closed: None,
            fault_free: self.testbed.history.is_fault_free(),
            resumed: None,
        };
        Pending {
            attempt,
            call,
            style,
        }
    }

    fn record(&self, done: Pending) {
        let mut call = done.call;
        if done.style.leaves() && !call.complete {
            call.status = None;
            call.complete = true;
        }
        self.testbed.history.lock().calls.insert(done.attempt, call);
    }
}

/// A connection of a caller.
struct Connection {
    incoming: response::Incoming,
    writer: tcp::OwnedWriteHalf,
    gateway: usize,
    opened: time::Instant,
    /// Whether a response said that the connection will be closed.
    told: atomic::AtomicBool,
}

impl Connection {
    fn is_told(&self) -> bool {
        self.told.load(atomic::Ordering::Acquire)
    }

    /// Receives a response; meanwhile sends the next request, unless told that it is the last.
    async fn exchange(
        &mut self,
        mut pending: Pending,
        next: Option<Pending>,
    ) -> (Pending, Option<Pending>) {
        let (told, writer) = (&self.told, &mut self.writer);
        let sends = async {
            let mut next = next?;
            let delay = time::Duration::from_millis(rand::random_range(0..AHEAD_MS));
            tokio::time::sleep(delay).await;
            if told.load(atomic::Ordering::Acquire) {
                return None;
            }
            next.call.sent = time::Instant::now();
            let (head, body) = next.text();
            if writer.write_all((head + body).as_bytes()).await.is_ok() {
                next.call.whole = Some(time::Instant::now());
            }
            Some(next)
        };
        let receives = receive(&mut self.incoming, told, &mut pending);
        let ((), next) = tokio::join!(receives, sends);
        (pending, next)
    }

    async fn receive(&mut self, pending: &mut Pending) {
        receive(&mut self.incoming, &self.told, pending).await;
    }

    /// Sends a request without a look at the connection.
    async fn send(&mut self, testbed: &Testbed, pending: &mut Pending) {
        let now = time::Instant::now();
        let (_, head_time) = changes::least(&testbed.history.lock().limits_set, now);
        pending.call.sent = now;
        let (mut head, body) = pending.text();
        let (pause, rest) = match pending.style {
            Style::PausesInHead => {
                let rest = head.split_off(rand::random_range(1..head.len()));
                let pause = head_time.mul_f64(rand::random_range(0.0..USED_PART));
                (pause, rest + body)
            }
            Style::PausesInBody => {
                let pause = rand::random_range(0..BODY_PAUSE_MS);
                (time::Duration::from_millis(pause), body.to_owned())
            }
            _ => (time::Duration::ZERO, body.to_owned()),
        };
        if pause.is_zero() {
            head += &rest;
        }
        if self.writer.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            let in_head = pending.style == Style::PausesInHead;
            match in_head {
                true => self.watch_end(testbed, pause, in_head).await,
                false => tokio::time::sleep(pause).await,
            }
            if self.writer.write_all(rest.as_bytes()).await.is_err() {
                return;
            }
        }
        pending.call.whole = Some(time::Instant::now());
        if pending.style == Style::HalfCloses {
            // It fails only on a connection that has ended, which the response shows.
            self.writer.shutdown().await.ok();
        }
    }

    /// Waits within the time for which the gateway keeps idle connections.
    async fn stay_idle(&mut self, testbed: &Testbed) {
        let (idle, _) = changes::least(&testbed.history.lock().limits_set, time::Instant::now());
        let longest = idle.mul_f64(USED_PART).min(IDLE_PAUSE);
        let pause = match rand::random_range(0..4) {
            0 => longest.mul_f64(rand::random_range(0.7..1.0)),
            1 => longest.mul_f64(rand::random_range(0.0..1.0)),
            _ => time::Duration::from_millis(rand::random_range(0..50)),
        };
        self.watch_end(testbed, pause, false).await;
    }

    /// Waits, and records the end of the connection meanwhile.
    async fn watch_end(&mut self, testbed: &Testbed, pause: time::Duration, in_head: bool) {
        let began = time::Instant::now();
        let ended = tokio::time::timeout(pause, self.incoming.wait_end()).await;
        if ended.is_ok_and(|ended| ended) {
            let end = history::EarlyEnd {
                gateway: self.gateway,
                opened: self.opened,
                at: time::Instant::now(),
                waited: began.elapsed(),
                pause,
                in_head,
            };
            testbed.history.lock().early_ends.push(end);
        }
        tokio::time::sleep(pause.saturating_sub(began.elapsed())).await;
    }
}

/// Receives the response of a request, for as long as its caller waits.
async fn receive(
    incoming: &mut response::Incoming,
    told: &atomic::AtomicBool,
    pending: &mut Pending,
) {
    let patience = match pending.style {
        Style::Leaves => LEAVE_TIME,
        _ => PATIENCE,
    };
    let told = || told.store(true, atomic::Ordering::Release);
    let reads = incoming.read_response(&mut pending.call, told);
    if matches!(tokio::time::timeout(patience, reads).await, Ok(None)) {
        pending.call.closed = Some(time::Instant::now());
    }
}
