#!/bin/sh
# build-2.sh: builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
packages="msgpack libmicrohttpd libcurl glib-2.0 jansson libxxhash zlib"
mkdir -p "$out"
build() {
  program=$1
  shift
  # shellcheck disable=SC2046
  ${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -Isrc -I. -Itest -o "$out/$program" "$@" \
    target/libdogwoodyoke-lib.a $(pkg-config --cflags --libs $packages) -lev -lm -lpthread
}
build fake_store test/fakes/fake_store.c test/support/snapshots.c
for folder in review/[6-9] review/10; do
  if [ -f "$folder/case.c" ]; then
    build "case-$(basename "$folder")" "$folder/case.c" review/lab-2/lab.c
  fi
done
