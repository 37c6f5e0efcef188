#!/usr/bin/env bash
# Prints the table of docs/POLICY.md, which compares all policies on all generated
# traces.
#
# Usage: scripts/policy-table.sh [SEED [LOAD]]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
load=${2:-1.15}
cargo build --quiet --release -p gooseberry-replay
replay=${CARGO_TARGET_DIR:-target}/release/gooseberry-replay
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for user in library cooperative; do
  traces=()
  for shape in shift day withdrawn morning-batch flash bad-version; do
    "$replay" generate --shape "$shape" --user "$user" --seed "$seed" --load "$load" \
      >"$work/$user-$shape.jsonl"
    traces+=("$user-$shape.jsonl")
  done
  config=$PWD/samples/$user/configuration.yaml
  (cd "$work" && "$OLDPWD/$replay" compare --seed "$seed" --config "$config" "${traces[@]}")
done
