#!/usr/bin/env bash
# Builds what the cases with a script need: the product as the deploy file
# builds it, into target/, and the review's stand-ins, into target/review/.
# Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/seamglade ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  sh -c "$build" >&2
fi
mkdir -p target/review
if [ ! -x target/review/standin ] ||
  [ review/standin.cc -nt target/review/standin ]; then
  g++ -std=c++20 -O1 -o target/review/standin review/standin.cc -pthread
fi
