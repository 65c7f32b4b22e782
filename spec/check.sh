#!/bin/sh
# Checks each line of CASES with spin. A specification with a seeded fault must fail: one that
# cannot fail proves nothing.
set -u

here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
bad=0

# Prints "pass", "fail" or what else became of the case "file defines".
check() {
    flags=""
    if [ "$2" != "-" ]; then
        flags=$(echo "$2" | sed 's/^/-D/; s/,/ -D/g')
    fi
    rm -rf "$work/case"
    mkdir "$work/case"
    cd "$work/case" || return
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

while read -r file defines expected; do
    case "$file" in
        "" | "#"*) continue ;;
    esac
    start=$(date +%s)
    found=$(check "$file" "$defines")
    taken=$(($(date +%s) - start))
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/case/pan.log" 2> /dev/null)
    echo "$file $defines: $found, expected $expected (${states:-?} states, ${taken} s)"
    [ "$found" = "$expected" ] || bad=$((bad + 1))
done < "$here/CASES"

[ "$bad" -eq 0 ] || { echo "$bad cases not as expected"; exit 1; }
