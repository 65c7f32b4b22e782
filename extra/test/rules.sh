#!/usr/bin/env bash
# Checks rules of the house style that no linter knows: rules.sh DIRECTORY.
set -uo pipefail

cd "$1" || exit 1
bad=0

# Longest source file in lines.
limit=500

files() {
    find . -path ./target -prune -o -path ./.git -prune -o -type f "$@" -print
}

# Reports the lines on standard input as breaches of a rule.
refuse() {
    local line
    while IFS= read -r line; do
        echo "$line: $1"
        bad=1
    done
}

sources() {
    files -name '*.rs' -path '*/src/*'
}

rust() {
    files -name '*.rs'
}

# Prints file and line of each match of a pattern in the files on standard input.
search() {
    xargs -r -d '\n' grep -nE -- "$1" /dev/null | cut -d: -f1,2
}

refuse "tests stand in test files, not in src" < <(sources | search '#\[(cfg\(test\)|test\]|rstest\])')
refuse "a module is a file beside its folder" < <(files -name mod.rs)
refuse "no test is left out" < <(rust | search '#\[ignore')
refuse "nothing is left to be written" < <(rust | search '\b(todo|unimplemented)!')
refuse "io_uring stays off" < <(files -name Cargo.toml | search 'io[-_]uring')
refuse "a conflict is left" < <(files \( -name '*.rs' -o -name '*.toml' -o -name '*.lock' -o \
    -name '*.md' -o -name '*.json' -o -name '*.pml' \) | search '^(<<<<<<<|>>>>>>>) ')
refuse "a module starts with its doc comment" < <(sources | while IFS= read -r file; do
    head -n 1 "$file" | grep -q '^//! ' || echo "$file"
done)
refuse "log lines are written by event!" < <(sources | grep -v '/laburnumcart/src/event\.rs$' |
    search '\blog::(error|warn|info|debug|trace|log)!')
refuse "longer than $limit lines" < <(rust | while IFS= read -r file; do
    [ "$(wc -l <"$file")" -le $limit ] || echo "$file"
done)
refuse "a path or address of one machine" < <(files \( -name '*.rs' -o -name '*.toml' -o \
    -name '*.md' -o -name '*.json' \) | search '(^|[^a-z.])/(work|home|root)/')

exit $bad
