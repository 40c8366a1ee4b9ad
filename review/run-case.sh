#!/usr/bin/env bash
# Runs the stand-ins of case N: review/run-case.sh N. Called by review/N/run.sh, and ends with its exit code.
set -u
number=$1
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/review/release/case-$number
folder=$(mktemp -d) || exit 2
if [[ ! -x $program ]]; then
    echo "the case could not run: build review/build.sh first" >&2
    exit 2
fi
ROOT=$root FOLDER=$folder RECORD=$root/review/$number/record.txt timeout -k 2 110 "$program"
status=$?
# A case that was cut off can't have ended its gateway.
if [[ -s $folder/gateway.pid ]]; then kill -9 "$(cat "$folder/gateway.pid")" 2>/dev/null; fi
rm -r "$folder"
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
