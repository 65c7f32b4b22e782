//! `route`: where a gateway would send a request now, and why.

use std::{
    fmt,
    net,
    time, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper_util::{
    client::legacy,
    rt, //
};
use serde::Serialize;

use laburnumcart_wire::route as wire;

use crate::{
    args,
    error,
    output, //
};

/// Time limit of the query.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest accepted size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Number of candidates that the text shows: the chosen target and the next two.
const SHOWN_CANDIDATES: usize = 3;

/// HTTP status of a gateway that does not know the page.
const NOT_FOUND: u16 = 404;

/// HTTP status of a question that the gateway cannot answer; the body says why.
const BAD_REQUEST: u16 = 400;

/// Output of `route`.
#[derive(Serialize)]
#[serde(transparent)]
struct Route(wire::Answer);

/// Asks a gateway at its admin address.
pub(super) async fn route(args: &args::Args) -> Result<output::Output, error::Error> {
    let gateway = args.required("gateway")?;
    let address: net::SocketAddr = args::parse_value("gateway", &gateway)?;
    let question = wire::Question {
        host: args.required("host")?,
        path: args.required("path")?,
        method: args.optional("method")?,
        team: args.optional("team")?,
        tokens: args.optional("tokens")?,
        parts: args.repeated("part")?,
    };
    let silent = |cause: String| error::Error::Silent(format!("{address}: {cause}"));
    let response = tokio::time::timeout(QUERY_TIMEOUT, fetch(address, &question)).await;
    let response = response.map_err(|_| silent("no response in time".into()))?;
    let (status, body) = response.map_err(silent)?;
    match status {
        200 => {}
        NOT_FOUND => {
            let page = wire::PATH;
            return Err(error::Error::Unsupported { address, page });
        }
        BAD_REQUEST => {
            let cause = String::from_utf8_lossy(&body);
            return Err(error::Error::Usage(cause.trim_end().to_owned()));
        }
        status => return Err(silent(format!("it responded with status {status}"))),
    }
    let answer = serde_json::from_slice(&body);
    let answer = answer.map_err(|e| silent(format!("its answer cannot be parsed: {e}")))?;
    Ok(output::Output::new(&Route(answer)))
}

async fn fetch(
    address: net::SocketAddr,
    question: &wire::Question,
) -> Result<(u16, Bytes), String> {
    let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{address}{}?{}", wire::PATH, question.to_query());
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok((status, body))
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answer = &self.0;
        let age = answer.age.map_or("unknown".into(), |age| age.to_string());
        writeln!(
            f,
            "gateway {} data_centre={} version={} age={age}",
            answer.instance, answer.data_centre, answer.version
        )?;
        writeln!(
            f,
            "route {} method={} rank={} {}",
            answer.route,
            answer.method,
            answer.rank,
            format_outcome(&answer.outcome)
        )?;
        for queue in &answer.queues {
            let owner = queue.owner.as_ref();
            let owner = owner.map_or("nobody", |owner| owner.as_str());
            writeln!(f, "queue {} owner={owner}", queue.service)?;
        }
        answer.services.iter().try_for_each(|s| write_service(f, s))
    }
}

fn write_service(f: &mut fmt::Formatter<'_>, service: &wire::Service) -> fmt::Result {
    writeln!(
        f,
        "service {} share={:.1}% {}",
        service.service,
        service.share.0 * 100.0,
        format_outcome(&service.outcome)
    )?;
    for candidate in service.candidates.iter().take(SHOWN_CANDIDATES) {
        writeln!(
            f,
            "  target {} data_centre={} share={:.1}% {}",
            candidate.target,
            candidate.data_centre,
            candidate.share.0 * 100.0,
            format_figures(&candidate.figures)
        )?;
    }
    let hidden = service.candidates.len().saturating_sub(SHOWN_CANDIDATES);
    if hidden > 0 {
        writeln!(f, "  further-targets {hidden}")?;
    }
    for excluded in &service.excluded {
        writeln!(
            f,
            "  excluded {} data_centre={} because={}",
            excluded.target,
            excluded.data_centre,
            format_cause(&excluded.cause)
        )?;
    }
    Ok(())
}

fn format_outcome(outcome: &wire::Outcome) -> String {
    match outcome {
        wire::Outcome::Sent => "outcome=sent".into(),
        wire::Outcome::Waits => "outcome=waits".into(),
        wire::Outcome::Refused {
            status,
            reason,
            retry_after,
        } => {
            let after = retry_after.map(|after| format!(" retry_after={after}"));
            let after = after.unwrap_or_default();
            format!("outcome=refused status={status} reason={reason}{after}")
        }
    }
}

fn format_figures(figures: &wire::Figures) -> String {
    match figures {
        wire::Figures::Engine {
            cost_ms,
            uncached_tokens,
            running,
            reported,
            waiting,
            affine,
            paused,
        } => {
            let or_unknown = |n: &Option<u32>| n.map_or("unknown".into(), |n| n.to_string());
            let paused = paused.map(|left| format!(" paused={left}"));
            format!(
                "cost_ms={cost_ms} uncached_tokens={uncached_tokens} running={running} \
                 reported={} waiting={} affine={affine}{}",
                or_unknown(reported),
                or_unknown(waiting),
                paused.unwrap_or_default()
            )
        }
        wire::Figures::Plain {
            expected,
            in_flight,
            ..
        } => format!("expected={expected} in_flight={in_flight}"),
    }
}

fn format_cause(cause: &wire::Cause) -> String {
    match cause {
        wire::Cause::Leaving => "leaving".into(),
        wire::Cause::Evacuated => "evacuated".into(),
        wire::Cause::DataCentre => "data-centre".into(),
        wire::Cause::Silent => "silent".into(),
        wire::Cause::Backoff(left) => format!("backoff:{left}"),
        wire::Cause::Limit(Some(left)) => format!("limit:{left}"),
        wire::Cause::Limit(None) => "limit".into(),
        wire::Cause::Paused(Some(left)) => format!("paused:{left}"),
        wire::Cause::Paused(None) => "paused".into(),
        wire::Cause::Version => "version".into(),
        wire::Cause::New => "new".into(),
    }
}
