//! `status`: the accepted generations and the state of the processes.

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

/// Output of `status`.
#[derive(Serialize)]
struct Status {
    head: Result<Option<head::Head>, String>,
    processes: Vec<Process>,
    /// Number of processes that have the highest known generation, of the head or of any process.
    current: usize,
}

/// State of one process, or the error of the query.
#[derive(Serialize)]
struct Process {
    address: net::SocketAddr,
    state: Result<peers::State, String>,
}

/// Reports the head and the state of the processes, which are queried all at once.
pub(super) async fn status(args: &args::Args) -> Result<output::Output, error::Error> {
    let settings = args.settings()?;
    let addrs = process_addresses(args, &settings)?;
    let mut queries = task::JoinSet::new();
    for address in addrs {
        let fleet = settings.settings.fleet.clone();
        queries.spawn(async move {
            let state = query_state(address, &fleet).await;
            Process {
                address,
                state: state.map_err(|e| e.to_string()),
            }
        });
    }
    let head = read_head(&settings.store()).await;
    let mut processes = queries.join_all().await;
    processes.sort_by_key(|process| process.address);
    let failed = processes.iter().filter(|process| process.state.is_err());
    let failed = failed.count();
    if head.is_err() && failed == processes.len() {
        return Err(error::Error::Unavailable);
    }
    // The exit code shows that the view is partial, as a script may wait until a bundle is in force
    // in all processes.
    let code = match failed {
        0 => 0,
        _ => error::Error::Unavailable.exit_code(),
    };
    let current = count_current(&head, &processes);
    let status = Status {
        head,
        processes,
        current,
    };
    Ok(output::Output::new(&status).with_exit_code(code))
}

/// Counts the processes that have the highest known generation.
fn count_current(head: &Result<Option<head::Head>, String>, processes: &[Process]) -> usize {
    let generation = |process: &Process| process.state.as_ref().ok().map(peers::State::generation);
    let accepted = head.as_ref().ok().and_then(Option::as_ref);
    let accepted = accepted.map(|head| head.accepted.generation);
    let highest = processes
        .iter()
        .filter_map(generation)
        .chain(accepted)
        .max();
    // Generation 0 means that there is no bundle.
    let highest = highest.filter(|highest| *highest > id::Generation(0));
    let current = |process: &&Process| generation(process) == highest && highest.is_some();
    processes.iter().filter(current).count()
}

/// Returns the addresses of the command line, or those of the settings if there are none.
pub(super) fn process_addresses(
    args: &args::Args,
    settings: &settings::Validated,
) -> Result<Vec<net::SocketAddr>, error::Error> {
    if args.positional().is_empty() {
        return Ok(settings.peers().to_vec());
    }
    let texts = args.positional().iter();
    texts
        .map(|text| args::parse_value("ADDRESS", text))
        .collect()
}

async fn query_state(
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
                for (number, accepted) in head.history().enumerate() {
                    let mark = if number == 0 { "accepted" } else { "earlier" };
                    writeln!(
                        f,
                        "{mark} generation={} digest={}",
                        accepted.generation, accepted.digest
                    )?;
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
            Ok(state) => write_state(f, state),
            Err(cause) => write!(f, "silent: {cause}"),
        }
    }
}

fn write_state(f: &mut fmt::Formatter<'_>, state: &peers::State) -> fmt::Result {
    match state {
        peers::State::Entry(status) => write!(
            f,
            "entry {} data_centre={} generation={} leaving={} running={} agents={}",
            status.instance,
            status.data_centre,
            status.generation,
            status.leaving,
            status.running,
            status.agents
        ),
        peers::State::Agent(report) => write!(
            f,
            "agent {} service={} data_centre={} generation={} leaving={} ready={} running={} queued={}",
            report.target,
            report.service,
            report.data_centre,
            report.facts.generation,
            report.leaving,
            report.ready,
            report.load.running,
            report.load.queued
        ),
    }
}
