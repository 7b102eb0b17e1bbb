#!/bin/sh
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file. The store
# is the project's own fake; workers and clients are part of each case's program.
set -e
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
cflags="-std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE"
deps=$(pkg-config --cflags --libs msgpack libmicrohttpd libcurl glib-2.0 jansson libxxhash)
cc $cflags -DG_LOG_USE_STRUCTURED -Isrc -I. -Itest -o "$out/fake_store" test/fakes/fake_store.c \
  test/support/snapshots.c target/libdogwoodyoke-lib.a $deps -lev -lm
for case in review/[1-5]/case.c; do
  [ -f "$case" ] || continue
  n=$(basename "$(dirname "$case")")
  cc $cflags -o "$out/case$n" "$case" review/harness/harness.c -lpthread
done
