#!/usr/bin/env bash
# Fails when a name of the users' pages stands outside platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
headers='X-Request-Id|X-Response-Seal|X-Token-Count|X-Expect-Instance|X-Not-Executed|X-Prefix-Hash|X-Deadline-Ms|X-Api-Key|X-Tenant|X-Length-Hint|X-Weight-Versions|X-Cold-Ms|X-Request-Priority|rows-tx|rows-get|rows-feed|/toucanring/(ready|report|order)|evacuate'
fields='maxAttempts|sloMs|gapTargetMs|coldLeftMs|coldStartS|coldPerS|fenceToken|closeMode|expectRev|apiKeys|maxConns|loadsPerS|retainCount'
files=('*.rs' '*.sh' ':!platform' ':!deploy' ':!scripts/check-names.sh')
if git grep -niE "$headers" -- "${files[@]}" || git grep -nE "$fields" -- "${files[@]}"; then
    echo "names of the users' platform stand outside platform/ and deploy/" >&2
    exit 1
fi
