#!/usr/bin/env bash
# Two forwarders of one zone are cut off from each other, and a client's open
# flow moves from one to the other. Writes record.txt. Exit code: 1 if FLOW was
# broken, 0 if not, 2 if the case couldn't run. TROUBLE=0: without the cut.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=review/12
program=target/review-3/cut_within_zone
[ -x target/bin/dotterelrouter ] && [ -x $program ] || exit 2
. review/standins-3/forwarders.sh
# Each forwarder knows the other one by the address of the link between them.
write_settings 1 212
write_settings 2 211
start_forwarder 1
start_forwarder 2
timeout 100 $program "$network" "${TROUBLE:-1}" $folder/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
