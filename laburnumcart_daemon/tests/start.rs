//! Command line, launch and logs.

use std::{
    cell,
    io,
    process,
    sync, //
};

use laburnumcart_daemon::{
    args,
    launch,
    logs,
    settings, //
};
use rstest::rstest;
use serde::Deserialize;

const PROGRAM: args::Program = args::Program {
    name: "laburnum-sample",
    version: "1.2.3",
    about: "Does nothing.",
};

#[derive(Debug, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
struct Sample {
    #[serde(default)]
    telemetry: settings::Telemetry,
}

impl settings::Settings for Sample {
    fn telemetry(&self) -> &settings::Telemetry {
        &self.telemetry
    }
}

fn parse(line: &str) -> Result<args::Command, args::UsageError> {
    args::parse(&PROGRAM, line.split_whitespace().map(String::from))
}

#[test]
fn run_is_the_default() {
    let wanted = args::Args {
        settings: "a.json".into(),
        level: Some(logs::Level::Debug),
    };
    let command = parse("--settings a.json --level debug").unwrap();
    assert_eq!(command, args::Command::Run(wanted));
}

#[rstest]
#[case("--help", "Usage: laburnum-sample --settings FILE")]
#[case("--version", "laburnum-sample 1.2.3\n")]
fn help_and_version_are_printed(#[case] line: &str, #[case] part: &str) {
    match parse(line).unwrap() {
        args::Command::Print(text) => assert!(text.contains(part), "{text}"),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case("", "--settings FILE is required")]
#[case("--settings a.json --level loud", "--level must be")]
#[case("--settings a.json more", "unexpected argument: \"more\"")]
#[case("--setings a.json", "setings")]
#[case("--settings a.json --settings b.json", "settings")]
fn invalid_command_line_is_rejected(#[case] line: &str, #[case] part: &str) {
    let error = parse(line).unwrap_err().to_string();
    assert!(error.contains(part), "{error}");
}

/// A temporary settings file, deleted on drop.
struct File(std::path::PathBuf);

impl File {
    fn new(text: &str) -> Self {
        let name = format!("laburnum-{}.json", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[rstest]
#[case::valid("{}", false, true, 0)]
#[case::checked("{}", true, false, 0)]
#[case::wrong(r#"{"telemtry":{}}"#, false, false, 2)]
#[case::wrong_checked(r#"{"telemtry":{}}"#, true, false, 2)]
#[case::no_json("{", false, false, 2)]
fn exit_code_reports_validity(
    #[case] text: &str,
    #[case] check: bool,
    #[case] runs: bool,
    #[case] code: u8,
) {
    let file = File::new(text);
    let mut line = vec!["--settings".into(), file.0.display().to_string()];
    line.extend(check.then(|| "--check".into()));
    let ran = cell::Cell::new(false);
    let exit = launch::with_args(&PROGRAM, line, |_: Sample| {
        ran.set(true);
        process::ExitCode::SUCCESS
    });
    assert_eq!(ran.get(), runs);
    assert_eq!(
        format!("{exit:?}"),
        format!("{:?}", process::ExitCode::from(code))
    );
}

#[derive(Clone, Default)]
struct Out(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for Out {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(data);
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(level: log::Level, target: &str, text: &str) -> String {
    let out = Out::default();
    let logger = logs::logger(logs::Level::Debug, out.clone());
    let mut record = log::Record::builder();
    record.level(level).target(target);
    logger.log(&record.args(format_args!("{text}")).build());
    String::from_utf8(out.0.lock().unwrap().clone()).unwrap()
}

#[test]
fn line_has_time_level_and_keys() {
    let line = line(
        log::Level::Info,
        "laburnumcart_entry::run",
        "event=started port=1",
    );
    let (time, rest) = line.split_once(' ').unwrap();
    assert!(time.starts_with("time=2") && time.ends_with('Z'), "{line}");
    assert_eq!(rest, "level=info event=started port=1\n");
}

#[test]
fn line_of_a_library_is_quoted() {
    let line = line(log::Level::Warn, "hyper", "a \"b\"\nc");
    let rest = line.split_once(' ').unwrap().1;
    assert_eq!(
        rest,
        "level=warn event=library source=hyper text=\"a \\\"b\\\"\\nc\"\n"
    );
}

/// Logger that keeps the targets of records.
struct Targets(sync::Mutex<Vec<String>>);

impl log::Log for Targets {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        self.0.lock().unwrap().push(record.target().to_owned());
    }

    fn flush(&self) {}
}

// An event of a crate with another name was quoted within a line of a library, or dropped.
#[test]
fn event_of_any_crate_is_a_line_of_its_own() {
    static TARGETS: Targets = Targets(sync::Mutex::new(Vec::new()));
    log::set_logger(&TARGETS).unwrap();
    log::set_max_level(log::LevelFilter::Debug);
    laburnumcart::event!(Info, "config-part-refused", index = 1);
    let targets = TARGETS.0.lock().unwrap().clone();
    let [target] = &targets[..] else {
        panic!("{targets:?}");
    };
    let line = line(log::Level::Info, target, "event=config-part-refused");
    let rest = line.split_once(' ').unwrap().1;
    assert_eq!(rest, "level=info event=config-part-refused\n");
}

#[test]
fn info_of_a_library_is_not_logged() {
    assert_eq!(line(log::Level::Info, "hyper", "details"), "");
}

#[rstest]
#[case("plain-1.5:/", "plain-1.5:/")]
#[case("", "\"\"")]
#[case("two words", "\"two words\"")]
#[case("a=b", "\"a=b\"")]
#[case("line\nbreak", "\"line\\nbreak\"")]
fn value_is_quoted_if_needed(#[case] value: &str, #[case] written: &str) {
    assert_eq!(logs::Quoted(value).to_string(), written);
}
