//! The `laburnumctl` program, run with files in a temporary directory.

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

/// A temporary directory, removed when dropped.
struct TempDir(path::PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl TempDir {
    fn write(&self, file: &str, text: impl AsRef<[u8]>) {
        fs::write(self.0.join(file), text).expect("written");
    }

    /// Runs the program and returns its exit code, standard output and standard error.
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

    /// Generates a key file and returns the public key.
    fn keygen(&self, name: &str) -> String {
        let file = format!("{name}.key");
        let (code, out, err) = self.run(&["keygen", "--name", name, "--out", &file, "--json"]);
        assert_eq!(code, 0, "{err}");
        let generated: Value = serde_json::from_str(&out).expect("JSON");
        generated["public"].as_str().expect("a key").into()
    }

    /// Writes settings that trust new keys of ana and eva; nothing listens at their addresses.
    fn write_settings(&self, signers: u32) {
        let keys = json!({"ana": self.keygen("ana"), "eva": self.keygen("eva")});
        let settings = json!({
            "fleet": {"secrets": ["0123456789abcdef"], "keys": keys, "signers": signers},
            "platform": {"address": "127.0.0.1:9"},
        });
        self.write("laburnumctl.json", settings.to_string());
    }
}

#[fixture]
fn dir() -> TempDir {
    let path = std::env::temp_dir().join(format!("laburnumctl-{:032x}", rand::random::<u128>()));
    fs::create_dir_all(&path).expect("a directory");
    let dir = TempDir(path);
    dir.write("bundle.json", ARAYA);
    dir
}

#[rstest]
fn bundle_is_verified_with_the_required_number_of_signers(dir: TempDir) {
    dir.write_settings(2);
    let sign = |file, key, out| dir.run(&["sign", file, "--key", key, "--out", out]).0;
    assert_eq!(sign("bundle.json", "ana.key", "one"), 0);
    let (code, _, err) = dir.run(&["verify", "one"]);
    assert_eq!(code, 5, "{err}");
    assert!(
        err.contains("signed by 1 trusted signers, 2 required"),
        "{err}"
    );

    assert_eq!(sign("one", "eva.key", "two"), 0);
    let (code, out, err) = dir.run(&["verify", "two", "--json"]);
    assert_eq!(code, 0, "{err}");
    let verified: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(verified["signers"], json!(["ana", "eva"]));
}

#[rstest]
fn altered_bundle_is_rejected(dir: TempDir) {
    dir.write_settings(1);
    dir.run(&["sign", "bundle.json", "--key", "ana.key", "--out", "signed"]);
    let text = fs::read_to_string(dir.0.join("signed")).expect("signed");
    dir.write("signed", text.replace("rural", "urban"));
    assert_eq!(dir.run(&["verify", "signed"]).0, 5);
    assert_eq!(dir.run(&["accept", "signed"]).0, 5);
}

#[rstest]
#[case::check(&["check", "bad.json"])]
#[case::sign(&["sign", "bad.json", "--key", "ana.key", "--out", "signed"])]
fn all_faults_of_a_bundle_are_reported_and_no_file_is_written(dir: TempDir, #[case] args: &[&str]) {
    dir.write_settings(1);
    let bad = ARAYA
        .replace("\"weight\": 40", "\"weight\": 0")
        .replace("24h", "1s");
    dir.write("bad.json", bad);
    let (code, out, err) = dir.run(args);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(
        err.contains(r#"$.teams["city-defenders"].weight: must be at least 1"#),
        "{err}"
    );
    assert!(
        err.contains("$.claims.retention: must be from 1m to 168h"),
        "{err}"
    );
    assert!(!dir.0.join("signed").exists());
}

#[rstest]
fn all_faults_of_the_settings_are_reported(dir: TempDir) {
    dir.write(
        "laburnumctl.json",
        r#"{"flet": {}, "platform": {"adress": "x"}}"#,
    );
    let (code, _, err) = dir.run(&["verify", "bundle.json"]);
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
fn unreachable_service_has_its_own_exit_code(dir: TempDir, #[case] args: &[&str]) {
    dir.write_settings(1);
    dir.run(&["sign", "bundle.json", "--key", "ana.key", "--out", "signed"]);
    let (code, _, err) = dir.run(&[args, &["--json"]].concat());
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
fn invalid_command_line_is_bad_input(dir: TempDir, #[case] args: &[&str]) {
    dir.write_settings(1);
    let (code, out, err) = dir.run(args);
    assert_eq!((code, out.as_str()), (2, ""));
    assert!(err.contains("next: "), "{err}");
}

/// The settings, an option or a file are missing, or a key file exists: the advice names the cause.
#[rstest]
#[case::settings(&["status"], "--settings FILE")]
#[case::option(&["sign", "bundle.json"], "sign FILE --key FILE --out FILE")]
#[case::key(&["keygen", "--name", "a", "--out", "bundle.json"], "choose another name")]
#[case::file(&["check", "absent.json"], "check the name")]
fn advice_matches_the_error(dir: TempDir, #[case] args: &[&str], #[case] advice: &str) {
    let (code, _, err) = dir.run(args);
    assert_eq!(code, 2, "{err}");
    assert!(err.contains(advice), "{err}");
}

#[rstest]
fn key_file_is_neither_overwritten_nor_printed(dir: TempDir) {
    dir.keygen("ana");
    let before = fs::read_to_string(dir.0.join("ana.key")).expect("a key");
    let (code, out, err) = dir.run(&["keygen", "--name", "ana", "--out", "ana.key"]);
    assert_eq!(code, 2);
    assert_eq!(
        fs::read_to_string(dir.0.join("ana.key")).expect("a key"),
        before
    );
    let key: Value = serde_json::from_str(&before).expect("JSON");
    let secret = key["secret"].as_str().expect("a secret");
    assert!(!(out + &err).contains(secret));
}

#[rstest]
fn digest_command_matches_issued_token(dir: TempDir) {
    let (_, out, _) = dir.run(&["teams", "issue", "--json"]);
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
fn help_and_version_are_printed(dir: TempDir) {
    let (code, out, _) = dir.run(&["--help"]);
    assert_eq!(code, 0);
    for name in [
        "keygen", "check", "sign", "verify", "accept", "rollback", "status", "drain",
    ] {
        assert!(out.contains(name), "{out}");
    }
    let (code, out, _) = dir.run(&["accept", "--help"]);
    assert_eq!(code, 0);
    assert!(out.contains("--settings"), "{out}");
    assert_eq!(dir.run(&["--version"]).0, 0);
}
