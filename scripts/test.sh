#!/usr/bin/env bash
# Builds the programs that the integration tests start, then runs all tests.
#
# Usage: scripts/test.sh [CARGO TEST ARGUMENTS]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins
cargo test --workspace "$@"
