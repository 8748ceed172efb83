#!/usr/bin/env bash
# The lab's measurement: each scenario at 5, 15 and 30 gateways, the gateway beside both baselines, one run each;
# the table and chart gathered into docs/lab/measure. Takes some 20 to 30 minutes; run it on a quiet machine.
set -euo pipefail
cd "$(dirname "$0")/.."
lab=target/release/curlewfront-lab
out=${OUT:-lab-out/measure}
runs=()
for scenario in ${SCENARIOS:-calm zone-lost mass-restart retry-abuse}; do
    for gateways in ${SIZES:-5 15 30}; do
        for program in ${PROGRAMS:-curlewfront round-robin token-bucket}; do
            dir=$out/$scenario-$gateways-$program
            "$lab" run "lab/scenarios/$scenario.toml" --gateways "$gateways" --gateway "$program" --out "$dir" \
                > "$dir.txt" 2>&1 || true
            runs+=("$dir")
            grep -E '^(requests_served|p99_ms|rules_kept) ' "$dir.txt" | tr '\n' ' '; echo "<- $dir"
        done
    done
done
"$lab" gather --out "${TABLE:-docs/lab/measure}" "${runs[@]}"
