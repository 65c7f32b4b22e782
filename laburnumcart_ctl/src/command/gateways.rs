//! What gateways know, as each of them tells.

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

use laburnumcart_wire::gateway as wire;

use crate::{
    args,
    error,
    output, //
};

/// Longest wait for one gateway.
const LIMIT: time::Duration = time::Duration::from_secs(3);

/// Largest state that is read.
const STATE_MAX: usize = 4 << 20;

/// What `gateways` prints.
#[derive(Serialize)]
struct Gateways(Vec<Gateway>);

/// One gateway, or why it could not be asked.
#[derive(Serialize)]
struct Gateway {
    address: net::SocketAddr,
    state: Result<wire::State, String>,
}

/// Asks gateways at their admin addresses.
pub(super) async fn gateways(args: &args::Args) -> Result<output::Output, error::Error> {
    let mut asked = task::JoinSet::new();
    for text in args.free() {
        let address: net::SocketAddr = args::parse_value("ADDRESS", text)?;
        asked.spawn(async move {
            let state = match tokio::time::timeout(LIMIT, ask(address)).await {
                Ok(state) => state,
                Err(_) => Err("no answer in time".into()),
            };
            Gateway { address, state }
        });
    }
    let mut all = asked.join_all().await;
    all.sort_by_key(|gateway| gateway.address);
    let silent = all.iter().filter(|gateway| gateway.state.is_err()).count();
    if silent == all.len() {
        return Err(error::Error::Unavailable);
    }
    let code = match silent {
        0 => 0,
        _ => error::Error::Unavailable.code(),
    };
    Ok(output::Output::new(&Gateways(all)).exit(code))
}

async fn ask(address: net::SocketAddr) -> Result<wire::State, String> {
    let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{address}{}", wire::STATE);
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let answer = client.get(uri).await.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("it answers {}", answer.status()));
    }
    let body = Limited::new(answer.into_body(), STATE_MAX).collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|error| format!("its state cannot be read: {error}"))
}

impl Gateways {
    fn states(&self) -> impl Iterator<Item = &wire::State> {
        self.0
            .iter()
            .filter_map(|gateway| gateway.state.as_ref().ok())
    }

    /// Lists what some gateways see, with those that see it.
    fn seen_by<T: Ord>(
        &self,
        list: impl Fn(&wire::State) -> Vec<T>,
    ) -> collections::BTreeMap<T, Vec<&str>> {
        let mut all: collections::BTreeMap<T, Vec<&str>> = collections::BTreeMap::new();
        for state in self.states() {
            for seen in list(state) {
                all.entry(seen).or_default().push(state.instance.as_str());
            }
        }
        all
    }

    /// Writes what is seen, by whom if not by all.
    fn write<T: Ord + fmt::Display>(
        &self,
        f: &mut fmt::Formatter<'_>,
        list: impl Fn(&wire::State) -> Vec<T>,
    ) -> fmt::Result {
        let count = self.states().count();
        for (seen, by) in self.seen_by(list) {
            match by.len() == count {
                true => writeln!(f, "{seen}")?,
                false => writeln!(f, "{seen} seen-by={}", by.join(","))?,
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
        self.write(f, |state| {
            state.evacuated.iter().flatten().map(evacuated).collect()
        })?;
        self.write(f, |state| state.queues.iter().map(queue).collect())?;
        self.write(f, |state| state.held.iter().map(held).collect())
    }
}

impl fmt::Display for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match &self.state {
            Ok(state) => state,
            Err(cause) => return write!(f, "{} silent: {cause}", self.address),
        };
        let known = |value: Option<String>| value.unwrap_or_else(|| "unknown".into());
        let readers: Vec<&str> = state.readers.iter().map(|name| name.as_str()).collect();
        write!(
            f,
            "{} gateway {} data_centre={} version={} age={} leaving={} late={} members={} readers={} targets={}",
            self.address,
            state.instance,
            state.data_centre,
            known(state.version.map(|version| version.to_string())),
            known(state.age.map(|age| age.to_string())),
            state.leaving,
            state.late,
            state.members,
            readers.join(","),
            state.targets
        )?;
        for place in state.evacuated.iter().flatten() {
            write!(f, " evacuated={}:{}", place.data_centre, place.known)?;
        }
        match state.evacuated {
            Some(_) => Ok(()),
            None => write!(f, " evacuated=unknown"),
        }
    }
}

fn evacuated(place: &wire::Evacuated) -> String {
    format!("evacuated {}", place.data_centre)
}

fn queue(queue: &wire::Queue) -> String {
    let owner = queue.owner.as_ref();
    let owner = owner.map_or("nobody", |owner| owner.as_str());
    format!("queue {} owner={owner}", queue.service)
}

fn held(held: &wire::Restricted) -> String {
    let cause = |cause: &wire::Cause| match cause {
        wire::Cause::Leaving => "leaving".to_owned(),
        wire::Cause::Evacuated => "evacuated".to_owned(),
        wire::Cause::Cold(_) => "cold".to_owned(),
        wire::Cause::Limit(rate) => format!("limit:{rate}"),
        wire::Cause::Backoff(_) => "backoff".to_owned(),
    };
    let causes: Vec<_> = held.causes.iter().map(cause).collect();
    format!(
        "target {} service={} because={}",
        held.target,
        held.service,
        causes.join(",")
    )
}
