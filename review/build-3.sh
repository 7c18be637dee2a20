#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# target/review-3/. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra \
        -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
