#!/bin/sh
# lint.sh BUILD: runs cppcheck and clang-tidy on the sources, with the compile commands of a build
# folder.
set -eu
build=$1
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j 6 \
  --enable=warning,performance,portability --suppress=missingIncludeSystem \
  --suppress=nullPointerOutOfMemory -I src -I test -I . src platform test
git ls-files '*.c' | xargs -P 6 -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
