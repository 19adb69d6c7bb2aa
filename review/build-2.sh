#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
node review/harness-2/buildStandIns.mjs
