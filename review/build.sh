#!/bin/sh
# Builds the stand-ins of the cases: target/review. The relay itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review ./review/bench
