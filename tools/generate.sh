#!/usr/bin/env bash
# Regenerates internal/wire from the schema.
set -euo pipefail
cd "$(dirname "$0")/../schema"
go run -modfile=../tools/go.mod github.com/bufbuild/buf/cmd/buf generate
