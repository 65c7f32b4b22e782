//! Measures cases on a running fleet and writes their tables and plot.

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

/// Time of each run.
const DURATION: time::Duration = time::Duration::from_secs(5);

/// Parts of capacity that are offered for the plot.
const POINTS: [f64; 6] = [0.5, 0.9, 1.2, 1.6, 2.2, 3.0];

/// What the arguments ask for.
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
        .optopt("", "cases", "only those whose names hold a text", "TEXT")
        .optopt("", "pages", "folder for the entries' metrics", "DIR")
        .optflag("", "no-sweep", "leave out the plot")
        .optflag("h", "help", "show this text");
    options
}

fn parse(options: &Options, arguments: &[String]) -> program::Result<Arguments> {
    let matches = options.parse(arguments)?;
    let path = matches.opt_str("plan").unwrap_or_default();
    let plan: plan::Plan = serde_json::from_str(&fs::read_to_string(&path)?)?;
    let faults = plan.validate();
    if !faults.is_empty() {
        return Err(faults.join("\n").into());
    }
    let period = matches.opt_get::<unit::Period>("duration")?;
    let duration = period.map_or(DURATION, |period| period.0);
    let text = matches.opt_str("cases").unwrap_or_default();
    let mut cases = case::all(&plan, duration);
    cases.retain(|case| case.name.contains(&text));
    let sweep = match matches.opt_present("no-sweep") {
        true => Vec::new(),
        false => case::sweep(&plan, duration, &POINTS),
    };
    Ok(Arguments {
        runner: runner(&matches)?,
        out: matches.opt_str("out").unwrap_or_default().into(),
        plan,
        cases,
        sweep,
    })
}

fn runner(matches: &Matches) -> program::Result<runner::Runner> {
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

/// Measures all cases; the files are written again after each, so that a stop loses none.
async fn measure(arguments: Arguments) -> program::Result<()> {
    let mut outcomes = Vec::new();
    for case in &arguments.cases {
        outcomes.push(arguments.runner.run_case(case).await);
        write(&arguments, &outcomes)?;
    }
    let first = outcomes.len();
    for case in &arguments.sweep {
        outcomes.push(arguments.runner.run_case(case).await);
        write(&arguments, &outcomes)?;
        plot::write(&outcomes[first..], arguments.out.with_extension("svg"))?;
    }
    Ok(())
}

fn write(arguments: &Arguments, outcomes: &[runner::Outcome]) -> program::Result<()> {
    let teams = arguments.plan.teams.iter();
    let page = table::Tables {
        outcomes,
        weights: teams
            .map(|(name, team)| (name.clone(), team.weight))
            .collect(),
    };
    fs::write(&arguments.out, page.to_string())?;
    let json = serde_json::to_vec_pretty(outcomes)?;
    fs::write(arguments.out.with_extension("json"), json)?;
    Ok(())
}
