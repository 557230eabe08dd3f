#!/bin/sh
# Builds the stand-ins of the cases; the system itself is built by the command of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
