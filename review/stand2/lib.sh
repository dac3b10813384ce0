# Sourced by the scripts of the cases of the second review. play TEST starts the stand-ins and the nodes, and exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
play() {
  cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
  [ -x target/fireflylanding ] && [ -x target/review-stand2 ] || { echo "build first: the line of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
  local dir started=() stand pid
  dir=$(mktemp -d) || exit 2
  finish() {
    for pid in "${started[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    if [ -n "$KEEP_LOGS" ]; then mkdir -p "$KEEP_LOGS" && cp "$dir"/* "$KEEP_LOGS"/; fi
    rm -rf "$dir"
  }
  trap finish EXIT
  CASE_DIR=$dir CASE_RECORD=$CASE_RECORD TROUBLE=${TROUBLE:-1} target/review-stand2 -test.run "^$1\$" -test.timeout 112s >"$dir/stand.log" 2>&1 &
  stand=$!
  started+=("$stand")
  for _ in $(seq 200); do
    [ -e "$dir/settings-written" ] && break
    kill -0 "$stand" 2>/dev/null || break
    sleep 0.05
  done
  for settings in "$dir"/*.json; do
    [ -e "$settings" ] || continue
    FIREFLYLANDING_SETTINGS=$settings target/fireflylanding platform >"${settings%.json}.log" 2>&1 &
    started+=("$!")
    disown "$!"
  done
  wait "$stand"
  grep -E '^(held|broken|impossible):' "$dir/stand.log"
  case "$(cat "$dir/verdict" 2>/dev/null)" in
    held) exit 0 ;;
    broken) exit 1 ;;
    *) tail -5 "$dir/stand.log" >&2; exit 2 ;;
  esac
}
