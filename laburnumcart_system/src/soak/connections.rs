//! Callers that keep connections and use them in all ways, beside changes in series.
//!
//! They send without looking, pipeline, pause in heads and bodies, read slowly, half-close and stay
//! idle, while configurations, signals and pauses of processes come in series and overlap.

mod caller;
mod changes;
mod response;

use std::time;

use crate::soak::{
    Testbed,
    history::{
        EarlyEnd,
        State, //
    },
};

pub(super) use self::{
    caller::Caller,
    changes::{
        Limits,
        inject,
        set_timeouts, //
    },
};

/// Deadline of each request, and the shortest timeout of a route.
pub(super) const DEADLINE: time::Duration = time::Duration::from_secs(6);

/// Time from the signal to stop in which a gateway ends its connections.
const STOP_TIME: time::Duration = time::Duration::from_secs(12);

/// Time after the last byte that was sent in which it may cross the close of its connection.
pub(super) const CLOSE_SLACK: time::Duration = time::Duration::from_millis(200);

/// Event of a connection that ends with a request not answered as a whole, and excused causes.
const ENDED_EVENT: &str = "connection-ended";
const EXCUSED_CAUSES: [&str; 2] = [" cause=caller-left ", " cause=crossed "];

/// Cause that is excused shortly before the event of an exit.
const EXIT_CAUSE: &str = " cause=exiting ";
const EXIT_EVENT: &str = "stopped";

/// Time from such a refusal to the exit: 0.5 s, and 2 s for which the process may stand still.
const EXIT_TIME: time::Duration = time::Duration::from_secs(3);
const DAY: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Records the connections that gateways have ended within a request.
pub(super) async fn check_logs(testbed: &Testbed) {
    let gateways = testbed.gateways.lock().await;
    let exits = gateways.log_lines(EXIT_EVENT);
    let is_excused = |name: &str, line: &str| {
        EXCUSED_CAUSES.iter().any(|cause| line.contains(cause))
            || line.contains(EXIT_CAUSE) && exits.iter().any(|exit| is_before(name, line, exit))
    };
    for (name, line) in gateways.log_lines(ENDED_EVENT) {
        if !is_excused(name, &line) {
            testbed.history.record_breach(format!("{name}: {line}"));
        }
    }
}

/// Reports whether the gateway exited shortly after it had logged a line.
fn is_before(name: &str, line: &str, (exited, exit): &(&str, String)) -> bool {
    let (Some(logged), Some(end)) = (logged_at(line), logged_at(exit)) else {
        return false;
    };
    // Midnight may come between the two.
    let elapsed = match end < logged {
        true => end + DAY - logged,
        false => end - logged,
    };
    name == *exited && elapsed < EXIT_TIME
}

/// Returns the time of the day at which a line was logged.
fn logged_at(line: &str) -> Option<time::Duration> {
    let (_, rest) = line.split_once('T')?;
    let (text, _) = rest.split_once('Z')?;
    let mut seconds = 0.0;
    for part in text.split(':') {
        seconds = seconds * 60.0 + part.parse::<f64>().ok()?;
    }
    time::Duration::try_from_secs_f64(seconds).ok()
}

/// Lists the connections that ended while their callers still had time to send.
pub(super) fn breaches(state: &State) -> Vec<String> {
    // A stop may end an idle connection, but not one within the time for a head that has begun.
    let is_stopped = |end: &EarlyEnd| {
        let mut stops = state.stops.iter();
        stops.any(|(gateway, at)| {
            *gateway == end.gateway && *at + STOP_TIME > end.opened && *at <= end.at
        })
    };
    let has_begun = |end: &EarlyEnd| end.in_head && end.waited >= CLOSE_SLACK;
    let ends = state.early_ends.iter();
    let early = ends.filter(|end| has_begun(end) || !is_stopped(end));
    let text = |end: &EarlyEnd| {
        let place = if end.in_head {
            "within a head"
        } else {
            "while idle"
        };
        format!(
            "gateway-{} ended a connection {place}, {:?} into a pause of {:?}",
            end.gateway, end.waited, end.pause
        )
    };
    early.map(text).collect()
}
