#!/bin/sh
# run.sh BUILD: runs the tests of a build folder and prints their totals last. Tests that
# KNOWN-RED.txt lists as "TEST:" are run, but their failures are only printed. In suites of which it
# lists single tests as "SUITE/TEST", only the failures of these are ignored; see known_red.sh.
set -eu
build=$1
known=$(sed -n 's/^\([a-z_-]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
partly=$(sed -n 's/^\([a-z_-]*\)\/[a-z_]*.*:.*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)
apart=$(printf '%s\n' "$known" $partly | sed '/^$/d' | paste -sd '|' -)
log=$build/test.log
result=0
if [ -n "$apart" ]; then
  cat KNOWN-RED.txt
fi
if [ -n "$known" ]; then
  ctest --test-dir "$build" -R "^($known)\$" || true
fi
for suite in $partly; do
  test/known_red.sh "$build" "$suite" plain || result=1
done
if [ -n "$apart" ]; then
  ctest --test-dir "$build" --output-on-failure -E "^($apart)\$" >"$log" 2>&1 || result=1
else
  ctest --test-dir "$build" --output-on-failure >"$log" 2>&1 || result=1
fi
cat "$log"
total=$(sed -n 's/.*tests failed out of \([0-9]*\).*/\1/p' "$log")
failed=$(sed -n 's/.* \([0-9]*\) tests failed out of.*/\1/p' "$log")
echo "$((${total:-0} - ${failed:-0})) passed, ${failed:-0} failed"
[ "$result" -eq 0 ] && [ "${total:-0}" -gt 0 ]
