#!/bin/sh
# Builds the stand-ins of the cases from review/4 on; needs the Rust toolchain and no crates.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin-2 review/standin-2/main.rs
