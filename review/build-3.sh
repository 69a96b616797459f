#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The gateway is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o build/review-3/stand-3 ./review/stand-3
