#!/bin/sh
# Needs the build of the deploy file and review/build-2.sh.
# Writes what was sent, answered and run to review/7/record.txt.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/review-2 exec python3 review/7/quota.py
