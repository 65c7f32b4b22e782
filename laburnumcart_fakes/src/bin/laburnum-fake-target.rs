//! Runs fake targets.

use std::process;

use getopts::{
    Matches,
    Options, //
};
use laburnumcart::{
    bundle,
    unit, //
};
use laburnumcart_fakes::{
    program,
    target::{
        self,
        settings, //
    },
};
use tokio::signal::unix;

fn main() -> process::ExitCode {
    program::run("laburnum-fake-target", "[options]", &options(), parse, run)
}

fn options() -> Options {
    let mut options = Options::new();
    options
        .optmulti("", "target", "target to serve", "NAME=engine|pool@IP:PORT")
        .optopt("", "slots", "calls at full speed (4)", "N")
        .optopt("", "queue", "calls that wait (64)", "N")
        .optopt(
            "",
            "service-time",
            "mean time of a pool's call (20ms)",
            "PERIOD",
        )
        .optopt("", "token-time", "time of a token (2ms)", "PERIOD")
        .optopt("", "prefill-time", "time to read a prompt (20ms)", "PERIOD")
        .optopt("", "tokens", "tokens of an answer (20)", "N")
        .optopt("", "spread", "variation of times (20%)", "SHARE")
        .optopt(
            "",
            "orders",
            "handling of orders with an old number (fenced)",
            "fenced|unfenced",
        )
        .optopt("", "prefixes", "prompt prefixes in the cache (64)", "N")
        .optopt("", "load-lag", "age of the load report (500ms)", "PERIOD")
        .optopt("", "cache-lag", "delay of cache events (1s)", "PERIOD")
        .optopt("", "restart", "time down after a crash (500ms)", "PERIOD")
        .optflag("", "exit-on-crash", "exit the process on a crash")
        .optflag("h", "help", "show this text");
    options
}

/// Parses the arguments into the settings of each target.
fn parse(options: &Options, arguments: &[String]) -> program::Result<Vec<settings::Settings>> {
    let matches = options.parse(arguments)?;
    let names = matches.opt_strs("target");
    if names.is_empty() {
        return Err("no --target given".into());
    }
    let targets = names.iter().map(|name| parse_settings(&matches, name));
    targets.collect()
}

fn parse_settings(matches: &Matches, name: &str) -> program::Result<settings::Settings> {
    let mut settings: settings::Settings = name.parse()?;
    let period = |name: &str, default| -> program::Result<_> {
        let period = matches.opt_get::<unit::Period>(name)?;
        Ok(period.map_or(default, |period| period.0))
    };
    settings.service_time = period("service-time", settings.service_time)?;
    settings.token_time = period("token-time", settings.token_time)?;
    settings.prefill_time = period("prefill-time", settings.prefill_time)?;
    settings.load_lag = period("load-lag", settings.load_lag)?;
    settings.cache_lag = period("cache-lag", settings.cache_lag)?;
    settings.restart_time = period("restart", settings.restart_time)?;
    settings.slots = matches.opt_get_default("slots", settings.slots)?.max(1);
    settings.queue_limit = matches.opt_get_default("queue", settings.queue_limit)?;
    settings.tokens = matches.opt_get_default("tokens", settings.tokens)?;
    settings.cached_prefixes = matches.opt_get_default("prefixes", settings.cached_prefixes)?;
    if let Some(unit::Share(spread)) = matches.opt_get("spread")? {
        settings.spread = spread;
    }
    settings.order_fencing = match matches.opt_str("orders").as_deref() {
        None | Some("fenced") => bundle::Orders::Fenced,
        Some("unfenced") => bundle::Orders::Unfenced,
        Some(other) => return Err(format!("unknown orders: {other}").into()),
    };
    settings.exit_on_crash = matches.opt_present("exit-on-crash");
    Ok(settings)
}

fn run(targets: Vec<settings::Settings>) -> program::Result<()> {
    let level = simplelog::LevelFilter::Info;
    simplelog::SimpleLogger::init(level, simplelog::Config::default())?;
    let mut running = Vec::new();
    for settings in targets {
        let name = settings.name.clone();
        let target = target::start(settings)?;
        println!("target={name} address={}", target.address());
        running.push(target);
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(wait_signal())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_signal() -> program::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
