#!/usr/bin/env bash
# Runs all checks, tests and specifications, and prints one verdict.
#
# Every step runs, also after one that failed, so that one run shows all that is wrong.
set -uo pipefail

cd "$(dirname "$0")/.." || exit 1

# Two runs over the same sources must agree, so the properties are drawn from a fixed seed.
export PROPTEST_RNG_SEED=${PROPTEST_RNG_SEED:-20}
export CARGO_TERM_COLOR=never
# A backtrace would only hide the message of a failed assertion.
export RUST_BACKTRACE=0

# The log of the last run stays here for a closer look.
work=${CARGO_TARGET_DIR:-target}/verdict
mkdir -p "$work" || exit 1
failed=()
count=0

# Runs one step: name, command.
step() {
    local name=$1 start=$SECONDS
    shift
    count=$((count + 1))
    echo "== $name"
    if "$@"; then
        echo "== $name: ok ($((SECONDS - start)) s)"
    else
        echo "== $name: FAILED ($((SECONDS - start)) s)"
        failed+=("$name")
    fi
}

scripts() {
    local script bad=0
    for script in .ci/run extra/*.sh extra/test/*.sh; do
        bash -n "$script" || bad=1
    done
    return $bad
}

docs() {
    RUSTDOCFLAGS="-D warnings" cargo doc --locked --quiet --workspace --no-deps
}

example() {
    cargo run --locked --quiet -p laburnumcart --example embed
}

specs() {
    if [ ! -x spec/check.sh ]; then
        echo "no specifications"
        return
    fi
    if ! command -v spin >/dev/null; then
        if [ "$(id -u)" -ne 0 ] || ! command -v apt-get >/dev/null; then
            echo "spin is missing: install Debian's package spin"
            return 1
        fi
        { apt-get update -q && apt-get install -q -y --no-install-recommends spin; } || return 1
    fi
    spec/check.sh
}

main() {
    step "rules" extra/test/rules.sh .
    step "scripts" scripts
    step "verdict of failing tests" extra/test/verdict_test.sh
    step "format" cargo fmt --all --check
    step "lints" cargo clippy --locked --quiet --workspace --all-targets -- -D warnings
    step "build" cargo build --locked --quiet --workspace --bins
    step "tests" extra/test/tests.sh "$work" KNOWN-RED.txt
    step "embedding example" example
    step "documentation" docs
    step "specifications" specs

    if [ ${#failed[@]} -eq 0 ]; then
        echo "test: PASS, $count steps"
    else
        printf 'test: FAIL, %s of %s steps:' "${#failed[@]}" "$count"
        printf ' [%s]' "${failed[@]}"
        echo
        exit 1
    fi
}

main
