#!/bin/sh
# Builds the stand-ins, callers and checks of the cases from review/11 on.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --offline --locked --manifest-path review/kit-3/Cargo.toml --target-dir target
