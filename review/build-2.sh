#!/bin/sh
# Builds the stand-ins of the second review's cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -tags=review,netgo,osusergo -o bin/review-2 ./review/second
