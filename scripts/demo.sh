#!/usr/bin/env bash
# Runs the complete system on the loopback interface with stand-ins for the engines,
# the plain service and the platform, replays a trace and prints the report.
#
# Usage: scripts/demo.sh [TRACE]
set -euo pipefail
cd "$(dirname "$0")/.."
trace=${1:-samples/demo/trace.jsonl}
profile=${GOOSEBERRY_PROFILE:-release}
# The ports used are GOOSEBERRY_PORTS followed by three digits (21000 to 21057), so
# that copies with other numbers can run at the same time.
ports=${GOOSEBERRY_PORTS:-21}
case $profile in
  release) cargo build --release --bins ;;
  *) cargo build --bins ;;
esac
bin=${CARGO_TARGET_DIR:-target}/$profile
work=$(mktemp -d)
pids=()

stop_all() {
  # Stops the daemons first (reverse order of start), so that they finish running
  # requests while the backend servers are still up.
  for pid in $(printf '%s\n' "${pids[@]}" | tac); do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  [ -n "${GOOSEBERRY_KEEP:-}" ] || rm -rf "$work"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

wait_for() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "command still fails after 300 attempts: $*" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

start platform "$bin/standin-platform" --listen 127.0.0.1:${ports}000 --control 127.0.0.1:${ports}001
port=${ports}010
for engine in a1 a2 a3 b1 b2 b3; do
  fencing=()
  # Must match checks_fencing in samples/demo/configuration.yaml.
  case $engine in a1 | a3 | b2) fencing=(--checks-fencing) ;; esac
  start "engine-$engine" "$bin/standin-engine" --name "engine-$engine" \
    --listen "127.0.0.1:$port" --control "127.0.0.1:$((port + 1))" "${fencing[@]}"
  port=$((port + 2))
done
start booking-a "$bin/standin-plain" --name booking-a --listen 127.0.0.1:${ports}030 --control 127.0.0.1:${ports}031
start booking-b "$bin/standin-plain" --name booking-b --listen 127.0.0.1:${ports}032 --control 127.0.0.1:${ports}033

daemons=()
callers=()
index=0
for daemon in a1 a2 b1 b2; do
  peers=""
  for other in 0 1 2 3; do
    [ $other = $index ] || peers="$peers 127.0.0.1:$((${ports}051 + 2 * other)),"
  done
  cat >"$work/$daemon.yaml" <<SETTINGS
name: daemon-$daemon
failure_domain: domain-${daemon%?}
listen: 127.0.0.1:$((${ports}050 + 2 * index))
peer_listen: 127.0.0.1:$((${ports}051 + 2 * index))
platform: 127.0.0.1:${ports}000
peer_secret: demonstration
peers: [$peers]
SETTINGS
  start "daemon-$daemon" "$bin/gooseberryd" --settings "$work/$daemon.yaml"
  callers+=(--daemon "127.0.0.1:$((${ports}050 + 2 * index))")
  daemons+=(--daemon "127.0.0.1:$((${ports}051 + 2 * index))")
  index=$((index + 1))
done

sed "s/127.0.0.1:21/127.0.0.1:$ports/" samples/demo/configuration.yaml >"$work/configuration.yaml"
ctl=("$bin/gooseberryctl" --platform 127.0.0.1:${ports}000 --secret demonstration "${daemons[@]}")
wait_for "${ctl[@]}" put --base 0 --author demonstration "$work/configuration.yaml"
serves_all() {
  [ "$("${ctl[@]}" status | grep -c "6 of 6 reachable")" = 4 ]
}
wait_for serves_all
"${ctl[@]}" status
echo
"$bin/gooseberry-caller" "${callers[@]}" --key branch=branch-key --key home=home-key "$trace"
echo
"${ctl[@]}" report --html "${GOOSEBERRY_REPORT:-$work/report.html}"
