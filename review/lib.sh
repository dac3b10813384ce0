# Runs one scenario of the stand-ins and does what they ask for: it writes settings files, starts nodes, sends them signals and keeps the
# record. A script sets the folder of its case and calls run_scenario NAME.

run_scenario() {
	local name=$1 root status=2
	root=$(cd "$case_dir/../.." && pwd)
	if [ ! -x "$root/target/fireflylanding" ] || [ ! -x "$root/target/review-stand" ]; then
		echo "build the program (deploy/system.toml) and the stand-ins (review/build.sh) first" >&2
		return 2
	fi
	cd "$root"
	tmp=$(mktemp -d)
	declare -gA pids=()
	stand_pid=
	trap cleanup EXIT
	trap 'exit 2' INT TERM
	: >"$case_dir/record.txt"
	mkfifo "$tmp/instructions"
	# The stand-in and the readings of the clock in its record end long before the limit of 120 s.
	REVIEW_DIR=$tmp REVIEW_CASE=$name TROUBLE=${TROUBLE:-1} target/review-stand -test.run '^TestStand$' -test.timeout 110s >"$tmp/instructions" 2>"$tmp/stand.err" &
	stand_pid=$!
	local verb rest node argument
	while read -r verb rest; do
		case $verb in
		settings)
			node=${rest%% *}
			printf '%s' "${rest#* }" >"$tmp/$node.json"
			;;
		start)
			read -r node argument <<<"$rest"
			start_node "$node" "$argument"
			;;
		signal)
			read -r node argument <<<"$rest"
			kill -s "$argument" "${pids[$node]}"
			;;
		inspect)
			inspect "$rest"
			;;
		record)
			echo "$rest" >>"$case_dir/record.txt"
			;;
		result)
			status=${rest%% *}
			echo "result $rest" | tee -a "$case_dir/record.txt"
			;;
		esac
	done <"$tmp/instructions"
	if [ "$status" = 2 ]; then
		cat "$tmp/stand.err" >&2
	fi
	{
		echo "logs of the nodes, warnings and the life of the process:"
		for node in "${!pids[@]}"; do
			grep -hE '"level":"(warn|error)"|node started|graceful shutdown|stop|listener|settings' "$tmp/$node.log" | head -n 60 || true
		done
	} >>"$case_dir/record.txt"
	return "$status"
}

# start_node starts a node by the command of the deploy file. A limit on its descriptors applies to this process only.
start_node() {
	local node=$1 descriptors=$2
	(
		if [ "$descriptors" != 0 ]; then
			ulimit -n "$descriptors"
		fi
		export FIREFLYLANDING_SETTINGS=$tmp/$node.json
		exec target/fireflylanding platform
	) >>"$tmp/$node.log" 2>&1 &
	pids[$node]=$!
	echo $! >"$tmp/$node.pid"
}

# inspect records the open descriptors and the memory of a node.
inspect() {
	local pid=${pids[$1]}
	if [ -d "/proc/$pid" ]; then
		echo "$1: $(ls "/proc/$pid/fd" | wc -l) descriptors, resident $(awk '/^VmRSS:/ {r=$2} /^VmHWM:/ {h=$2} END {print int(r/1024) " MB, peak " int(h/1024) " MB"}' "/proc/$pid/status")" >>"$case_dir/record.txt"
	else
		echo "$1: has ended" >>"$case_dir/record.txt"
	fi
}

# cleanup ends the processes that the script started.
cleanup() {
	local pid
	for pid in "${pids[@]}" $stand_pid; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$tmp"
}
