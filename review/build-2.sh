#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/replica ./review/rig2/replica
for n in 4 5 6 7 8; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review-2/case-$n" "./review/$n"
  fi
done
