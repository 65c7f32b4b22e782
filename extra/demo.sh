#!/usr/bin/env bash
# Starts a whole system on loopback, offers a bounded load and stops all of it again.
set -euo pipefail

usage() {
    cat <<'TEXT'
Usage: extra/demo.sh [options]

  --shape araya|quetzal|both   whose services and teams (both)
  --size small|brief           number of targets (small)
  --duration PERIOD            time of the load (20s)
  --scale FACTOR               factor on the load's rates (1)
  --base-port PORT             first of the ports (picked at random)
  --release                    build and run the release profile
  --keep                       keep the settings and logs
TEXT
}

shape=both
size=small
duration=20s
scale=1
base=
profile=debug
keep=
while [ $# -gt 0 ]; do
    case $1 in
    --shape) shape=$2; shift ;;
    --size) size=$2; shift ;;
    --duration) duration=$2; shift ;;
    --scale) scale=$2; shift ;;
    --base-port) base=$2; shift ;;
    --release) profile=release ;;
    --keep) keep=yes ;;
    -h | --help) usage; exit ;;
    *) usage >&2; exit 2 ;;
    esac
    shift
done

cd "$(dirname "$0")/.."
command -v curl >/dev/null || { echo "demo: curl is needed" >&2; exit 2; }

title=demo
pace=1
# shellcheck source=extra/fleet.sh
. extra/fleet.sh

start
"$bin/laburnum-load" --plan "$dir/load.json" --duration "$duration" --scale "$scale" --compare \
    --json "$dir/report.json"

finish
