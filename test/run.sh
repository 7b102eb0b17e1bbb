#!/bin/sh
# run.sh BUILD RUN JOBS [ARGUMENT...]: runs the suites of a build folder side by side, by the weights in
# test/CMakeLists.txt on JOBS cores, and prints the totals of all last. RUN is "plain" or "leakcheck"; arguments go to
# ctest. In the plain run the failure of a suite that KNOWN-RED.txt lists as "SUITE:" is only printed and not counted.
# Of any other suite that fails, known_red.sh decides whether all its failures are listed; it counts as passed then.
set -eu
build=$1 run=$2 jobs=$3
shift 3
log=$build/test.log
known=
if [ "$run" = plain ]; then
  known=$(sed -n 's/^\([a-z_-]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null || true)
  cat KNOWN-RED.txt 2>/dev/null || true
fi
# With it, ctest would start first what failed last, and a suite of several cores would wait until most others ended.
rm -f "$build/Testing/Temporary/CTestCostData.txt"
{ ctest --test-dir "$build" -j "$jobs" --output-on-failure "$@" 2>&1 || true; } | tee "$log"
end='^[0-9]+% tests passed, ([0-9]+) tests failed out of ([0-9]+)$'
line='^ *[0-9]+/[0-9]+ Test +#[0-9]+: '
total=$(sed -nE "s/$end/\2/p" "$log")
n_red=$(sed -nE "s/$end/\1/p" "$log")
passed=$(grep -cE "$line[^ ]+ \.+ +Passed +[0-9.]+ sec\$" "$log" || true)
red=$(grep -E "$line" "$log" | grep -vE ' \.+ +Passed +[0-9.]+ sec$' | sed -E "s,$line([^ ]+) .*,\1,")
failed=0
# Without its totals, or with others than its lines, ctest did not run all suites.
if [ "$((passed + $(echo "$red" | grep -c . || true)))" -ne "${total:-0}" ] \
  || [ "$((passed + ${n_red:-0}))" -ne "${total:-0}" ] || [ "${total:-0}" -eq 0 ]; then
  echo "ctest did not end with the totals of all suites"
  failed=1
fi
for suite in $red; do
  part=$build/failed-$suite.log
  awk -v suite="$suite" -v line="$line" '$0 ~ line { inside = $4 == suite }
    /^ +Start +[0-9]+: / || /^[0-9]+% tests passed, / { inside = 0 }
    inside' "$log" >"$part"
  if printf '%s\n' "$known" | grep -qxF -e "$suite"; then
    echo "passed over, as KNOWN-RED.txt lists it: $suite"
  elif "$(dirname "$0")/known_red.sh" "$part" "$suite" "$run"; then
    passed=$((passed + 1))
  else
    echo "failed: $suite"
    failed=$((failed + 1))
  fi
done
[ "$run" = plain ] || printf '%s: ' "$run"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
