#!/bin/bash
# Builds the stand-ins of the second review. It needs what the build of the deploy file needs, and no network after that.
cd "$(dirname "$0")/.." && exec go build -tags review2 -o target/review-2/stand-2 ./review/stand-2
