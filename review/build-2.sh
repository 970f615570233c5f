#!/bin/sh
# Builds the program that plays the scripts of review/6 to review/10, with its stand-ins of the store, targets and clients.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/trials ./review/.trials
