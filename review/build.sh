#!/bin/sh
# Builds the stand-ins and clients of all scripts, without a network. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/kit/Cargo.toml --target-dir target
