package sizing

import (
	"fmt"
	"strings"
)

func (m *Model) slopeTable() Table {
	t := Table{name: "slopes", header: []string{"slope", "what", "sizes", "intercept", "slope", "standard error", "residual"}}
	for _, s := range m.slopes.All() {
		sizes := make([]string, len(s.sizes))
		for i, size := range s.sizes {
			sizes[i] = number(size)
		}
		t.add("`"+s.name+"`", s.what, strings.Join(sizes, "; "), number(s.line.intercept)+" "+s.unit,
			number(s.line.slope)+" "+s.unit+" / "+s.per, number(s.line.slopeError), number(s.line.residual)+" "+s.unit)
	}
	return t
}

func (m *Model) budgetTable() Table {
	t := Table{name: "budgets", header: []string{"quantity", "computed", "budget", "verdict"}}
	cpu := (m.idleCPU() + m.changesCPU() + m.meshIdle("link_idle_cpu", m.meshEnds())) / 1e6
	t.add("CPU of a node for control, mean over a day", percent(cpu)+" of a core", percent(budgetCPU), verdict(cpu, budgetCPU))
	live := m.liveMemory()
	t.add("memory of a node, live", bytesText(live), bytesText(budgetMemory), verdict(live, budgetMemory))
	t.add("memory of a node, with the garbage collector's default reserve", bytesText(collectorRatio*live), bytesText(budgetMemory),
		verdict(collectorRatio*live, budgetMemory))
	bytes := m.idleBytes() + m.changesBytes()
	t.add("bytes that a node sends for control", bytesText(bytes)+"/s", bytesText(budgetBytes)+"/s", verdict(bytes, budgetBytes))
	mesh := m.meshIdle("link_idle_bytes", m.meshEnds())
	t.add("the same with idle connections to all owners", bytesText(bytes+mesh)+"/s", bytesText(budgetBytes)+"/s", verdict(bytes+mesh, budgetBytes))
	calls := m.steadyCalls() + max(0, m.line("change_calls").Intercept())*(float64(m.size.Changes)+m.dailyListChanges())/daySeconds
	t.add("calls on the configuration service, steady", number(calls)+"/s", number(budgetCalls)+"/s", verdict(calls, budgetCalls))
	start := m.nodes() / startSpread
	t.add(fmt.Sprintf("calls when all nodes start together, over %d s", startSpread), number(start)+"/s", number(budgetCalls)+"/s", verdict(start, budgetCalls))
	t.add("calls when all nodes start together, without the spread", number(m.nodes())+"/s", number(budgetCalls)+"/s", verdict(m.nodes(), budgetCalls))
	t.add("a change is in force everywhere, p99 of small fleets extrapolated", timeText(m.inForce()*1e3), timeText(budgetInForce*1e3), verdict(m.inForce(), budgetInForce))
	t.add("the same with latencies and the greatest documents", timeText(m.inForceFull()*1e3), timeText(budgetInForce*1e3), verdict(m.inForceFull(), budgetInForce))
	t.add("greatest value, `vms/REGION`", bytesText(m.documents("list_bytes")), bytesText(budgetValue), verdict(m.documents("list_bytes"), budgetValue))
	t.add("sub-queries of an owner", number(m.subQueries())+"/s", number(budgetSubQueries)+"/s", verdict(m.subQueries(), budgetSubQueries))
	return t
}

func (m *Model) roleTable() Table {
	t := Table{name: "roles", header: []string{"role", "state", "messages", "CPU", "memory", "mechanism"}}
	perSub := m.line("query_cpu").Slope()
	t.add("entry and owner, serving",
		number(m.searchers()/m.nodes())+" searchers as primary, as many as secondary; rates by collection and plan; token window",
		number(m.batches())+" batches/s sent and as many received; "+number(m.subQueries())+" sub-queries/s",
		fmt.Sprintf("at most %s cores (%s per sub-query, caller and stand-in included)", number(perSub*m.subQueries()/1e6), timeText(perSub)),
		fmt.Sprintf("%s of connections to nodes (%s when replicas are in each region); %s of token window",
			bytesText(m.linkMemory(m.meshEnds())), bytesText(m.linkMemory(m.regionEnds())), bytesText(tokenWindowBytes)),
		"groups of 8 shards, rendezvous owners, one stream a batch")
	t.add("configuration reader",
		number(m.watches()/m.nodes())+" watches in the mean, "+number(m.watches())+" in all",
		number(m.steadyCalls())+" calls/s of all readers, "+number(readersPerKey*float64(m.size.Regions))+" more a change",
		timeText(max(0, m.documents("read_time")))+" to read the greatest list after a change",
		"twice the value while it is read",
		"2 readers per key and region by rendezvous")
	t.add("all nodes, documents",
		bytesText(m.documents("documents"))+" in "+number(m.keys())+" documents; "+number(m.nodes())+" members; "+number(m.neighbours())+" neighbours",
		"1 digest/s sent; "+bytesText(m.idleBytes())+"/s, "+bytesText(max(0, m.line("change_bytes").At(m.neighbours())))+" a change",
		percent(m.idleCPU()/1e6)+" idle, "+percent(m.changesCPU()/1e6)+" for changes",
		fmt.Sprintf("%s store, %s view, %s members", bytesText(m.documents("store_memory")), bytesText(m.documents("view_memory")), bytesText(m.documents("member_memory"))),
		"deltas of sections to neighbours, digests, kept parts of the view")
	t.add("directory", number(m.nodes())+" entries with own reachability", "one answer for each caller in its validity time",
		timeText(m.line("order_time_per_node").At(m.nodes()))+" an answer", "none beside the view", "rendezvous order by caller")
	return t
}

func (m *Model) changeTable() Table {
	t := Table{name: "changes", header: []string{"change", "time on each node", "as share of a core at this day's count"}}
	add := func(what string, us, count float64) {
		t.add(what, timeText(us), percent(us*count/daySeconds/1e6))
	}
	changes := float64(m.size.Changes)
	add("plan", m.changeTime("plan"), changes)
	add("use", m.changeTime("use"), changes)
	add("index", m.changeTime("index"), changes)
	add("searcher in a VM list", m.changeTime("searcher"), m.dailyListChanges())
	add("node in a VM list", m.entryChangeTime(), m.dailyListChanges())
	before := max(0, m.documents("parse_time")) + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairs)) +
		max(0, m.line("readers_time").At(m.nodes()*m.searchers()/pairs))
	add("any, if all documents were parsed and all owners placed again", before, changes+m.dailyListChanges())
	return t
}

func (m *Model) dayTable() Table {
	t := Table{name: "day", header: []string{"cause", "a day", "document changes", "moved primaries", "calls on the service"}}
	perChange := readersPerKey * float64(m.size.Regions)
	moved := m.movedByNode()
	nodeShare := m.nodes() / (m.nodes() + m.searchers())
	add := func(cause string, count, changes, moves float64) {
		t.add(cause, number(count), number(changes), number(moves), number(changes*perChange))
	}
	add("configuration changes", float64(m.size.Changes), float64(m.size.Changes), 0)
	add("VMs that fail", failedVMs, listChanges*failedVMs, 2*failedVMs*nodeShare*moved)
	add("VMs that restart", restartedVMs, listChanges*restartedVMs, 2*restartedVMs*nodeShare*moved)
	return t
}

func (m *Model) caseTable() Table {
	t := Table{name: "cases", header: []string{
		"case", "VMs", "moved primaries", "sub-queries of an owner in the region", "bytes to each node", "CPU of each node", "calls on the service",
	}}
	perZone := m.nodes() / float64(m.size.Zones)
	perRegion := m.nodes() / float64(m.size.Regions)
	section := m.line("documents_per_node").Slope()
	revision := number(readersPerKey*float64(m.size.Regions)) + " a revision of the list"
	lost := func(name string, nodes float64) {
		vms := nodes * (1 + m.searchers()/m.nodes())
		load := m.subQueries() * perRegion / (perRegion - nodes)
		t.add(name, number(vms), number(nodes*m.movedByNode()), number(load)+"/s, "+verdict(load, budgetSubQueries),
			bytesText(vms*section), timeText(m.entryChangeTime())+" a revision", revision)
	}
	lost(fmt.Sprintf("rack lost (1 of %d in a zone)", racksPerZone), perZone/racksPerZone)
	if perZone < perRegion {
		lost("availability zone lost", perZone)
	}
	t.add("regions apart for an hour", "0", "0", number(m.subQueries())+"/s",
		bytesText(m.changesInHour()*max(0, m.line("change_bytes").At(m.neighbours()))),
		timeText(m.changesCPU()*hourSeconds), number(m.steadyCalls())+"/s: each region has readers of its own")
	handshakes := m.meshEnds() * m.line("link_handshake_cpu").Slope() / 2
	rebuild := max(0, m.documents("parse_time")) + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairs))
	t.add("all nodes restart together", number(m.nodes()), "0", number(m.subQueries())+"/s",
		bytesText(m.documents("documents"))+" of documents, "+bytesText(m.meshEnds()*m.line("link_handshake_bytes").Slope()/2)+" of handshakes",
		timeText(rebuild)+" for documents, "+timeText(handshakes)+" for handshakes",
		fmt.Sprintf("%s over %d s, then %s watches and at most %s/s", number(m.nodes()), startSpread, number(m.watches()), number(pacedCalls)))
	return t
}

// markTable compares the measured pushes of a quarantined request with the rule: two merges, each sent to all
// neighbours but the sender.
func (m *Model) markTable() Table {
	t := Table{name: "marks", header: []string{"quarantine of one request", "pushes of each node", "pushes of all nodes"}}
	measured, rule := max(0, m.line("mark_pushes").At(m.neighbours())), 2*m.neighbours()
	t.add("extrapolated from fleets", number(measured), number(measured*m.nodes()))
	t.add("bound by the rule: 2 losses, each passed to all neighbours", number(rule), number(rule*m.nodes()))
	return t
}

func (m *Model) changesInHour() float64 {
	return (float64(m.size.Changes) + m.dailyListChanges()) / 24
}

func (m *Model) latencyTable() Table {
	t := Table{name: "latency", header: []string{"part", "own region", "owners in another region"}}
	exchange := m.line("query_cpu").At(float64(m.size.Fanout)) / 1e3
	near, far := 2*zoneLatency, 2*regionLatency
	row := func(part string, a, b float64) { t.add(part, number(a)+" ms", number(b)+" ms") }
	row("caller and entry, both ways", 2*clientLatency, 2*clientLatency)
	row("entry and owner, both ways", near, far)
	row(fmt.Sprintf("CPU of a query to %d searchers, if one core did all of it", m.size.Fanout), exchange, exchange)
	row("gathering of replies at the owner", lingerLatency, lingerLatency)
	fixed := 2*clientLatency + exchange + lingerLatency
	row("left of "+number(budgetLatency)+" ms for queue, searcher and hedge", budgetLatency-fixed-near, budgetLatency-fixed-far)
	row("the same with one hedge or retry", budgetLatency-fixed-2*near, budgetLatency-fixed-2*far)
	shareMissed := 0.01 / float64(m.size.Fanout)
	t.add("share of sub-queries that may miss it, so that 99 in 100 queries are whole", percent(shareMissed), percent(shareMissed))
	return t
}

func (m *Model) deltaTable() Table {
	t := Table{name: "deltas", header: []string{"plans", "delta of one", "full document", "share"}}
	delta, whole := m.slopes.byName["delta_bytes"], m.slopes.byName["full_bytes"]
	for i := range min(len(delta.values), len(whole.values)) {
		t.add(number(delta.sizes[i]), bytesText(delta.values[i]), bytesText(whole.values[i]), percent(delta.values[i]/whole.values[i]))
	}
	return t
}

func (m *Model) queryTable() Table {
	t := Table{name: "queries", header: []string{"part of a sub-query", "CPU", "cores of a node"}}
	local, all, bare := m.line("query_cpu_local").Slope(), m.line("query_cpu").Slope(), m.line("bare_cpu").Slope()
	add := func(part string, us float64) {
		t.add(part, timeText(max(0, us)), number(max(0, us)*m.subQueries()/1e6))
	}
	add("plain client and stand-in searcher, for comparison", bare)
	add("entry and owner in one process, client and stand-in included", local)
	add("exchange between nodes, mostly 8 sub-queries a batch or fewer", all-local)
	add("all", all)
	t.add("messages of a query, computed", number(2*float64((m.size.Fanout+groupSize-1)/groupSize))+" or more", "batches and last frames")
	t.add("packets of a query, both directions", number(m.line("query_packets").At(float64(m.size.Fanout))), bytesText(m.line("query_bytes").At(float64(m.size.Fanout)))+" a query")
	return t
}
