#!/bin/sh
# Builds the stand-ins of the review's cases: one program without dependencies, in target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-ins review/stand-ins/main.rs
