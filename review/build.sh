#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
