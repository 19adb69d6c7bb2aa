#!/usr/bin/env bash
# Generates TypeScript from packages/wire/proto/*.proto. Requires protoc (Debian package protobuf-compiler).
# The generated code is committed, so neither the build nor the tests run this script.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc \
  --plugin=protoc-gen-ts_proto=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out=packages/wire/src/lib/generated \
  --ts_proto_opt=outputServices=grpc-js,env=node,esModuleInterop=true,forceLong=number,outputJsonMethods=false,oneof=unions-value,useOptionals=none,importSuffix= \
  --proto_path=packages/wire/proto \
  packages/wire/proto/*.proto
