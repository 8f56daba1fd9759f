# The demo's deployment: its VMs, their settings, and the demo's steps.
# A VM is NAME:DATA-CENTRE:OCTET[:SERVICE]; its address: 127.<base>.<data centre>.<octet>.

dcs=(hall-atl hall-bhm hall-jax)
declare -A dc_octet=([hall-atl]=1 [hall-bhm]=2 [hall-jax]=3)
controls=(control-atl:hall-atl:10 control-bhm:hall-bhm:10 control-jax:hall-jax:10)
balancers=(lb-atl-1:hall-atl:21 lb-atl-2:hall-atl:22 lb-bhm-1:hall-bhm:21 lb-jax-1:hall-jax:21)
new_balancer=lb-bhm-2:hall-bhm:22
backends=(desk-atl-1:hall-atl:31:order-desk desk-atl-2:hall-atl:32:order-desk
  desk-atl-3:hall-atl:33:order-desk desk-bhm-1:hall-bhm:31:order-desk
  desk-bhm-2:hall-bhm:32:order-desk desk-jax-1:hall-jax:31:order-desk
  desk-jax-2:hall-jax:32:order-desk vault-atl-1:hall-atl:41:ticket-vault
  vault-bhm-1:hall-bhm:41:ticket-vault vault-jax-1:hall-jax:41:ticket-vault)
feed_address=127.$base.100.1
caller_address=127.$base.200.1
new_caller_address=127.$base.200.2 # on the old address a reused port would be the old flow
feed_port=5000

field() { cut -d: -f"$2" <<<"$1"; }
address_of() { echo "127.$base.${dc_octet[$(field "$1" 2)]}.$(field "$1" 3)"; }

can_send_raw() {
  python3 -c 'import socket; socket.socket(socket.AF_INET, socket.SOCK_RAW, socket.IPPROTO_RAW)' 2>/dev/null
}

# quoted PORT VM...: prints "a.b.c.d:port", ...
quoted() {
  local port=$1 vm out=
  shift
  for vm in "$@"; do out+="${out:+, }\"$(address_of "$vm"):$port\""; done
  echo "$out"
}

control_list=$(quoted 8080 "${controls[@]}" | tr -d '" ')

# --- settings ----------------------------------------------------------------------------------

control_settings() {
  local vm=$1 name
  name=$(field "$vm" 1)
  mkdir -p "$work_dir/data/$name"
  cat >"$work_dir/$name.json" <<JSON
{ "name": "$name", "data_centre": "$(field "$vm" 2)", "address": "$(address_of "$vm")",
  "data_folder": "$work_dir/data/$name", "members": [$(quoted 7000 "${controls[@]}")] }
JSON
}

balancer_settings() {
  cat >"$work_dir/$(field "$1" 1).json" <<JSON
{ "name": "$(field "$1" 1)", "data_centre": "$(field "$1" 2)", "address": "$(address_of "$1")",
  "control": [$(quoted 7000 "${controls[@]}")] }
JSON
}

agent_settings() {
  local vm=$1 near=() b
  for b in "${balancers[@]}"; do [ "$(field "$b" 2)" = "$(field "$vm" 2)" ] && near+=("$b"); done
  cat >"$work_dir/agent-$(field "$vm" 1).json" <<JSON
{ "name": "$(field "$vm" 1)", "data_centre": "$(field "$vm" 2)", "service": "$(field "$vm" 4)",
  "address": "$(address_of "$vm")", "balancers": [$(quoted 7000 "${near[@]}")],
  "data_folder": "$work_dir/claims-$(field "$vm" 1)",
  "backend": { "http": "$(address_of "$vm"):8000", "feed": "$(address_of "$vm"):8001" },
  "delivery": "$delivery", "ramp_ms": 1000, "udp_idle_ms": 3000 }
JSON
}

market_settings() {
  cat >"$work_dir/market.json" <<JSON
{ "data_centres": [{ "name": "hall-atl", "region": "southeast" }, { "name": "hall-bhm", "region": "southeast" },
                   { "name": "hall-jax", "region": "southeast" }],
  "services": [
    { "name": "order-desk", "limits": { "request_timeout_ms": 5000 },
      "objectives": { "good_ppm": 999000, "latency_ms": 500 },
      "addresses": ["$feed_address:$feed_port/udp"],
      "routes": [{ "path_prefix": "/orders" }] },
    { "name": "ticket-vault", "limits": { "request_timeout_ms": 10000 },
      "objectives": { "good_ppm": 995000, "latency_ms": 2000 },
      "routes": [{ "path_prefix": "/tickets" }] } ] }
JSON
}

site_settings() {
  local vm
  delivery=${DEMO_DELIVERY:-$(can_send_raw && echo inject || echo relay)}
  for vm in "${controls[@]}"; do control_settings "$vm"; done
  for vm in "${balancers[@]}" "$new_balancer"; do balancer_settings "$vm"; done
  for vm in "${backends[@]}"; do agent_settings "$vm"; done
  market_settings
  note "settings in $work_dir; packets reach the backend servers by $delivery"
}

# --- processes ---------------------------------------------------------------------------------

start_control() { start "$1" "$build/src/control/lychee-control" --settings "$work_dir/$1.json"; }
start_balancer() {
  local name
  name=$(field "$1" 1)
  start "$name" "$build/src/balancer/lychee-balancer" --settings "$work_dir/$name.json"
}
start_backend() {
  local name
  name=$(field "$1" 1)
  start "server-$name" "$build/demo/lychee-demo-backend" --name "$name" \
    --http "$(address_of "$1"):8000" --feed "$(address_of "$1"):8001" --service-ms 5
  start "agent-$name" "$build/src/agent/lychee-agent" --settings "$work_dir/agent-$name.json"
}

write_balancer_files() {
  local vm
  for vm in "$@"; do echo "$(address_of "$vm"):7100"; done >"$work_dir/flow-balancers.new"
  for vm in "$@"; do echo "http://$(address_of "$vm"):8080"; done >"$work_dir/http-balancers.new"
  mv "$work_dir/flow-balancers.new" "$work_dir/flow-balancers"
  mv "$work_dir/http-balancers.new" "$work_dir/http-balancers"
}

start_all() {
  local vm
  for vm in "${controls[@]}"; do start_control "$(field "$vm" 1)"; done
  for vm in "${balancers[@]}"; do start_balancer "$vm"; done
  for vm in "${backends[@]}"; do start_backend "$vm"; done
  write_balancer_files "${balancers[@]}"
  note "${#pids[@]} processes started"
}

# --- control -----------------------------------------------------------------------------------

status_json() { lychee status --control "$control_list" --json 2>/dev/null; }
has_leader() { [ -n "$(status_json | json 'd["leader"] or ""')" ]; }
view_has() { [ "$(status_json | json "len(d['$1'])")" = "$2" ]; }
in_force_everywhere() {
  [ "$(status_json | json 'len(d["data_centres"]) == 3 and 0 < d["config_revision"] <= min(c["in_force"] for c in d["data_centres"])')" = True ]
}
all_endpoints_active() {
  [ "$(status_json | json 'sum(e["state"] == "active" for e in d["endpoints"])')" = 10 ]
}

# plan_and_confirm PLAN-ARGUMENT...: shows the plan, confirms it, waits until it is in force.
plan_and_confirm() {
  local id
  lychee plan "$@" --control "$control_list" >"$work_dir/plan.txt" || return 1
  show <"$work_dir/plan.txt"
  id=$(sed -n 's/.*lychee confirm \([^ ]*\).*/\1/p' "$work_dir/plan.txt" | head -1)
  [ -n "$id" ] || return 1
  note "lychee confirm $id --wait"
  lychee confirm "$id" --wait --control "$control_list" >"$work_dir/confirm.txt" || return 1
  show <"$work_dir/confirm.txt"
}

open_market() {
  note "lychee plan open-market --file market.json"
  check "the plan was shown and its confirm put it in force" \
    plan_and_confirm open-market --file "$work_dir/market.json" || exit 1
}

# --- requests ----------------------------------------------------------------------------------

nth_balancer() { sed -n "$((($1 % $(wc -l <"$work_dir/http-balancers")) + 1))p" "$work_dir/http-balancers"; }

# order KEY BALANCER_URL: prints the status; the body is in answer.KEY.
order() {
  curl -s -m 10 -o "$work_dir/answer.$1" -w '%{http_code}' -X POST -H "Idempotency-Key: $1" \
    -H 'Content-Type: application/json' -d '{"uplift_l":4200}' "$2/orders"
}
runs_of() {
  local vm total=0 n
  for vm in "${backends[@]}"; do
    n=$(curl -s -m 5 "http://$(address_of "$vm"):8000/runs/$1" | json 'd["runs"]')
    total=$((total + ${n:-0}))
  done
  echo "$total"
}

one_order_each() {
  local i=0 url
  while read -r url; do
    i=$((i + 1))
    [ "$(order "first-$i" "$url")" = 200 ] || return 1
    [ "$(json 'd["key"]' <"$work_dir/answer.first-$i")" = "first-$i" ] || return 1
    [[ "$(json 'd["server"]' <"$work_dir/answer.first-$i")" == desk-* ]] || return 1
  done <"$work_dir/http-balancers"
}
one_archive_each() {
  local url sum
  while read -r url; do
    sum=$(curl -s -m 10 -D "$work_dir/archive.head" "$url/tickets/2000" | sha256sum | cut -d' ' -f1)
    grep -qi "x-sha256: $sum" "$work_dir/archive.head" || return 1
  done <"$work_dir/http-balancers"
}

check_requests() {
  check "an order through each of the four balancers was answered by an order desk" one_order_each
  check "a ticket archive of 2 MB through each balancer came back whole (SHA-256)" one_archive_each
}

resend_gets_first_answer() {
  [ "$(order resend-1 "$(nth_balancer 0)")" = 200 ] || return 1
  cp "$work_dir/answer.resend-1" "$work_dir/answer.first"
  [ "$(order resend-1 "$(nth_balancer 2)")" = 200 ] || return 1
  cmp -s "$work_dir/answer.first" "$work_dir/answer.resend-1"
}
ran_once() { [ "$(runs_of "$1")" = 1 ]; }
check_resend() {
  check "the same Idempotency-Key through another balancer got the first answer" resend_gets_first_answer
  show <"$work_dir/answer.resend-1"
  check "the backend servers counted one run of it" ran_once resend-1
}

# --- orders during the changes -----------------------------------------------------------------

# One caller: sends orders one after another; retries each, up to 8 attempts, with the same key
# through the next balancer, as a dispatcher would.
order_caller() {
  local caller=$1 n=0 attempt code key
  while [ ! -e "$work_dir/orders.stop" ]; do
    n=$((n + 1))
    key="order-$caller-$n"
    for attempt in 0 1 2 3 4 5 6 7; do
      code=$(order "$key" "$(nth_balancer $((n + caller + attempt)))")
      echo "$key $attempt $code" >>"$work_dir/orders.$caller"
      [ "$code" = 200 ] && break
      sleep 0.2
    done
    rm -f "$work_dir/answer.$key.kept"
    mv "$work_dir/answer.$key" "$work_dir/answer.$key.kept" 2>/dev/null
  done
}

orders_begin() {
  local i
  rm -f "$work_dir/orders.stop"
  for i in 1 2 3 4; do
    order_caller "$i" &
    pids[orders-$i]=$!
  done
  note "four callers send orders from now on, asking again with the same key when refused"
}

orders_end() {
  local i
  touch "$work_dir/orders.stop"
  for i in 1 2 3 4; do reap "orders-$i" 60; done
}

no_order_lost() {
  python3 - "$work_dir" <<'PY'
import glob, json, sys
folder, keys, done = sys.argv[1], set(), set()
for name in glob.glob(folder + "/orders.[1-4]"):
    for line in open(name):
        key, attempt, code = line.split()
        keys.add(key)
        if code == "200" and json.load(open(f"{folder}/answer.{key}.kept"))["key"] == key:
            done.add(key)
print(f"   orders {len(keys)}, answered whole {len(done)}")
for key in sorted(keys - done)[:5]:
    print(f"   not answered: {key}")
sys.exit(0 if keys and keys == done else 1)
PY
}

none_run_twice() {
  local vm most
  for vm in "${backends[@]}"; do
    most=$(curl -s -m 5 "http://$(address_of "$vm"):8000/runs" | json 'd["most_runs_of_a_key"]')
    [ -n "$most" ] && [ "$most" -le 1 ] || return 1
  done
  [ "$(total_runs)" = "$(($(cat "$work_dir"/orders.[1-4] | cut -d' ' -f1 | sort -u | wc -l) + 4 + 1))" ]
}
total_runs() {
  local vm total=0
  for vm in "${backends[@]}"; do
    total=$((total + $(curl -s -m 5 "http://$(address_of "$vm"):8000/runs" | json 'd["total"]')))
  done
  echo "$total"
}

check_orders() {
  check "no order was lost: each was answered whole, by its own key" no_order_lost
  check "no order ran twice: as many runs as orders" none_run_twice
  note "$(cat "$work_dir"/orders.[1-4] | awk '$3 != 200' | wc -l) answers were not 200 and were asked again"
}

# --- the feed ----------------------------------------------------------------------------------

start_feed() {
  start feed "$build/demo/lychee-demo-feed" --service "$feed_address:$feed_port" \
    --source "$caller_address" --balancers "$work_dir/flow-balancers" --flows 60 --interval-ms 50 \
    --seconds 300 --seed 7
}
feed_last() { grep -v '"final":true' "$work_dir/feed.out" | tail -1; }
feed_is_whole() {
  [ "$(feed_last | json 'd["broken_flows"] == 0 and d["silent_flows"] == 0 and sum(d["servers"].values()) == d["flows"]')" = True ]
}
check_feed_so_far() {
  check "each of the 60 flows is answered by one server" feed_is_whole
  feed_last | show
}
check_feed_end() {
  kill -TERM "${pids[feed]}"
  check "no feed broke and none fell silent through all changes" reap feed 10
  tail -1 "$work_dir/feed.out" | show
}

# --- changes -----------------------------------------------------------------------------------

drain_backend() {
  drained=$(feed_last | json 'max(d["servers"], key=d["servers"].get)')
  note "lychee plan drain $drained"
  check "the drain was planned, confirmed and is in force" plan_and_confirm drain "$drained"
  sleep 5
  drained_vm=$(printf '%s\n' "${backends[@]}" | grep "^$drained:")
  runs_at_drain=$(drained_runs)
  flows_at_drain=$(drained_flows)
  note "5 s later $drained had run $runs_at_drain requests and held $flows_at_drain flows"
}
drained_runs() { curl -s -m 5 "http://$(address_of "$drained_vm"):8000/runs" | json 'd["total"]'; }
drained_flows() { curl -s -m 5 "http://$(address_of "$drained_vm"):8000/feed" | json 'd["flows"]'; }
new_callers_avoid_it() {
  "$build/demo/lychee-demo-feed" --service "$feed_address:$feed_port" --source "$new_caller_address" \
    --balancers "$work_dir/flow-balancers" --flows 60 --interval-ms 50 --seconds 2 --seed 8 >"$work_dir/feed-2.out"
  local code=$?
  tail -1 "$work_dir/feed-2.out" | show
  [ "$code" -eq 0 ] && [ "$(tail -1 "$work_dir/feed-2.out" | json "'$drained' in d['servers']")" = False ]
}
got_no_new_work() {
  [ -n "$runs_at_drain" ] && [ "$(drained_runs)" = "$runs_at_drain" ] && [ "$(drained_flows)" = "$flows_at_drain" ]
}
check_drained_stayed_idle() {
  check "60 new flows went to other servers" new_callers_avoid_it
  check "$drained got no new request and no new flow since" got_no_new_work
}

replace_balancer() {
  local vm left=()
  for vm in "${balancers[@]}"; do [ "$(field "$vm" 1)" != lb-atl-2 ] && left+=("$vm"); done
  balancers=("${left[@]}" "$new_balancer")
  start_balancer "$new_balancer"
  wait_for "$(field "$new_balancer" 1) is ready" 20 curl -sf -o /dev/null -m 2 "http://$(address_of "$new_balancer"):9100/readyz"
  write_balancer_files "${balancers[@]}"
  sleep 1
  check "lb-atl-2 stopped gracefully" stop_gracefully lb-atl-2
  sleep 2
}

kill_leader() {
  local leader
  leader=$(status_json | json 'd["leader"]')
  note "kill -9 $leader"
  kill -KILL "${pids[$leader]}"
  wait "${pids[$leader]}" 2>/dev/null
  unset "pids[$leader]"
  killed_control=$leader
  require "another control VM leads" 30 another_leads
}
another_leads() {
  local now
  now=$(status_json | json 'd["leader"] or ""')
  [ -n "$now" ] && [ "$now" != "$killed_control" ]
}
check_change_without_it() {
  local other
  note "lychee status"
  lychee status --control "$control_list" | sed -n '/under way/,$p;/^needs/,$p' | uniq | show
  other=$(feed_last | json "sorted(s for s in d['servers'] if s != '$drained')[0]")
  check "a further change is planned and in force: drain of $other" plan_and_confirm drain "$other"
  sleep 2
}

# --- end ---------------------------------------------------------------------------------------

check_burn() {
  check "lychee burn reports" burn_reports
  check "it counted at least 120 flows, none broken, and every process answered" burn_counts_agree
}
burn_reports() {
  lychee burn --control "$control_list" >"$work_dir/burn.txt" || { show <"$work_dir/burn.txt"; return 1; }
  show <"$work_dir/burn.txt"
}
burn_counts_agree() {
  lychee burn --control "$control_list" --service order-desk --json | json \
    '[(n["flow_opened"] >= 120 and n["flow_broken"] == 0 and n["good"] > 0)
      for r in d["reports"] if r["data_centre"] is None
      for w in r["windows"] if w["window"] == "1h" for n in [w["counts"]]] == [True] and d["unheard"] == []' |
    grep -q True
}

check_graceful_stop() {
  local name agents=() lbs=() ctls=() servers=()
  for name in "${!pids[@]}"; do
    case $name in
      agent-*) agents+=("$name") ;;
      lb-*) lbs+=("$name") ;;
      control-*) ctls+=("$name") ;;
      server-*) servers+=("$name") ;;
    esac
  done
  check "${#agents[@]} agents stopped on SIGTERM with exit 0" stop_gracefully "${agents[@]}"
  check "${#lbs[@]} balancers stopped on SIGTERM with exit 0" stop_gracefully "${lbs[@]}"
  check "${#ctls[@]} control VMs stopped on SIGTERM with exit 0" stop_gracefully "${ctls[@]}"
  check "${#servers[@]} backend servers stopped" stop_gracefully "${servers[@]}"
}
