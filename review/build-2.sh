#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: needs a C++ compiler alone.
# Usage: review/build-2.sh; the program comes to lie in build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -o build/review-2/standin-2 \
  review/standin-2.cc -lpthread
