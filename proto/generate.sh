#!/usr/bin/env bash
# Writes src/peridotpost/generated anew; needs grpcio-tools, the build does not.
set -eu
cd "$(dirname "$0")/.."
out=src/peridotpost/generated
"${PYTHON:-python3}" -m grpc_tools.protoc -I proto --python_out=$out --pyi_out=$out --grpc_python_out=$out control.proto
sed -i 's/^import control_pb2/from peridotpost.generated import control_pb2/' $out/control_pb2_grpc.py
