#!/bin/sh
# verdict.sh: tests run.sh and known_red.sh with made-up suites.
set -eu
scripts=$(cd "$(dirname "$0")" && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
cat >KNOWN-RED.txt <<'END'
whole: all of this suite
alpha/one: in both runs
alpha/two in plain: in one run
soak/process_start: seeds
  beta/one: not an entry, as it does not begin the line
END
cat >alpha.txt <<'END'
66%: Checks: 3, Failures: 1, Errors: 0
/a/test_alpha.c:1:F:alpha:one:0: failed
END
sed 's/:one:/:two:/' alpha.txt >alpha-two.txt
sed 's/:one:/:one_more:/' alpha.txt >alpha-longer.txt
sed 's/alpha:one/alpha:three/' alpha.txt >alpha-unlisted.txt
sed 's/F:alpha/E:alpha/; s/Failures: 1, Errors: 0/Failures: 0, Errors: 1/' alpha.txt >alpha-error.txt
sed 's/Failures: 1/Failures: 2/; $p; $s/:one:/:three:/' alpha.txt >alpha-both.txt
sed 's/Failures: 1/Failures: 2/' alpha.txt >alpha-uncounted.txt
sed 1d alpha.txt >alpha-endless.txt
sed 's/alpha/beta/g' alpha.txt >beta.txt
cat >soak.txt <<'END'
seed 1 tokens 1 of 2 broken 1
worker1 did not print 'ready':
0 passed, 1 failed
END
sed 's/broken 1/broken 2/' soak.txt >soak-more.txt
n_failed=0
# check RUN STATUS CLOSING SUITE[=OUTPUT]...: suites with an output fail with it, the others pass.
check () {
  run=$1 status=$2 closing=$3
  shift 3
  name="$run $*"
  : >CTestTestfile.cmake
  for suite; do
    case $suite in
      *=*) echo "add_test (${suite%=*} sh -c \"cat $dir/${suite#*=}.txt; exit 1\")" ;;
      *) echo "add_test ($suite true)" ;;
    esac >>CTestTestfile.cmake
  done
  actual=0
  "$scripts/run.sh" . "$run" 4 >output 2>&1 || actual=$?
  if [ "$((actual != 0))" -ne "$status" ] || [ "$(tail -n 1 output)" != "$closing" ]; then
    n_failed=$((n_failed + 1))
    echo "$name: status $actual, expected $status; closing line expected: $closing"
    cat output
  fi
}
check plain 0 '2 passed, 0 failed' alpha beta
check plain 1 '1 passed, 1 failed' alpha beta=beta
check plain 1 '0 passed, 1 failed'
check plain 0 '1 passed, 0 failed' whole=beta beta
check plain 0 '2 passed, 0 failed' alpha=alpha beta
check plain 0 '2 passed, 0 failed' alpha=alpha-two beta
check plain 1 '1 passed, 1 failed' alpha=alpha-longer beta
check plain 1 '1 passed, 1 failed' alpha=alpha-unlisted beta
check plain 1 '1 passed, 1 failed' alpha=alpha-error beta
check plain 1 '1 passed, 1 failed' alpha=alpha-both beta
check plain 1 '1 passed, 1 failed' alpha=alpha-uncounted beta
check plain 1 '1 passed, 1 failed' alpha=alpha-endless beta
check plain 1 '2 passed, 1 failed' alpha=alpha whole=beta beta=beta gamma
check plain 0 '1 passed, 0 failed' soak=soak
check plain 1 '0 passed, 1 failed' soak=soak-more
check leakcheck 0 'leakcheck: 2 passed, 0 failed' alpha=alpha beta
check leakcheck 1 'leakcheck: 1 passed, 1 failed' alpha=alpha-two beta
check leakcheck 1 'leakcheck: 1 passed, 1 failed' whole=beta beta
# ctest ends early.
mkdir bin
printf '#!/bin/sh\necho "1/2 Test #1: alpha ............   Passed    0.00 sec"\n' >bin/ctest
chmod +x bin/ctest
PATH=$dir/bin:$PATH
check plain 1 '1 passed, 1 failed' alpha beta
[ "$n_failed" -eq 0 ]
