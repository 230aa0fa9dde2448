#!/usr/bin/env bash
# Shows the whole path on loopback: installs packages, builds, starts the
# stand-ins and three entry hosts in three availability zones, runs a streamed
# completion, an order sent twice, a table edit and a key withdrawal, and stops.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh plain bluebellraild bluebellrailctl standin_platform \
  standin_engine standin_service >/dev/null

port="${BLUEBELL_DEMO_PORT:-18100}"
bin=build/bin
work="$(mktemp -d)"
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
say() { printf '\n== %s\n' "$*"; }
await() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  tail -20 "$work/log" >&2
  return 1
}

platform=127.0.0.1:$port
engine=127.0.0.1:$((port + 1))
service=127.0.0.1:$((port + 2))
host() { echo "127.0.0.1:$((port + 10 + 3 * $1 + $2))"; }  # index, 0 callers 1 admin 2 peers

say "stand-ins: platform $platform, model engine $engine, order service $service"
start $bin/standin_platform --listen "$platform"
start $bin/standin_engine --listen "$engine" --models rosette:1000 --memory-bytes 10000
start $bin/standin_service --listen "$service"
await curl -sf "http://$platform/admin/counters"

printf 'demo-operator-key' >"$work/operator.key"
digest="$(sha256sum "$work/operator.key" | cut -d' ' -f1)"
zones=(dakar thies rufisque)
for i in 0 1 2; do
  cat >"$work/host-$i.ini" <<INI
[host]
id = host-$i
zone = ${zones[$i]}
listen = $(host $i 0)
admin_listen = $(host $i 1)
peer_listen = $(host $i 2)
drain_ms = 1000
[platform]
addresses = $platform
[peers]
seeds = $(host 0 2), $(host 1 2), $(host 2 2)
[admin]
operator_key_digests = $digest
INI
  $bin/bluebellraild --config "$work/host-$i.ini" --check
  start $bin/bluebellraild --config "$work/host-$i.ini"
done
ctl() { $bin/bluebellrailctl --admin "$(host 0 1)" --operator-key-file "$work/operator.key" "$@"; }
three_hosts() { [ "$(curl -sf "http://$(host 0 0)/v1/entry-hosts" | jq '.hosts | length')" = 3 ]; }
await three_hosts

say "operators declare an account, a model, endpoints and a route"
ctl table set --create accounts ndiaye weight=1 rate=1000 burst=5000 priority=1
ctl table set --create models rosette memory_bytes=1000 min_copies=1
ctl table set --create endpoints engine-1 address="$engine" zone=dakar kind=engine memory_bytes=10000 checks_fencing=false max_concurrency=8
ctl table set --create endpoints orders-1 address="$service" zone=dakar kind=service group=orders memory_bytes=0 max_concurrency=8
ctl table set --create routes orders prefix=/orders group=orders open=false repeatable=false
key="$(ctl --json key grant --account ndiaye | jq -r .key)"

say "a caller asks host-0 for addresses"
curl -s "http://$(host 0 0)/v1/entry-hosts?zone=thies" | jq -c .
address="$(curl -s "http://$(host 0 0)/v1/entry-hosts?zone=thies" | jq -r '.hosts[0].address')"

auth="Authorization: Bearer $key"
json="Content-Type: application/json"
completion='{"model":"rosette","prompt":"suggest a border","max_tokens":6,"stream":true}'
answers() { curl -sf -o /dev/null -H "$auth" -H "$json" -d "$completion" "http://$1/v1/completions"; }
await answers "$address"

say "a streamed completion through $address"
curl -sN -H "$auth" -H "$json" -d "$completion" "http://$address/v1/completions"

say "one order sent twice with the same idempotency key, to two hosts"
order='{"order":"set-17","what":"engraved set"}'
curl -s -H "$auth" -H "$json" -H "Idempotency-Key: set-17" -d "$order" "http://$(host 0 0)/orders"; echo
curl -s -H "$auth" -H "$json" -H "Idempotency-Key: set-17" -d "$order" "http://$(host 2 0)/orders"; echo
echo "runs counted by the service: $(curl -s "http://$service/admin/runs")"

say "a table edit: burst of 10 tokens, then a request that needs more"
ctl table set accounts ndiaye burst=10
refused() { curl -s -H "$auth" -H "$json" -d "${completion/\"max_tokens\":6/\"max_tokens\":60}" "http://$(host 1 0)/v1/completions" | grep request_exceeds_burst; }
await refused
refused | jq -c '{code, detail, executed}'

say "a key withdrawal, seen on every host"
printf '%s' "$key" >"$work/key"
ctl key withdraw --key-file "$work/key"
for i in 0 1 2; do
  withdrawn() { curl -s -H "$auth" -H "$json" -d "$completion" "http://$(host $i 0)/v1/completions" | grep key_invalid; }
  await withdrawn
  echo "host-$i $(host $i 0): $(withdrawn | jq -c '{code, executed}')"
done

say "status and the last events of all hosts"
ctl status
$bin/bluebellrailctl --admin "$(host 0 1),$(host 1 1),$(host 2 1)" --operator-key-file "$work/operator.key" timeline | tail -5
say "done"
