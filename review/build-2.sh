#!/bin/sh
# Builds the stand-in that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")"
mkdir -p build-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build-2/world standin-2/*.cpp
