#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/kit-2/Cargo.toml --target-dir target
