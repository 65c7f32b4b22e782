//! State of the head and of the processes.

use std::{
    fmt,
    net, //
};

use serde::Serialize;
use tokio::task;

use laburnumcart::{
    head,
    id, //
};
use laburnumcart_platform::store::{
    self,
    Store, //
};

use crate::{
    args,
    error,
    output,
    peers,
    settings, //
};

/// What `status` prints.
#[derive(Serialize)]
struct Status {
    head: Result<Option<head::Head>, String>,
    processes: Vec<Process>,
    /// Processes that have the highest generation seen, in the head or in any process.
    current: usize,
}

/// One process, or why it could not be asked.
#[derive(Serialize)]
struct Process {
    address: net::SocketAddr,
    state: Result<peers::State, String>,
}

/// Shows the head and the processes.
pub(super) async fn status(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let addrs = addresses(args, &settings)?;
    let mut asked = task::JoinSet::new();
    for address in addrs {
        let fleet = settings.settings.fleet.clone();
        asked.spawn(async move {
            let state = ask(address, &fleet).await;
            Process {
                address,
                state: state.map_err(|e| e.to_string()),
            }
        });
    }
    let head = read_head(&settings.store()).await;
    let mut processes = asked.join_all().await;
    processes.sort_by_key(|process| process.address);
    let silent = processes.iter().filter(|process| process.state.is_err());
    let silent = silent.count();
    if head.is_err() && silent == processes.len() {
        return Err(error::Error::Unavailable);
    }
    // A script that waits for a bundle to be in force must not take a partial view for the whole.
    let code = match silent {
        0 => 0,
        _ => error::Error::Unavailable.code(),
    };
    let current = count_current(&head, &processes);
    let status = Status {
        head,
        processes,
        current,
    };
    Ok(output::Output::new(&status).exit(code))
}

/// Counts the processes that have the highest generation seen.
fn count_current(head: &Result<Option<head::Head>, String>, processes: &[Process]) -> usize {
    let generation = |process: &Process| process.state.as_ref().ok().map(peers::State::generation);
    let accepted = head.as_ref().ok().and_then(Option::as_ref);
    let accepted = accepted.map(|head| head.accepted.generation);
    let highest = processes
        .iter()
        .filter_map(generation)
        .chain(accepted)
        .max();
    // Generation 0 is the lack of a bundle, not one that could be in force.
    let highest = highest.filter(|highest| *highest > id::Generation(0));
    let current = |process: &&Process| generation(process) == highest && highest.is_some();
    processes.iter().filter(current).count()
}

/// Returns the addresses from the command line, or else those from the settings.
pub(super) fn addresses(
    args: &args::Args,
    settings: &settings::Checked,
) -> Result<Vec<net::SocketAddr>, error::Error> {
    if args.free().is_empty() {
        return Ok(settings.peers().to_vec());
    }
    let texts = args.free().iter();
    texts
        .map(|text| args::parse_value("ADDRESS", text))
        .collect()
}

async fn ask(
    address: net::SocketAddr,
    fleet: &laburnumcart_daemon::settings::Fleet,
) -> Result<peers::State, error::Error> {
    peers::Process::connect(address, fleet).await?.state().await
}

async fn read_head(store: &impl Store) -> Result<Option<head::Head>, String> {
    let object = store.get(head::KEY).await;
    let object = object.map_err(|e: store::Failure| e.to_string())?;
    let head = object.map(|object| head::Head::parse(&object.value));
    head.transpose().map_err(|e| e.to_string())
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.head {
            Ok(Some(head)) => {
                for (number, a) in head.history().enumerate() {
                    let mark = if number == 0 { "accepted" } else { "earlier" };
                    writeln!(f, "{mark} generation={} digest={}", a.generation, a.digest)?;
                }
            }
            Ok(None) => writeln!(f, "no bundle was accepted yet")?,
            Err(cause) => writeln!(f, "head unknown: {cause}")?,
        }
        for process in &self.processes {
            writeln!(f, "{process}")?;
        }
        writeln!(
            f,
            "in force in {} of {} processes",
            self.current,
            self.processes.len()
        )
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.address)?;
        match &self.state {
            Ok(state) => describe(f, state),
            Err(cause) => write!(f, "silent: {cause}"),
        }
    }
}

fn describe(f: &mut fmt::Formatter<'_>, state: &peers::State) -> fmt::Result {
    match state {
        peers::State::Entry(s) => write!(
            f,
            "entry {} data_centre={} generation={} leaving={} running={} agents={}",
            s.instance, s.data_centre, s.generation, s.leaving, s.running, s.agents
        ),
        peers::State::Agent(r) => write!(
            f,
            "agent {} service={} data_centre={} generation={} leaving={} ready={} running={} queued={}",
            r.target,
            r.service,
            r.data_centre,
            r.facts.generation,
            r.leaving,
            r.ready,
            r.load.running,
            r.load.queued
        ),
    }
}
