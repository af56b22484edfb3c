#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in platform worker cases answered_without_run late_acknowledgement \
  forgotten_grant dealt_anew; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$it" \
    "review/standin-3/$it.cpp" -pthread
done
