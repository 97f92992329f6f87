#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. It needs the Rust compiler of the project's own build, nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-stand review/stand-2/main.rs
