#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the programs of the deploy file: the stand-ins of the store, the runners
# and the clients, and the checks of the rules, in one program.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -tags review2 -o target/review2/harness2 ./review/harness2
