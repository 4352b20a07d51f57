#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/stand-3 ./review/stand-3
