#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=crash leaves out what is late, TROUBLE=0 leaves out all disruptions.
set -u
trouble=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/review-standin-2
[ -x "$program" ] && [ -x target/release/toucanring-node ] || exit 2
exec "$program" late-entry "$here" "$trouble"
