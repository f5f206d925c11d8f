#!/usr/bin/env bash
# Makes the committed code of the messages anew. It needs protoc, protoc-gen-go
# v1.36.12 and protoc-gen-go-grpc v1.6.2 on the path.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative \
  $(git ls-files --cached --others --exclude-standard -- '*.proto')
