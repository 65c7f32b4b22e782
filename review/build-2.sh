#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with rustc alone, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in $(grep -l '^fn main' review/standins-2/*.rs); do
    case=$(basename "$source" .rs)
    rustc -O --edition 2024 -A dead_code -o "target/review-2/$case" "$source"
done
