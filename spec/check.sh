#!/bin/sh
# SPDX-License-Identifier: MIT
# Checks the models in this directory exhaustively; each must catch its mutants.
set -eu
cd "$(dirname "$0")"

# verify MODEL FLAGS: prints how many errors spin found.
verify() {
  rm -f pan pan.* ./*.trail
  # shellcheck disable=SC2086
  spin $2 -a "$1" >/dev/null
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c 2>/dev/null
  # -E: waiting for ever is not an error here; safety is what is checked.
  ./pan -E -m1000000 >pan.out 2>&1
  if ! grep -q 'errors:' pan.out; then
    cat pan.out >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out
}

holds() {
  errors=$(verify "$1" "$2")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
  # A search that ran out of memory or depth has shown nothing.
  if [ "$errors" != 0 ] || grep -q 'not completed\|MEMLIM\|too small' pan.out; then
    echo "FAILED: $1 does not hold"
    cat pan.out
    exit 1
  fi
  echo "$1${2:+ $2}: holds in all $states states"
}

caught() {
  errors=$(verify "$1" "$2")
  if [ "$errors" = 0 ]; then
    echo "FAILED: $1 does not notice $2"
    exit 1
  fi
  echo "$1 $2: caught"
}

holds claims.pml "-DN=2 -DTRIES=2"
holds claims.pml "-DN=3 -DTRIES=1"
for mutant in NO_CONDITION NO_OPERATION EAGER_RELEASE NO_REFUSAL; do
  caught claims.pml "-DN=2 -D$mutant"
done
holds attempts.pml ""
for mutant in SHORT_REBUILD NO_GUARD NO_LABEL; do
  caught attempts.pml "-D$mutant"
done
holds leases.pml ""
for mutant in FROM_ANSWER NO_VERSION; do
  caught leases.pml "-D$mutant"
done
holds leases.pml -DORDERS
caught leases.pml "-DORDERS -DNO_FENCE"
holds revisions.pml ""
holds revisions.pml -DRESTORE
caught revisions.pml "-DANY_OFFER -DRESTORE"
for mutant in UNCONDITIONAL HASTY_STALE; do
  caught revisions.pml "-D$mutant"
done

holds relay.pml ""
for mutant in FROM_RECEIPT FROM_ANSWER ANY_VERSION NO_DOUBT; do
  caught relay.pml "-D$mutant"
done
holds rests.pml ""
for mutant in NO_LOOK SHORTER SUCCESS ANY_START AS_LISTED FORGETS BY_LIST LAST_WORD; do
  caught rests.pml "-D$mutant"
done
holds limits.pml ""
for mutant in AS_IT_COMES ANY_END LATER_SENT; do
  caught limits.pml "-D$mutant"
done
holds restores.pml ""
for mutant in KEEP_VERSION NO_ERA NO_CONFIRM UNDO; do
  caught restores.pml "-D$mutant"
done
rm -f pan pan.* ./*.trail _spin*
