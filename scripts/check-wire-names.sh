#!/usr/bin/env bash
# Names of the users' wire protocol belong to platform/ only. Fails and shows
# each place in the product's sources that knows one.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-(Attempt-Id|Server-Seal|Server-Load|Not-Executed|Expect-Instance'
names+='|Expect-Version|Instance-Id|Deadline-Ms|Token-Count|Prompt-Prefix'
names+='|Length-Hint|Model|Tenant|Request-Urgency|Weight-Versions|Hold|Pin-Ms'
names+='|Kv-Backup)|Kv-(From|Fetch)|store_revision|fencing_token|more_pages'
names+='|path_prefix":|target_latency_ms|gap_target_ms|api_keys|adapter_slots"'
names+='|evacuate_ms|X-Cold-Ms|cold_remaining_ms|Store-Era|Server-(Leaving|Limit|Brittle)|weights_mb"|load_time_s|disk_load_s|"/objects/|/resolve|/report"|/order"'
if git grep -nIE "$names" -- 'packages/*.h' 'packages/*.cpp' \
    ':!packages/*/tests/*'; then
  echo "the places above name the users' wire protocol outside platform/" >&2
  exit 1
fi
if git grep -nIwiE 'tenant' -- 'packages/*.h' 'packages/*.cpp'; then
  echo "the product's word is client account" >&2
  exit 1
fi
# Every log event of the hosted entry host stands in its catalogue.
grep -ohzP 'log\.Write\(\s*(\w+ \? )?"[a-z_]+"(\s*: "[a-z_]+")?' packages/edge/*.cpp |
  grep -aoE '"[a-z_]+"' | tr -d '"' | sort -u | while read -r event; do
  if ! grep -q "\`$event\`" docs/OPERATIONS.md; then
    echo "log event $event is missing in docs/OPERATIONS.md" >&2
    exit 1
  fi
done
echo "wire names: only in platform/"
