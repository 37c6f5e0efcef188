#!/usr/bin/env bash
# Regenerates the types under src/ from the schemas. Requires cargo-typify.
set -euo pipefail
cd "$(dirname "$0")"
for schema in schemas/*.schema.json; do
  name=$(basename "$schema" .schema.json)
  cargo typify --no-builder --additional-derive PartialEq --output "src/$name.rs" "$schema"
done
cargo fmt -p gooseberry-wire
