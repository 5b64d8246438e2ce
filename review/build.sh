#!/usr/bin/env bash
# Builds the stand-ins of the cases.  They use Python's standard library only,
# so there is nothing to install.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9] further
