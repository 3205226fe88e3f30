#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/scenario.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$name" "$source"
done
