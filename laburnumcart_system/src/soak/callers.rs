//! Callers of the soak; they reuse open connections until the gateway closes them.

use std::{
    sync::Arc,
    time, //
};

use bytes::Bytes;
use http::{
    Request,
    request, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::sync::watch;

use crate::soak::{
    Testbed,
    history,
    versions, //
};

/// Deadline of each request; callers close the connection after twice this time.
const DEADLINE: time::Duration = time::Duration::from_millis(3000);

/// Pause of a caller between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(25);

/// Callers cancel one in this many requests early.
const CANCEL_ONE_IN: u32 = 20;

/// Number of contents that many callers send.
const POPULAR: u32 = 4;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A caller that sends one request at a time.
pub(super) struct Caller {
    testbed: Arc<Testbed>,
    number: usize,
    connection: Option<Sender>,
}

impl Caller {
    pub(super) fn new(testbed: Arc<Testbed>, number: usize) -> Self {
        Self {
            testbed,
            number,
            connection: None,
        }
    }

    pub(super) async fn send_until(mut self, stop: watch::Receiver<bool>) {
        let mut count = 0;
        while !*stop.borrow() {
            count += 1;
            let attempt = format!("a-{}-{count}", self.number);
            let call = self.send_request(&attempt, None).await;
            let interrupted = call.and_then(|call| versions::interrupted(&attempt, &call));
            if let Some(resumed) = interrupted.filter(|_| self.testbed.plan.versions) {
                self.connection = None;
                let again = format!("{attempt}-again");
                self.send_request(&again, Some(resumed)).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Sends a request, which may take up a stream, and returns what became of it.
    async fn send_request(
        &mut self,
        attempt: &str,
        resumed: Option<versions::Resumed>,
    ) -> Option<history::Call> {
        let routes = ["safe", "once", "tale", "keyed"];
        let route = match resumed {
            Some(_) => "tale",
            None => routes[rand::random_range(0..routes.len())],
        };
        let key = (route == "keyed").then(|| "key-1".to_owned());
        let call = history::Call {
            route,
            key,
            sent: time::Instant::now(),
            status: None,
            body: String::new(),
            complete: false,
            whole: None,
            closed: None,
            fault_free: self.testbed.history.is_fault_free(),
            resumed,
        };
        self.testbed
            .history
            .lock()
            .calls
            .insert(attempt.into(), call.clone());
        let Some(mut sender) = self.take_connection().await else {
            self.testbed.history.lock().calls.remove(attempt);
            return None;
        };
        let one_in = match self.testbed.plan.versions {
            true => CANCEL_ONE_IN / 5,
            false => CANCEL_ONE_IN,
        };
        let cancels = !call.fault_free && rand::random_ratio(1, one_in);
        let timeout = if cancels { DEADLINE / 30 } else { DEADLINE * 2 };
        let mut result = call;
        let exchanged = exchange(&mut sender, attempt, &mut result);
        if tokio::time::timeout(timeout, exchanged).await.is_ok() && result.complete {
            self.connection = Some(sender);
        }
        if result.status == Some(503) && result.body.contains("quarantined") {
            let refused = &mut self.testbed.history.lock().refused;
            refused.push(attempt.to_owned());
        }
        let seen = result.clone();
        if cancels && !result.complete {
            result.status = None;
            result.complete = true;
        }
        self.testbed
            .history
            .lock()
            .calls
            .insert(attempt.into(), result);
        Some(seen)
    }

    /// Takes the open connection if it still works, or opens one to a random gateway.
    async fn take_connection(&mut self) -> Option<Sender> {
        if let Some(mut kept) = self.connection.take()
            && rand::random_ratio(3, 4)
            && kept.ready().await.is_ok()
        {
            return Some(kept);
        }
        let addr = {
            let gateways = self.testbed.gateways.lock().await;
            gateways.caller_addr(rand::random_range(0..gateways.count()))
        };
        let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move { connection.await.ok() });
        Some(sender)
    }
}

/// Sends a request and records the response in `call` as it arrives.
async fn exchange(sender: &mut Sender, attempt: &str, call: &mut history::Call) {
    let request = request(attempt, call, DEADLINE)
        .body(Full::default())
        .expect("a valid request");
    call.whole = Some(time::Instant::now());
    if receive(sender, request, call).await.is_none() {
        call.closed = Some(time::Instant::now());
    }
}

/// Sends a request and records the response; returns `None` if it ends early.
async fn receive(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    call: &mut history::Call,
) -> Option<()> {
    let response = sender.send_request(request).await.ok()?;
    call.status = Some(response.status().as_u16());
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        call.body.push_str(&String::from_utf8_lossy(&data));
    }
    call.complete = true;
    Some(())
}

/// Returns the head of a request.
pub(super) fn request(
    attempt: &str,
    call: &history::Call,
    deadline: time::Duration,
) -> request::Builder {
    // Some contents are sent by many callers.
    let content = match rand::random_ratio(1, 4) {
        true => format!("popular-{}", rand::random_range(0..POPULAR)),
        false => attempt.to_owned(),
    };
    let mut request = Request::post(format!("/{}/{content}", call.route))
        .header("host", "soak.example")
        .header("x-laburnumcart-attempt-id", attempt)
        .header(
            "x-laburnumcart-deadline-ms",
            deadline.as_millis().to_string(),
        );
    if call.route == "tale" {
        request = request
            .header("x-laburnumcart-chunks", "2")
            .header("x-laburnumcart-chunk-key", format!("key of {attempt}"))
            .header("x-laburnumcart-token-usage", "100,20");
    }
    if let Some(key) = &call.key {
        request = request.header("x-api-key", key);
    }
    if let Some(resumed) = &call.resumed {
        request = request
            .header("resumes", &resumed.attempt)
            .header("last-event-id", resumed.after.to_string());
    }
    request
}
