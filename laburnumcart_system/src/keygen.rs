//! Generates the signing key of a fleet.

use std::{
    path,
    process::Command, //
};

use serde_json::Value;

use crate::process;

/// Generates a signing key with `laburnumctl` and returns its output.
pub(crate) fn generate_key(dir: &path::Path) -> Value {
    let output = Command::new(process::binary("laburnumctl"))
        .current_dir(dir)
        .args(["keygen", "--name", "test", "--out", "key.json", "--json"])
        .output()
        .expect("laburnumctl");
    assert!(output.status.success(), "keygen: {output:?}");
    serde_json::from_slice(&output.stdout).expect("JSON of keygen")
}
