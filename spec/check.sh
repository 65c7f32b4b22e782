#!/bin/sh
# Checks each line of CASES with spin, as many at once as there are processors, at most JOBS (4
# unless set), and prints what became of them in the order of CASES. A specification with a
# seeded fault must fail: one that cannot fail proves nothing.
set -u

here=$(cd "$(dirname "$0")" && pwd)

# Prints "pass", "fail" or what else became of the case "file defines" in the directory "work".
check() {
    flags=""
    if [ "$2" != "-" ]; then
        flags=$(echo "$2" | sed 's/^/-D/; s/,/ -D/g')
    fi
    cd "$work" || return
    # shellcheck disable=SC2086
    spin -a $flags "$here/$1" > spin.log 2>&1 && [ -f pan.c ] || { echo "no-model"; return; }
    cc -O1 -w -DSAFETY -DCOLLAPSE -DMEMLIM=3000 -o pan pan.c || { echo "no-verifier"; return; }
    ./pan -m1000000 -w24 > pan.log 2>&1
    if grep -q "assertion violated" pan.log; then
        echo "fail"
    elif grep -q "errors: 0" pan.log && ! grep -q "not completed\|too small" pan.log; then
        echo "pass"
    else
        echo "unknown"
    fi
}

# Checks one case, "number file defines expected", and writes what became of it to the file
# "number" in the directory "results".
if [ "${1:-}" = "--case" ]; then
    number=$2
    shift
    work=$(mktemp -d)
    trap 'rm -rf "$work"' EXIT
    start=$(date +%s)
    found=$(check "$2" "$3")
    taken=$(($(date +%s) - start))
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.log" 2> /dev/null)
    echo "$2 $3: $found, expected $4 (${states:-?} states, ${taken} s)" > "$results/$number"
    [ "$found" = "$4" ]
    exit
fi

jobs=$(nproc)
most=${JOBS:-4}
[ "$jobs" -le "$most" ] || jobs=$most

results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
export results

# Numbers of one width keep the order of CASES when names are sorted.
awk '!/^ *(#|$)/ { printf "%03d %s\n", ++count, $0 }' "$here/CASES" |
    xargs -L 1 -P "$jobs" "$here/check.sh" --case
code=$?
cat "$results"/*
if [ "$code" -ne 0 ]; then
    echo "cases not as expected"
    exit 1
fi
