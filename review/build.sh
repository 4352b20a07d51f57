#!/bin/bash
# Builds the stand-in that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -tags review -o target/review-stand ./review/stand
