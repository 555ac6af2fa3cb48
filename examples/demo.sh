#!/usr/bin/env bash
# Starts the Utility's deployment locally with stand-ins, sends requests
# through it and prints a summary. KEEP=1 leaves the processes running.
set -euo pipefail

here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d "${TMPDIR:-/tmp}/geraniumdrum.XXXXXX")
pids=()
step=0

stop_all() {
  local status=$?
  trap - EXIT
  if [ "$status" -ne 0 ]; then
    echo "FAILED in step $step; logs are in $work" >&2
    tail -n 3 "$work"/*.err >&2 || true
  fi
  if [ "${KEEP:-}" = 1 ] && [ "$status" -eq 0 ]; then
    explain_kept
  else
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    if [ "$status" -eq 0 ]; then rm -r "$work"; fi
  fi
  exit "$status"
}
trap stop_all EXIT

say() {
  step=$((step + 1))
  printf '[%2d] %s\n' "$step" "$*"
}

# launch NAME COMMAND...: starts a process in the background; its output,
# a JSON line with its addresses, goes to NAME.out.
launch() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  echo $! >"$work/$name.pid"
}

# field NAME FIELD: waits for the JSON line of a process and prints a field.
field() {
  python "$here/processes.py" "$work" line "$1" "$2"
}

fetch() {
  python "$here/fetch.py" "$@"
}

explain_kept() {
  cat <<KEPT
Left running: processes ${pids[*]}
  export GERANIUM_ADDRESS=$operator GERANIUM_TOKEN=$GERANIUM_OPERATOR_TOKEN
  geraniumctl run "show engines"
  curl -s http://$caller/v1/hosts
  kill ${pids[*]}
KEPT
}

export GERANIUM_OPERATOR_TOKEN=demo-operator
export GERANIUM_PEER_SECRET=demo-peer-secret

say 'Starting the platform, 9 engines and 3 application targets'
launch platform python -m geranium_standins.platform --port 0
platform=$(field platform address)
for number in $(seq 9); do
  launch "wording-llm-$number" python -m geranium_standins.engine --port 0 \
    --engine "wording-llm-$number" --model wording --seed "$number"
done
for number in 1 2 3; do
  launch "orders-app-$number" python -m geranium_standins.application \
    --port 0 --target "orders-app-$number" --service orders-app
done

say 'Starting 3 daemons, one in each availability zone'
for zone in khomas-a khomas-b khomas-c; do
  cat >"$work/$zone.json" <<SETTINGS
{"host": "$zone-1", "zone": "$zone", "region": "khomas",
 "platform": {"address": "$platform"}, "shutdown": {"linger_s": 1}}
SETTINGS
  launch "$zone" geraniumd "$work/$zone.json"
done
operator=$(field khomas-a operator)
caller=$(field khomas-a caller)
other=$(field khomas-b caller)

say 'Loading the configuration with geraniumctl'
python "$here/demo_configuration.py" "$here/utility/configuration.json" \
  "$work" >"$work/configuration.json"
export GERANIUM_ADDRESS=$operator GERANIUM_TOKEN=$GERANIUM_OPERATOR_TOKEN
python "$here/processes.py" "$work" ready khomas-a \
  "http://$operator/operator/v1/health/ready"
geraniumctl load "$work/configuration.json"

say 'Creating a key for the team registry'
key=$(geraniumctl --output json run 'create key demo for team registry' |
  python -c 'import json, sys
answer = json.load(sys.stdin)
row = answer["rows"][0]
print(row[answer["columns"].index("secret")] if isinstance(row, list)
      else row["secret"])')

say 'Asking which addresses to use'
fetch "http://$caller/v1/hosts?zone=khomas-b"
echo

say 'Sending a streamed chat'
fetch "http://$caller/v1/chat/completions" \
  --header "Authorization: Bearer $key" \
  --data '{"model": "wording-llm", "stream": true, "max_tokens": 12,
           "messages": [{"role": "user", "content": "A card for Ndapewa"}]}' \
  >"$work/chat.txt"
grep -q '^data: \[DONE\]$' "$work/chat.txt"
echo "$(grep -c '^data: {' "$work/chat.txt") events and the completion mark"

say 'Sending a print order, and the same again through another host'
order() {
  fetch "http://$1/apps/orders-app/orders" --output "$work/order-$2.txt" \
    --header "Authorization: Bearer $key" \
    --header 'Idempotency-Key: demo-order-1' --data '{"cards": 40}'
}
first=$(order "$caller" first)
second=$(order "$other" second)
echo "answers: $first, then $second"
[ "$first" = 200 ]

executions=0
for number in 1 2 3; do
  address=$(field "orders-app-$number" address)
  count=$(fetch "http://$address/log" | python -c \
    'import json, sys; print(len(json.load(sys.stdin)["executions"]))')
  executions=$((executions + count))
done
echo "the order ran $executions time(s)"
[ "$executions" = 1 ]
cmp "$work/order-first.txt" "$work/order-second.txt"

say 'What runs where, and for whom'
geraniumctl run 'show hosts' 'show engines columns engine, zone, role, running'
geraniumctl run 'show requests columns request, host, team, target, outcome'

say 'Stopping a daemon gracefully'
kill "${pids[-1]}"
wait "${pids[-1]}"

echo 'Shown: a whole streamed answer; a print order that ran once though it'
echo 'was sent twice through two hosts; one answer for the whole system.'
