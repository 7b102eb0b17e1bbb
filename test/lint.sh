#!/bin/sh
# lint.sh BUILD JOBS: runs cppcheck and clang-tidy on the sources, with the compile commands of a build
# folder, in JOBS processes.
set -eu
build=$1 jobs=$2
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j "$jobs" \
  --enable=warning,performance,portability --suppress=missingIncludeSystem \
  --suppress=nullPointerOutOfMemory -I src -I test -I . src platform test
git ls-files '*.c' | xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
