#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases; they need target/linkmast as well.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cases/...
