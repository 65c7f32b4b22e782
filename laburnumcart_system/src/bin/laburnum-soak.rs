//! `laburnum-soak`: runs gateways under random faults and checks what callers and targets observe.

use std::{
    env,
    fs,
    process,
    time, //
};

use laburnumcart_system::{
    relay,
    soak, //
};

const HELP: &str = "Runs gateways under random faults and checks what callers and targets observe.

Usage: laburnum-soak [--seed N] [--runs N] [--gateways N] [--seconds N] [--evacuations] [--needs]
                     [--services] [--versions] [--stops] [--connections]";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "first seed (default 1)", "N");
    options.optopt("", "runs", "number of seeds (default 1)", "N");
    options.optopt("", "gateways", "number of gateways (default 3)", "N");
    options.optopt(
        "",
        "seconds",
        "time during which faults are injected (default 8)",
        "N",
    );
    options.optflag("", "evacuations", "evacuate data centres during the run");
    options.optflag(
        "",
        "needs",
        "let targets signal rate limits, warm-up time, backoff and that they leave",
    );
    options.optflag("", "services", "let all targets of a service fail at once");
    options.optflag("", "poison", "send content that crashes its targets");
    options.optflag(
        "",
        "versions",
        "let targets differ in their software versions, and callers take streams up",
    );
    options.optflag(
        "",
        "stops",
        "stop and continue the processes of targets by signals",
    );
    options.optflag(
        "",
        "mass-kills",
        "kill all gateways at the same time, now and then",
    );
    options.optflag(
        "",
        "connections",
        "keep connections and use them in all ways, beside changes, signals and pauses in series",
    );
    options.optopt(
        "",
        "relay",
        "only forward connections, as the process of a target",
        "LISTEN,DEST",
    );
    options.optflag("h", "help", "print this text");
    options
}

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let matches = match options().parse(&args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("laburnum-soak: {error}");
            return 2.into();
        }
    };
    if matches.opt_present("help") {
        print!("{}", options().usage(HELP));
        return process::ExitCode::SUCCESS;
    }
    if let Some(addrs) = matches.opt_str("relay") {
        return run_relay(&addrs);
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text.parse().ok(),
        None => Some(default),
    };
    let (seed, runs) = (number("seed", 1), number("runs", 1));
    let (gateways, seconds) = (number("gateways", 3), number("seconds", 8));
    let (Some(seed), Some(runs), Some(gateways), Some(seconds)) = (seed, runs, gateways, seconds)
    else {
        eprintln!("laburnum-soak: options take non-negative integers");
        return 2.into();
    };
    let mut failed = 0;
    let mut uses = Vec::new();
    for seed in seed..seed + runs {
        let plan = soak::Plan {
            seed,
            gateways: gateways.max(1) as usize,
            length: time::Duration::from_secs(seconds),
            evacuations: matches.opt_present("evacuations"),
            target_signals: matches.opt_present("needs"),
            service_outages: matches.opt_present("services"),
            poison: matches.opt_present("poison"),
            versions: matches.opt_present("versions"),
            stops: matches.opt_present("stops"),
            connections: matches.opt_present("connections"),
            mass_kills: matches.opt_present("mass-kills"),
        };
        let report = run_seed(plan);
        failed += u32::from(
            !report
                .as_ref()
                .is_some_and(|report| report.breaches.is_empty()),
        );
        uses.extend(report.map(|report| (report.greatest_use(), seed)));
    }
    println!("{runs} seeds, {failed} broken");
    if let Some((greatest, seed)) = uses.into_iter().max_by(|a, b| a.0.total_cmp(&b.0)) {
        println!("greatest use of a bound: {greatest:.2}, seed {seed}");
    }
    process::ExitCode::from(u8::from(failed > 0))
}

/// Forwards connections until the process is killed.
fn run_relay(addrs: &str) -> process::ExitCode {
    let parsed = addrs.split_once(',').and_then(|(listen, dest)| {
        let (listen, dest) = (listen.parse().ok()?, dest.parse().ok()?);
        Some((listen, dest))
    });
    let Some((listen, dest)) = parsed else {
        eprintln!("laburnum-soak: --relay takes two addresses, not {addrs:?}");
        return 2.into();
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let _relay = relay::Relay::start(listen, dest).await?;
            std::future::pending::<std::io::Result<()>>().await
        })
    });
    match served {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("laburnum-soak: relay {addrs}: {error}");
            1.into()
        }
    }
}

/// Runs one seed and returns its report; keeps the logs unless all guarantees held.
fn run_seed(plan: soak::Plan) -> Option<soak::Report> {
    let dir = env::temp_dir().join(format!("laburnum-soak-{}-{}", process::id(), plan.seed));
    let result = fs::create_dir_all(&dir).and_then(|()| {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        runtime.block_on(soak::run(plan, &dir))
    });
    let passed = match &result {
        Ok(report) => {
            println!("seed {}\n{report}", plan.seed);
            report.breaches.is_empty()
        }
        Err(error) => {
            println!("seed {}: {error}", plan.seed);
            false
        }
    };
    match passed {
        // A directory that cannot be removed does no harm beyond its disk space.
        true => drop(fs::remove_dir_all(&dir)),
        false => println!("logs: {}", dir.display()),
    }
    result.ok()
}
