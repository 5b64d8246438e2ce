#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/review-2/.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r review/shared_2 target/review-2/shared_2
rm -rf target/review-2/shared_2/__pycache__
python3 -m compileall -q target/review-2
