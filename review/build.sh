#!/bin/sh
# Builds the programs of the cases, stand-ins included, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/case1 ./review/1
go build -o review/bin/case2 ./review/2
go build -o review/bin/case3 ./review/3
