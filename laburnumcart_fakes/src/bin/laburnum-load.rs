//! Offers load to the system or, as a baseline, directly to its targets.

use std::{
    fs,
    process, //
};

use getopts::{
    Matches,
    Options, //
};
use laburnumcart::unit;
use laburnumcart_fakes::{
    load::{
        plan,
        run, //
    },
    program,
};

/// Parsed arguments.
struct Arguments {
    plan: plan::Plan,
    settings: run::Settings,
    json: Option<String>,
}

fn main() -> process::ExitCode {
    program::run(
        "laburnum-load",
        "--plan FILE [options]",
        &options(),
        parse,
        run,
    )
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .reqopt("", "plan", "load to offer", "FILE")
        .optopt("", "duration", "time of the load (10s)", "PERIOD")
        .optopt("", "scale", "factor on all rates (1)", "FACTOR")
        .optopt("", "seed", "seed of arrivals and bodies (1)", "N")
        .optopt("", "json", "also write the report to a file", "FILE")
        .optflag(
            "",
            "resend",
            "resend refused requests after their Retry-After",
        )
        .optflag(
            "",
            "direct",
            "directly to the targets, round robin without retries",
        )
        .optflag(
            "",
            "compare",
            "half of the idempotent requests directly to the targets",
        )
        .optopt(
            "",
            "baseline",
            "directly to the targets",
            "round-robin|least-loaded",
        )
        .optflag("", "quiet", "no progress lines")
        .optflag("h", "help", "show this text");
    options
}

fn parse(options: &Options, arguments: &[String]) -> program::Result<Arguments> {
    let matches = options.parse(arguments)?;
    let path = matches.opt_str("plan").unwrap_or_default();
    let plan: plan::Plan = serde_json::from_str(&fs::read_to_string(&path)?)?;
    let mut errors = plan.validate();
    let settings = parse_settings(&matches)?;
    let baseline = matches!(settings.route, run::Route::Baseline(_));
    if plan.entries.is_empty() && !baseline {
        errors.push("entries: none".into());
    }
    if !errors.is_empty() {
        return Err(errors.join("\n").into());
    }
    Ok(Arguments {
        plan,
        settings,
        json: matches.opt_str("json"),
    })
}

fn parse_settings(matches: &Matches) -> program::Result<run::Settings> {
    let mut settings = run::Settings {
        route: parse_route(matches)?,
        resend: matches.opt_present("resend"),
        progress: !matches.opt_present("quiet"),
        ..Default::default()
    };
    if let Some(unit::Period(duration)) = matches.opt_get("duration")? {
        settings.duration = duration;
    }
    settings.scale = matches.opt_get_default("scale", settings.scale)?;
    settings.seed = matches.opt_get_default("seed", settings.seed)?;
    Ok(settings)
}

fn parse_route(matches: &Matches) -> program::Result<run::Route> {
    if matches.opt_present("direct") {
        return Ok(run::Route::Baseline(run::Policy::RoundRobin));
    }
    if matches.opt_present("compare") {
        return Ok(run::Route::Compare);
    }
    match matches.opt_str("baseline").as_deref() {
        None => Ok(run::Route::System),
        Some("round-robin") => Ok(run::Route::Baseline(run::Policy::RoundRobin)),
        Some("least-loaded") => Ok(run::Route::Baseline(run::Policy::LeastLoaded)),
        Some(other) => Err(format!("unknown baseline: {other}").into()),
    }
}

fn run(arguments: Arguments) -> program::Result<()> {
    let level = simplelog::LevelFilter::Info;
    simplelog::WriteLogger::init(level, simplelog::Config::default(), std::io::stderr())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let report = runtime.block_on(run::run_load(arguments.plan, arguments.settings));
    if let Some(path) = arguments.json {
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    print!("{report}");
    Ok(())
}
