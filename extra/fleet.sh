# Starts a whole system on loopback and stops it again; to be sourced.
#
# The sourcing script sets: title, shape, size, pace, base, profile and keep.
# shellcheck shell=bash

# Longest waits in seconds.
ready_limit=60
stop_limit=40

dir=$(mktemp -d "${TMPDIR:-/tmp}/laburnumcart-$title.XXXXXX")
pids=()
names=()

# Ends what this script started and nothing else, the last started first.
stop() {
    local i pid tick left=()
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
    done
    for ((tick = 0; tick < stop_limit * 10; tick++)); do
        left=()
        for pid in "${pids[@]}"; do
            kill -0 "$pid" 2>/dev/null && left+=("$pid")
        done
        [ ${#left[@]} -eq 0 ] && break
        sleep 0.1
    done
    for pid in "${left[@]}"; do
        echo "$title: process $pid did not stop in ${stop_limit}s" >&2
        kill -KILL "$pid" 2>/dev/null || true
    done
    pids=()
    [ ${#left[@]} -eq 0 ]
}

leave() {
    local code=$?
    trap - EXIT
    stop || code=1
    if [ $code -ne 0 ] || [ -n "$keep" ]; then
        echo "$title: settings and logs are in $dir" >&2
    else
        rm -rf "$dir"
    fi
    exit $code
}
trap leave EXIT
trap 'exit 130' INT TERM

fail() {
    echo "$title: $1" >&2
    [ -n "${2:-}" ] && tail -n 5 "$dir/logs/$2.log" >&2
    exit 1
}

# Waits until a page answers 200: name, address, path.
await() {
    local tick
    for ((tick = 0; tick < ready_limit * 10; tick++)); do
        curl -sf -m 1 -o /dev/null "http://$2$3" && return
        sleep 0.1
    done
    fail "$1 is not ready after ${ready_limit}s" "$1"
}

# Builds and starts all processes, and waits until they are ready; sets bin, store and dir.
start() {
    echo "$title: building"
    flags=()
    [ $profile = release ] && flags+=(--release)
    cargo build --quiet ${CARGO_FLAGS:-} --workspace --bins "${flags[@]}"
    bin=${CARGO_TARGET_DIR:-target}/$profile
    bin=$(cd "$bin" && pwd)

    public=$("$bin/laburnumctl" keygen --name $title --out "$dir/key.json" --json |
        sed -n 's/.*"public" *: *"\([^"]*\)".*/\1/p')
    [ -n "$public" ] || fail "no public key from laburnumctl keygen"
    [ -n "$base" ] || base=$((12000 + RANDOM % 16000))
    "$bin/laburnum-plan" --shape "$shape" --size "$size" --pace "$pace" --dir "$dir" \
        --base-port "$base" --key "$title=$public"

    mkdir "$dir/logs"
    while read -r name program args; do
        # The arguments hold no spaces of their own.
        # shellcheck disable=SC2086
        "$bin/$program" $args </dev/null >"$dir/logs/$name.log" 2>&1 &
        pids+=($!)
        names+=("$name")
    done <"$dir/processes.txt"
    echo "$title: started ${#pids[@]} processes on ports from $base"

    store=127.0.0.1:$base
    await store "$store" /healthz
    for file in "$dir"/instances/*.json; do
        name=$(basename "$file" .json)
        curl -sf -m 5 --retry 5 --retry-all-errors -o /dev/null -X PUT -H 'if-none-match: *' \
            --data-binary "@$file" "http://$store/v1/objects/platform/instances/$name" ||
            fail "instance $name is not listed" store
    done

    ctl() {
        "$bin/laburnumctl" "$@" --settings "$dir/control.json"
    }
    ctl sign "$dir/bundle.json" --key "$dir/key.json" --out "$dir/bundle.signed"
    ctl accept "$dir/bundle.signed"
    while read -r name address; do
        await "$name" "$address" /readyz
    done <"$dir/ready.txt"
    echo "$title: all are ready"
}

# Checks that all processes still run, without io_uring and without children, and stops them.
finish() {
    for i in "${!pids[@]}"; do
        kill -0 "${pids[i]}" 2>/dev/null || fail "${names[i]} ended early" "${names[i]}"
        if ls -l "/proc/${pids[i]}/fd" | grep -q io_uring; then
            fail "${names[i]} has an io_uring descriptor"
        fi
        children=$(cat "/proc/${pids[i]}/task/"*/children 2>/dev/null | tr -d ' ' || true)
        [ -z "$children" ] || fail "${names[i]} has started a process"
    done
    echo "$title: no io_uring descriptor, no process started by another"
    stop || fail "a process did not stop by itself"
    echo "$title: all processes have stopped"
}
