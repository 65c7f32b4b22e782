//! Stand-ins and sequences of the review's script cases; the first argument names the case.

mod answers;
mod burst;
mod http;
mod plain;
mod reborn;
mod store;
mod strict;
mod system;
mod tenant;

use std::{env, path::PathBuf, process};

/// What a case gets: whether the disruption takes place, a temporary folder, the record.
pub struct Run {
    pub has_trouble: bool,
    pub folder: PathBuf,
    pub record: system::Record,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, record] = &arguments[..] else {
        eprintln!("usage: cases CASE FOLDER RECORD");
        process::exit(2);
    };
    let run = Run {
        has_trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: folder.into(),
        record: system::Record::create(record.as_ref()),
    };
    run.record.line(format!("case {case}, disruption: {}", run.has_trouble));
    let code = match case.as_str() {
        "answers" => answers::run(&run),
        "burst" => burst::run(&run),
        "reborn" => reborn::run(&run),
        "strict" => strict::run(&run),
        "tenant" => tenant::run(&run),
        _ => 2,
    };
    let verdict = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    run.record.line(verdict);
    println!("{case}: {verdict}");
    process::exit(code);
}
