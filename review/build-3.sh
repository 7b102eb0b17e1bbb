#!/bin/sh
# Builds the stand-ins and the cases of the third review into target/review-3/, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="msgpack libmicrohttpd libcurl glib-2.0 jansson libxxhash zlib"
flags="-std=gnu11 -O2 -Wall -Wextra -Werror -D_GNU_SOURCE -pthread -Isrc -I. -Itest"
library="target/libdogwoodyoke-lib.a $(pkg-config --libs $packages) -lev -lm"
cc $flags $(pkg-config --cflags $packages) -o "$out/fake_store" \
  test/fakes/fake_store.c test/support/snapshots.c $library
for source in review/lab-3/*.c; do
  name=$(basename "$source" .c)
  [ "$name" = lab ] && continue
  cc $flags $(pkg-config --cflags glib-2.0) -o "$out/$name" "$source" review/lab-3/lab.c \
    $(pkg-config --libs glib-2.0)
done
