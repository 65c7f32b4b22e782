//! Measures the cost of the control plane by fleet size, with the real binaries on loopback.
//!
//! Each section varies one size and fits a line through its points. Processor time and byte counts
//! remain valid on a busy host; wall-clock times do not.

pub mod bundles;
pub mod facts;
pub mod fake_agents;
pub mod fit;
pub mod fixture;
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
///
/// A lane is the series of successive connections from one entry to one agent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Section {
    /// Cost of an entry by the number of its lanes, with its calls to the object service.
    Entry,
    /// Cost of an entry by the number of agents in the list of instances.
    List,
    /// Cost of an entry by the number of entries in the list of instances, with few targets in each
    /// service.
    Peers,
    /// Cost of an agent by the number of lanes to it, with its calls to the object service.
    Agent,
    /// Cost of entries and agents by the number of teams in the bundle.
    Bundle,
    /// Cost of an entry by the number of target crashes that heartbeats report to it as facts.
    Facts,
    /// Cost of an entry and its agents by the number of requests.
    Traffic,
}

/// All sections in the order in which they are printed.
pub const SECTIONS: [Section; 7] = [
    Section::Entry,
    Section::List,
    Section::Peers,
    Section::Agent,
    Section::Bundle,
    Section::Facts,
    Section::Traffic,
];

/// Error in the command line.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// An option is unknown or lacks its value.
    #[display("{_0}")]
    Syntax(#[error(not(source))] String),
    /// The value of an option is invalid.
    #[display("invalid value {_0:?}")]
    Value(#[error(not(source))] String),
}

/// Action that the command line requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Prints the text and exits.
    Help(String),
    /// Measures the sections.
    Run(Options),
}

/// Sections to measure and the length of a measurement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Sections in order.
    pub sections: Vec<Section>,
    /// Time over which the idle cost is measured.
    pub window: time::Duration,
}

/// Parses the arguments that follow the program's name.
pub fn parse_args(args: impl IntoIterator<Item = String>) -> Result<Command, UsageError> {
    let mut options = getopts::Options::new();
    options
        .optmulti("", "section", "one section; all unless set", "NAME")
        .optopt(
            "",
            "window",
            "duration of each idle measurement, 60 unless set",
            "SECONDS",
        )
        .optflag("h", "help", "print this text");
    let matches = options.parse(args);
    let matches = matches.map_err(|e| UsageError::Syntax(e.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(
            options.usage("Usage: laburnum-slopes [options]"),
        ));
    }
    let names = matches.opt_strs("section");
    let sections: Result<Vec<Section>, _> = names.iter().map(|name| parse_value(name)).collect();
    let window = matches.opt_str("window").unwrap_or_else(|| "60".into());
    let sections = match sections? {
        empty if empty.is_empty() => SECTIONS.to_vec(),
        sections => sections,
    };
    Ok(Command::Run(Options {
        sections,
        window: time::Duration::from_secs(parse_value(&window)?),
    }))
}

fn parse_value<T: str::FromStr>(text: &str) -> Result<T, UsageError> {
    text.parse().map_err(|_| UsageError::Value(text.into()))
}

/// Measures the sections one after another and prints their tables.
pub async fn measure_sections(options: &Options) {
    for section in &options.sections {
        let window = options.window;
        let tables = match section {
            Section::Entry => vec![idle::measure_entry_lanes(window).await],
            Section::List => vec![idle::measure_listed_agents(window).await],
            Section::Peers => vec![idle::measure_listed_entries(window).await],
            Section::Agent => vec![idle::measure_agent_lanes(window).await],
            Section::Bundle => bundles::measure().await,
            Section::Facts => facts::measure().await,
            Section::Traffic => vec![traffic::measure().await],
        };
        for table in tables {
            println!("{table}");
        }
    }
}
