#!/usr/bin/env bash
# Builds what the scripts start: the project's program, as deploy/system.toml does, and the kit.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ .
go build -o target/review-kit ./review/kit
