//! The program as operators run it, with files.

use std::{
    fs,
    io::Write,
    path,
    process, //
};

use rstest::{
    fixture,
    rstest, //
};
use serde_json::{
    Value,
    json, //
};

const ARAYA: &str = include_str!("../../examples/araya/bundle.json");

/// A folder that is removed when dropped.
struct Folder(path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Folder {
    fn write(&self, file: &str, text: impl AsRef<[u8]>) {
        fs::write(self.0.join(file), text).expect("written");
    }

    /// Runs the program and returns its exit code and what it wrote to either output.
    fn run(&self, args: &[&str]) -> (i32, String, String) {
        let program = env!("CARGO_BIN_EXE_laburnumctl");
        let mut command = process::Command::new(program);
        let output = command
            .current_dir(&self.0)
            .args(args)
            .output()
            .expect("run");
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
        let code = output.status.code().expect("an exit code");
        (code, text(output.stdout), text(output.stderr))
    }

    fn keygen(&self, name: &str) -> String {
        let file = format!("{name}.key");
        let (code, out, err) = self.run(&["keygen", "--name", name, "--out", &file, "--json"]);
        assert_eq!(code, 0, "{err}");
        let made: Value = serde_json::from_str(&out).expect("JSON");
        made["public"].as_str().expect("a key").into()
    }

    /// Writes settings that trust the keys of ana and eva; nothing answers at the addresses.
    fn settings(&self, signers: u32) {
        let keys = json!({"ana": self.keygen("ana"), "eva": self.keygen("eva")});
        let settings = json!({
            "fleet": {"secrets": ["0123456789abcdef"], "keys": keys, "signers": signers},
            "platform": {"address": "127.0.0.1:9"},
        });
        self.write("laburnumctl.json", settings.to_string());
    }
}

#[fixture]
fn folder() -> Folder {
    let path = std::env::temp_dir().join(format!("laburnumctl-{:032x}", rand::random::<u128>()));
    fs::create_dir_all(&path).expect("a folder");
    let folder = Folder(path);
    folder.write("bundle.json", ARAYA);
    folder
}

#[rstest]
fn a_bundle_is_signed_by_two_and_verified(folder: Folder) {
    folder.settings(2);
    let sign = |file, key, out| folder.run(&["sign", file, "--key", key, "--out", out]).0;
    assert_eq!(sign("bundle.json", "ana.key", "one"), 0);
    let (code, _, err) = folder.run(&["verify", "one"]);
    assert_eq!(code, 5, "{err}");
    assert!(
        err.contains("signed by 1 trusted signers, 2 required"),
        "{err}"
    );

    assert_eq!(sign("one", "eva.key", "two"), 0);
    let (code, out, err) = folder.run(&["verify", "two", "--json"]);
    assert_eq!(code, 0, "{err}");
    let verified: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(verified["signers"], json!(["ana", "eva"]));
}

#[rstest]
fn a_changed_file_is_refused(folder: Folder) {
    folder.settings(1);
    folder.run(&["sign", "bundle.json", "--key", "ana.key", "--out", "signed"]);
    let text = fs::read_to_string(folder.0.join("signed")).expect("signed");
    folder.write("signed", text.replace("rural", "urban"));
    assert_eq!(folder.run(&["verify", "signed"]).0, 5);
    assert_eq!(folder.run(&["accept", "signed"]).0, 5);
}

#[rstest]
#[case::check(&["check", "bad.json"])]
#[case::sign(&["sign", "bad.json", "--key", "ana.key", "--out", "signed"])]
fn faults_are_listed_and_nothing_is_written(folder: Folder, #[case] args: &[&str]) {
    folder.settings(1);
    let bad = ARAYA
        .replace("\"weight\": 40", "\"weight\": 0")
        .replace("24h", "1s");
    folder.write("bad.json", bad);
    let (code, out, err) = folder.run(args);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(
        err.contains(r#"$.teams["city-defenders"].weight: must be at least 1"#),
        "{err}"
    );
    assert!(
        err.contains("$.claims.retention: must be from 1m to 168h"),
        "{err}"
    );
    assert!(!folder.0.join("signed").exists());
}

#[rstest]
fn faults_of_the_settings_are_listed(folder: Folder) {
    folder.write(
        "laburnumctl.json",
        r#"{"flet": {}, "platform": {"adress": "x"}}"#,
    );
    let (code, _, err) = folder.run(&["verify", "bundle.json"]);
    assert_eq!(code, 2);
    for fault in [
        "$.fleet: missing",
        r#"$.flet: unknown key; the nearest known one is "fleet""#,
        "$.platform.address: missing",
        r#"$.platform.adress: unknown key; the nearest known one is "address""#,
    ] {
        assert!(err.contains(fault), "{err}");
    }
}

#[rstest]
#[case::accept(&["accept", "signed", "--limit", "300ms"])]
#[case::rollback(&["rollback", "1", "--limit", "300ms"])]
#[case::status(&["status"])]
fn an_unreachable_service_is_told_from_bad_input(folder: Folder, #[case] args: &[&str]) {
    folder.settings(1);
    folder.run(&["sign", "bundle.json", "--key", "ana.key", "--out", "signed"]);
    let (code, _, err) = folder.run(&[args, &["--json"]].concat());
    assert_eq!(code, 4, "{err}");
    let error: Value = serde_json::from_str(&err).expect("JSON");
    assert_eq!(error["code"], 4);
    assert!(error["advice"].is_string());
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&["acept"])]
#[case::option(&["check", "--frobnicate", "bundle.json"])]
#[case::missing(&["sign", "bundle.json"])]
#[case::excess(&["check", "a", "b"])]
#[case::number(&["rollback", "one"])]
#[case::no_file(&["check", "absent.json"])]
#[case::no_key(&["sign", "bundle.json", "--key", "bundle.json", "--out", "x"])]
fn a_wrong_command_line_is_bad_input(folder: Folder, #[case] args: &[&str]) {
    folder.settings(1);
    let (code, out, err) = folder.run(args);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(err.contains("next: "), "{err}");
}

/// A new operator has no settings yet, forgets an option, or takes the name of a key that is there.
/// The advice names what is missing in each case.
#[rstest]
#[case::settings(&["status"], "--settings FILE")]
#[case::option(&["sign", "bundle.json"], "sign FILE --key FILE --out FILE")]
#[case::key(&["keygen", "--name", "a", "--out", "bundle.json"], "choose another name")]
#[case::file(&["check", "absent.json"], "check the name")]
fn advice_fits_the_error(folder: Folder, #[case] args: &[&str], #[case] advice: &str) {
    let (code, _, err) = folder.run(args);
    assert_eq!(code, 2, "{err}");
    assert!(err.contains(advice), "{err}");
}

#[rstest]
fn a_key_is_not_overwritten_and_not_shown(folder: Folder) {
    folder.keygen("ana");
    let before = fs::read_to_string(folder.0.join("ana.key")).expect("a key");
    let (code, out, err) = folder.run(&["keygen", "--name", "ana", "--out", "ana.key"]);
    assert_eq!(code, 2);
    assert_eq!(
        fs::read_to_string(folder.0.join("ana.key")).expect("a key"),
        before
    );
    let key: Value = serde_json::from_str(&before).expect("JSON");
    let secret = key["secret"].as_str().expect("a secret");
    assert!(!(out + &err).contains(secret));
}

#[rstest]
fn a_token_is_issued_with_its_digest(folder: Folder) {
    let (_, out, _) = folder.run(&["teams", "issue", "--json"]);
    let issued: Value = serde_json::from_str(&out).expect("JSON");
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_laburnumctl"))
        .args(["teams", "digest"])
        .stdin(process::Stdio::piped())
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("run");
    let token = issued["token"].as_str().expect("a token");
    let mut stdin = child.stdin.take().expect("an input");
    stdin.write_all(token.as_bytes()).expect("written");
    drop(stdin);
    let output = child.wait_with_output().expect("ended");
    let digest = String::from_utf8(output.stdout).expect("UTF-8");
    assert_eq!(digest.trim(), issued["digest"].as_str().expect("a digest"));
}

#[rstest]
fn help_and_version_are_printed(folder: Folder) {
    let (code, out, _) = folder.run(&["--help"]);
    assert_eq!(code, 0);
    for name in [
        "keygen", "check", "sign", "verify", "accept", "rollback", "status", "drain",
    ] {
        assert!(out.contains(name), "{out}");
    }
    let (code, out, _) = folder.run(&["accept", "--help"]);
    assert_eq!(code, 0);
    assert!(out.contains("--settings"), "{out}");
    assert_eq!(folder.run(&["--version"]).0, 0);
}
