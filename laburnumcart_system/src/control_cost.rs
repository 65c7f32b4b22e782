//! Measures what control costs as the fleet grows, with the real binaries on loopback.
//!
//! Each section varies one size and fits a line through its points. Processor time and bytes of a
//! process hold on a busy machine too; times by the clock do not.

pub mod bundles;
pub mod fake_agents;
pub mod fit;
pub mod fixture;
pub mod gossip;
pub mod idle;
pub mod lanes;
pub mod traffic;
pub mod usage;

use std::{
    str,
    time, //
};

use derive_more::{
    Display,
    Error, //
};

/// One group of measurements.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Section {
    /// Entry by lanes to agents, with its calls of the object service.
    Entry,
    /// Entry by agents in the list of instances.
    List,
    /// Entry by entries in the list of instances, before services of few targets.
    Peers,
    /// Agent by lanes of entries, with its calls of the object service.
    Agent,
    /// Both by teams in the bundle.
    Bundle,
    /// Both by facts in the table.
    Facts,
    /// Both by requests.
    Traffic,
}

/// All sections in the order of the page.
pub const SECTIONS: [Section; 7] = [
    Section::Entry,
    Section::List,
    Section::Peers,
    Section::Agent,
    Section::Bundle,
    Section::Facts,
    Section::Traffic,
];

/// A command line that is not understood.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// Unknown option or missing value.
    #[display("{_0}")]
    Syntax(#[error(not(source))] String),
    /// A value that is not of the wanted kind.
    #[display("invalid value {_0:?}")]
    Value(#[error(not(source))] String),
}

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the text and exit.
    Help(String),
    /// Measure.
    Run(Options),
}

/// What to measure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Sections in order.
    pub sections: Vec<Section>,
    /// Time over which the cost at rest is taken.
    pub window: time::Duration,
}

/// Parses the arguments after the program's name.
pub fn parse_args(args: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let mut options = getopts::Options::new();
    options
        .optmulti("", "section", "one section; all unless set", "NAME")
        .optopt("", "window", "seconds at rest, 60 unless set", "SECONDS")
        .optflag("h", "help", "print this text");
    let matches = options.parse(args);
    let matches = matches.map_err(|e| UsageError::Syntax(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(
            options.usage("Usage: laburnum-slopes [options]"),
        ));
    }
    let names = matches.opt_strs("section");
    let named: Result<Vec<Section>, _> = names.iter().map(|name| value(name)).collect();
    let window = matches.opt_str("window").unwrap_or_else(|| "60".into());
    let sections = match named? {
        none if none.is_empty() => SECTIONS.to_vec(),
        some => some,
    };
    Ok(Command::Run(Options {
        sections,
        window: time::Duration::from_secs(value(&window)?),
    }))
}

fn value<T: str::FromStr>(text: &str) -> Result<T, UsageError> {
    text.parse().map_err(|_| UsageError::Value(text.into()))
}

/// Runs the sections one after another and prints a table for each.
pub async fn measure_sections(options: &Options) {
    for section in &options.sections {
        let window = options.window;
        let tables = match section {
            Section::Entry => vec![idle::measure_entry_lanes(window).await],
            Section::List => vec![idle::measure_listed_agents(window).await],
            Section::Peers => vec![idle::measure_listed_entries(window).await],
            Section::Agent => vec![idle::measure_agent_lanes(window).await],
            Section::Bundle => bundles::measure().await,
            Section::Facts => gossip::measure().await,
            Section::Traffic => vec![traffic::measure().await],
        };
        for table in tables {
            println!("{table}");
        }
    }
}
