#!/usr/bin/env bash
# Runs case 3 as a script, in about 20 s. TROUBLE=0 leaves the cut out; the server leaves all the same.
exec bash "$(dirname "$0")/../run-case.sh" readers-cut "${1:-review/3}"
