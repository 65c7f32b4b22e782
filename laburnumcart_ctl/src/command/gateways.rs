//! `gateways`: merged view of the state pages of gateways.

use std::{
    collections,
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
use tokio::task;

use laburnumcart::id;
use laburnumcart_wire::gateway as wire;

use crate::{
    args,
    error,
    output, //
};

/// Time limit of the query to one gateway.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest accepted size of a state page, in bytes.
const MAX_STATE_BYTES: usize = 4 << 20;

/// Output of `gateways`.
#[derive(Serialize)]
struct Gateways(Vec<Gateway>);

/// State of one gateway, or the error of the query.
#[derive(Serialize)]
struct Gateway {
    address: net::SocketAddr,
    state: Result<wire::State, String>,
}

/// Queries gateways at their admin addresses, all at once.
pub(super) async fn gateways(args: &args::Args) -> Result<output::Output, error::Error> {
    let mut queries = task::JoinSet::new();
    for text in args.positional() {
        let address: net::SocketAddr = args::parse_value("ADDRESS", text)?;
        queries.spawn(async move {
            let state = match tokio::time::timeout(QUERY_TIMEOUT, fetch_state(address)).await {
                Ok(state) => state,
                Err(_) => Err("no response in time".into()),
            };
            Gateway { address, state }
        });
    }
    let mut all = queries.join_all().await;
    all.sort_by_key(|gateway| gateway.address);
    let failed = all.iter().filter(|gateway| gateway.state.is_err()).count();
    if failed == all.len() {
        return Err(error::Error::Unavailable);
    }
    let code = match failed {
        0 => 0,
        _ => error::Error::Unavailable.exit_code(),
    };
    Ok(output::Output::new(&Gateways(all)).with_exit_code(code))
}

async fn fetch_state(address: net::SocketAddr) -> Result<wire::State, String> {
    let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{address}{}", wire::STATE);
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("it responded with status {}", response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_STATE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| format!("its state cannot be parsed: {error}"))
}

impl Gateways {
    fn states(&self) -> impl Iterator<Item = &wire::State> {
        self.0
            .iter()
            .filter_map(|gateway| gateway.state.as_ref().ok())
    }

    /// Maps each item of the gateways' lists to the names of the gateways that report it.
    fn reporters<T: Ord>(
        &self,
        list: impl Fn(&wire::State) -> Vec<T>,
    ) -> collections::BTreeMap<T, Vec<&str>> {
        let mut all: collections::BTreeMap<T, Vec<&str>> = collections::BTreeMap::new();
        for state in self.states() {
            for item in list(state) {
                all.entry(item).or_default().push(state.instance.as_str());
            }
        }
        all
    }

    /// Writes the items of the gateways' lists, each with its reporters unless all report it.
    fn write_merged<T: Ord + fmt::Display>(
        &self,
        f: &mut fmt::Formatter<'_>,
        list: impl Fn(&wire::State) -> Vec<T>,
    ) -> fmt::Result {
        let count = self.states().count();
        for (item, reporters) in self.reporters(list) {
            match reporters.len() == count {
                true => writeln!(f, "{item}")?,
                false => writeln!(f, "{item} seen-by={}", reporters.join(","))?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Gateways {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for gateway in &self.0 {
            writeln!(f, "{gateway}")?;
        }
        self.write_merged(f, |state| {
            state
                .evacuated
                .iter()
                .flatten()
                .map(format_evacuated)
                .collect()
        })?;
        self.write_merged(f, |state| state.queues.iter().map(format_queue).collect())?;
        self.write_merged(f, |state| {
            state.versions.iter().map(format_version).collect()
        })?;
        self.write_merged(f, |state| {
            state.held.iter().map(format_restricted).collect()
        })
    }
}

impl fmt::Display for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match &self.state {
            Ok(state) => state,
            Err(cause) => return write!(f, "{} silent: {cause}", self.address),
        };
        let or_unknown = |value: Option<String>| value.unwrap_or_else(|| "unknown".into());
        let readers: Vec<&str> = state.readers.iter().map(|name| name.as_str()).collect();
        write!(
            f,
            "{} gateway {} data_centre={} version={} age={} leaving={} late={} members={} readers={} targets={}",
            self.address,
            state.instance,
            state.data_centre,
            or_unknown(state.version.map(|version| version.to_string())),
            or_unknown(state.age.map(|age| age.to_string())),
            state.leaving,
            state.late,
            state.members,
            readers.join(","),
            state.targets
        )?;
        if state.refused_parts > 0 {
            write!(f, " refused_parts={}", state.refused_parts)?;
        }
        for evacuated in state.evacuated.iter().flatten() {
            write!(
                f,
                " evacuated={}:{}",
                evacuated.data_centre, evacuated.known
            )?;
        }
        match state.evacuated {
            Some(_) => Ok(()),
            None => write!(f, " evacuated=unknown"),
        }
    }
}

fn format_evacuated(evacuated: &wire::Evacuated) -> String {
    format!("evacuated {}", evacuated.data_centre)
}

fn format_queue(queue: &wire::Queue) -> String {
    let owner = queue.owner.as_ref();
    let owner = owner.map_or("nobody", |owner| owner.as_str());
    format!("queue {} owner={owner}", queue.service)
}

fn format_version(version: &wire::Version) -> String {
    format!(
        "version {} of {} targets={}",
        id::version_label(version.version.as_ref()),
        version.service,
        version.targets
    )
}

fn format_restricted(target: &wire::Restricted) -> String {
    let cause = |cause: &wire::Cause| match cause {
        wire::Cause::Leaving => "leaving".to_owned(),
        wire::Cause::Evacuated => "evacuated".to_owned(),
        wire::Cause::Cold(_) => "cold".to_owned(),
        wire::Cause::Limit(rate) => format!("limit:{rate}"),
        wire::Cause::Backoff(_) => "backoff".to_owned(),
    };
    let causes: Vec<_> = target.causes.iter().map(cause).collect();
    format!(
        "target {} service={} because={}",
        target.target,
        target.service,
        causes.join(",")
    )
}
