#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.  They use Python's
# standard library only, so there is nothing to install.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/standins
cp review/{__init__,caller,fleet,messages,record,store,worker}.py \
    target/review/standins/
python3 -m compileall -q target/review
