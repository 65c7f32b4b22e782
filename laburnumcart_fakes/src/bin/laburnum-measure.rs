//! Measures cases on a running system and writes tables and a plot.

use std::{
    fs,
    net,
    path,
    process,
    time, //
};

use getopts::{
    Matches,
    Options, //
};
use laburnumcart::unit;
use laburnumcart_fakes::{
    load::plan,
    measure::{
        case,
        plot,
        runner,
        table, //
    },
    program,
};

/// Default duration of each run.
const DEFAULT_DURATION: time::Duration = time::Duration::from_secs(5);

/// Offered loads of the plot, relative to capacity.
const SWEEP_LOADS: [f64; 6] = [0.5, 0.9, 1.2, 1.6, 2.2, 3.0];

/// Parsed arguments.
struct Arguments {
    plan: plan::Plan,
    cases: Vec<case::Case>,
    sweep: Vec<case::Case>,
    runner: runner::Runner,
    out: path::PathBuf,
}

fn main() -> process::ExitCode {
    program::run(
        "laburnum-measure",
        "--plan FILE --store IP:PORT --out FILE [options]",
        &options(),
        parse,
        run,
    )
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .reqopt("", "plan", "load to offer", "FILE")
        .reqopt("", "store", "object service", "IP:PORT")
        .reqopt("", "out", "tables; .json and .svg beside", "FILE.md")
        .optopt("", "duration", "time of each run (5s)", "PERIOD")
        .optopt("", "repetitions", "runs of each case and way (3)", "N")
        .optopt("", "cases", "only cases whose names contain a text", "TEXT")
        .optopt("", "pages", "directory for the entries' metrics", "DIR")
        .optflag("", "no-sweep", "leave out the plot")
        .optflag("h", "help", "show this text");
    options
}

fn parse(options: &Options, arguments: &[String]) -> program::Result<Arguments> {
    let matches = options.parse(arguments)?;
    let path = matches.opt_str("plan").unwrap_or_default();
    let plan: plan::Plan = serde_json::from_str(&fs::read_to_string(&path)?)?;
    let errors = plan.validate();
    if !errors.is_empty() {
        return Err(errors.join("\n").into());
    }
    let period = matches.opt_get::<unit::Period>("duration")?;
    let duration = period.map_or(DEFAULT_DURATION, |period| period.0);
    let text = matches.opt_str("cases").unwrap_or_default();
    let mut cases = case::all(&plan, duration);
    cases.retain(|case| case.name.contains(&text));
    let sweep = match matches.opt_present("no-sweep") {
        true => Vec::new(),
        false => case::sweep(&plan, duration, &SWEEP_LOADS),
    };
    Ok(Arguments {
        runner: new_runner(&matches)?,
        out: matches.opt_str("out").unwrap_or_default().into(),
        plan,
        cases,
        sweep,
    })
}

fn new_runner(matches: &Matches) -> program::Result<runner::Runner> {
    let store: net::SocketAddr = matches.opt_str("store").unwrap_or_default().parse()?;
    let repetitions = matches.opt_get_default("repetitions", 3)?;
    let pages = matches.opt_str("pages").map(path::PathBuf::from);
    Ok(runner::Runner::new(store, repetitions, pages))
}

fn run(arguments: Arguments) -> program::Result<()> {
    let level = simplelog::LevelFilter::Warn;
    simplelog::WriteLogger::init(level, simplelog::Config::default(), std::io::stderr())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(arguments))
}

/// Measures all cases and rewrites the files after each, so that an abort loses no results.
async fn measure(arguments: Arguments) -> program::Result<()> {
    let mut outcomes = Vec::new();
    for case in &arguments.cases {
        outcomes.push(arguments.runner.run_case(case).await);
        write_results(&arguments, &outcomes)?;
    }
    let first = outcomes.len();
    for case in &arguments.sweep {
        outcomes.push(arguments.runner.run_case(case).await);
        write_results(&arguments, &outcomes)?;
        plot::write(&outcomes[first..], arguments.out.with_extension("svg"))?;
    }
    Ok(())
}

fn write_results(arguments: &Arguments, outcomes: &[runner::Outcome]) -> program::Result<()> {
    let teams = arguments.plan.teams.iter();
    let tables = table::Tables {
        outcomes,
        weights: teams
            .map(|(name, team)| (name.clone(), team.weight))
            .collect(),
    };
    fs::write(&arguments.out, tables.to_string())?;
    let json = serde_json::to_vec_pretty(outcomes)?;
    fs::write(arguments.out.with_extension("json"), json)?;
    Ok(())
}
