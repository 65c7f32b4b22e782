#!/usr/bin/env bash
# Runs the workspace's tests and decides on their failures: tests.sh WORK KNOWN-RED.
set -uo pipefail

work=$1
known=$2
here=$(dirname "$0")

# One line a test binary: its file name, then package/target.
map() {
    cargo test --locked --quiet --workspace --no-run --message-format json |
        sed -n 's|.*"manifest_path":"[^"]*/\([^/"]*\)/Cargo.toml".*"name":"\([^"]*\)","src_path".*"executable":"[^"]*/\([^/"]*\)".*|\3 \1/\2|p'
}

map >"$work/map" || exit 1
cargo test --locked --workspace --no-fail-fast 2>&1 | tee "$work/log"
code=${PIPESTATUS[0]}
exec "$here/verdict.sh" "$code" "$work/map" "$work/log" "$known"
