#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin2 ./review/standin2
