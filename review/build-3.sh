#!/bin/sh
# Builds the stand-ins and drivers of the cases of this review into target/review-3.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
