#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -Wshadow -pthread review/standin/*.cpp -o target/review/standin
