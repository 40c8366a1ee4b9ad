#!/usr/bin/env bash
# Builds every stand-in that a case starts. Needs no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
