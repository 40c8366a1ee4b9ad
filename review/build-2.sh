#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (6 to 10). The gateway comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline --target-dir ../../target/review-2
