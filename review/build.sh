#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -pthread -Istandin standin/main.cpp -o build/review_case
