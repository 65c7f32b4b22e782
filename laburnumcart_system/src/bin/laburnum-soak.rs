//! `laburnum-soak`: runs gateways under random faults and checks what callers and targets observe.

use std::{
    env,
    fs,
    process,
    time, //
};

use laburnumcart_system::soak;

const HELP: &str = "Runs gateways under random faults and checks what callers and targets observe.

Usage: laburnum-soak [--seed N] [--runs N] [--gateways N] [--seconds N] [--evacuations] [--needs]
                     [--services] [--versions]";

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
        };
        failed += u32::from(!run_seed(plan));
    }
    println!("{runs} seeds, {failed} broken");
    process::ExitCode::from(u8::from(failed > 0))
}

/// Runs one seed and returns whether all guarantees held; keeps the logs of a failed run.
fn run_seed(plan: soak::Plan) -> bool {
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
    passed
}
