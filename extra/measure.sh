#!/usr/bin/env bash
# Measures one user's cases on a whole system on loopback: ours against the baselines.
set -euo pipefail

usage() {
    cat <<'TEXT'
Usage: extra/measure.sh --shape araya|quetzal [options]

  --size small|brief           number of targets (brief)
  --pace N                     factor on the times of targets (10)
  --out FILE.md                tables; .json and .svg beside
                               (docs/measurements/SHAPE.md)
  --base-port PORT             first of the ports (picked at random)
  --keep                       keep the settings, logs and metrics
  -- OPTIONS                   for laburnum-measure
TEXT
}

shape=
size=brief
pace=10
out=
base=
profile=release
keep=
while [ $# -gt 0 ]; do
    case $1 in
    --shape) shape=$2; shift ;;
    --size) size=$2; shift ;;
    --pace) pace=$2; shift ;;
    --out) out=$2; shift ;;
    --base-port) base=$2; shift ;;
    --keep) keep=yes ;;
    -h | --help) usage; exit ;;
    --) shift; break ;;
    *) usage >&2; exit 2 ;;
    esac
    shift
done
[ -n "$shape" ] || { usage >&2; exit 2; }

cd "$(dirname "$0")/.."
command -v curl >/dev/null || { echo "measure: curl is needed" >&2; exit 2; }
[ -n "$out" ] || out=docs/measurements/$shape.md
mkdir -p "$(dirname "$out")"

title=measure
# shellcheck source=extra/fleet.sh
. extra/fleet.sh

start
mkdir "$dir/pages"
# Fills the prompt caches of all engines, then warms the entries.
"$bin/laburnum-load" --plan "$dir/load.json" --duration 8s --scale 4 --quiet --direct \
    >"$dir/warm.txt"
"$bin/laburnum-load" --plan "$dir/load.json" --duration 4s --scale 4 --quiet >>"$dir/warm.txt"
"$bin/laburnum-measure" --plan "$dir/load.json" --store "$store" --out "$out" \
    --pages "$dir/pages" "$@"
finish
