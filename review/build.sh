#!/usr/bin/env bash
# Builds the stand-ins and judges that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
