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
			sizes[i] = formatNumber(size)
		}
		t.add("`"+s.name+"`", s.what, strings.Join(sizes, "; "), formatNumber(s.line.intercept)+" "+s.unit,
			formatNumber(s.line.slope)+" "+s.unit+" / "+s.per, formatNumber(s.line.slopeError), formatNumber(s.line.residual)+" "+s.unit)
	}
	return t
}

func (m *Model) budgetTable() Table {
	t := Table{name: "budgets", header: []string{"quantity", "computed", "budget", "verdict"}}
	cpu := (m.idleCPU() + m.changesCPU() + m.meshIdle("link_idle_cpu", m.meshEnds())) / 1e6
	t.add("CPU of a node for control, mean over a day", formatPercent(cpu)+" of a core", formatPercent(budgetCPU), verdict(cpu, budgetCPU))
	live := m.liveMemory()
	t.add("memory of a node, live", formatBytes(live), formatBytes(budgetMemory), verdict(live, budgetMemory))
	t.add("memory of a node, with the garbage collector's default reserve", formatBytes(gcHeapRatio*live), formatBytes(budgetMemory),
		verdict(gcHeapRatio*live, budgetMemory))
	bytes := m.idleBytes() + m.changesBytes()
	t.add("bytes that a node sends for control", formatBytes(bytes)+"/s", formatBytes(budgetBytes)+"/s", verdict(bytes, budgetBytes))
	mesh := m.meshIdle("link_idle_bytes", m.meshEnds())
	t.add("the same with idle connections to all owners",
		formatBytes(bytes+mesh)+"/s", formatBytes(budgetBytes)+"/s", verdict(bytes+mesh, budgetBytes))
	calls := m.steadyCalls() + max(0, m.line("change_calls").Intercept())*(float64(m.size.Changes)+m.dailyListChanges())/daySeconds
	t.add("calls on the configuration service, steady", formatNumber(calls)+"/s", formatNumber(budgetCalls)+"/s", verdict(calls, budgetCalls))
	start := m.nodes() / startSpread
	t.add(fmt.Sprintf("calls when all nodes start together, over %d s", startSpread),
		formatNumber(start)+"/s", formatNumber(budgetCalls)+"/s", verdict(start, budgetCalls))
	t.add("calls when all nodes start together, without the spread",
		formatNumber(m.nodes())+"/s", formatNumber(budgetCalls)+"/s", verdict(m.nodes(), budgetCalls))
	t.add("a change is in force everywhere, p99 of small fleets extrapolated",
		formatMicroseconds(m.inForce()*1e3), formatMicroseconds(budgetInForce*1e3), verdict(m.inForce(), budgetInForce))
	t.add("the same with latencies and the greatest documents",
		formatMicroseconds(m.inForceFull()*1e3), formatMicroseconds(budgetInForce*1e3), verdict(m.inForceFull(), budgetInForce))
	t.add("greatest value, `vms/REGION`",
		formatBytes(m.documentFigure("list_bytes")), formatBytes(budgetValue), verdict(m.documentFigure("list_bytes"), budgetValue))
	t.add("sub-queries of an owner",
		formatNumber(m.subQueries())+"/s", formatNumber(budgetSubQueries)+"/s", verdict(m.subQueries(), budgetSubQueries))
	return t
}

func (m *Model) roleTable() Table {
	t := Table{name: "roles", header: []string{"role", "state", "messages", "CPU", "memory", "mechanism"}}
	perSub := m.line("query_cpu").Slope()
	t.add("entry and owner, serving",
		formatNumber(m.searchers()/m.nodes())+" searchers as primary, as many as secondary; rates by collection and plan; token window",
		formatNumber(m.batches())+" batches/s sent and as many received; "+formatNumber(m.subQueries())+" sub-queries/s",
		fmt.Sprintf("at most %s cores (%s per sub-query, caller and stand-in included)",
			formatNumber(perSub*m.subQueries()/1e6), formatMicroseconds(perSub)),
		fmt.Sprintf("%s of connections to nodes (%s when replicas are in each region); %s of token window",
			formatBytes(m.linkMemory(m.meshEnds())), formatBytes(m.linkMemory(m.regionEnds())), formatBytes(tokenWindowBytes)),
		"groups of 8 shards, rendezvous owners, one stream a batch")
	t.add("configuration reader",
		formatNumber(m.watches()/m.nodes())+" watches in the mean, "+formatNumber(m.watches())+" in all",
		formatNumber(m.steadyCalls())+" calls/s of all readers, "+formatNumber(readersPerKey*float64(m.size.Regions))+" more a change",
		formatMicroseconds(max(0, m.documentFigure("read_time")))+" to read the greatest list after a change",
		"twice the value while it is read",
		"2 readers per key and region by rendezvous")
	t.add("all nodes, documents",
		formatBytes(m.documentFigure("documents"))+" in "+formatNumber(m.keys())+" documents; "+
			formatNumber(m.nodes())+" members; "+formatNumber(m.neighbours())+" neighbours",
		"1 digest/s sent; "+formatBytes(m.idleBytes())+"/s, "+formatBytes(max(0, m.line("change_bytes").At(m.neighbours())))+" a change",
		formatPercent(m.idleCPU()/1e6)+" idle, "+formatPercent(m.changesCPU()/1e6)+" for changes",
		fmt.Sprintf("%s store, %s view, %s members",
			formatBytes(m.documentFigure("store_memory")), formatBytes(m.documentFigure("view_memory")), formatBytes(m.documentFigure("member_memory"))),
		"deltas of sections to neighbours, digests, kept parts of the view")
	t.add("directory", formatNumber(m.nodes())+" entries with own reachability", "one answer for each caller in its validity time",
		formatMicroseconds(m.line("order_time_per_node").At(m.nodes()))+" an answer", "none beside the view", "rendezvous order by caller")
	return t
}

func (m *Model) changeTable() Table {
	t := Table{name: "changes", header: []string{"change", "time on each node", "as share of a core at this day's count"}}
	add := func(what string, us, count float64) {
		t.add(what, formatMicroseconds(us), formatPercent(us*count/daySeconds/1e6))
	}
	changes := float64(m.size.Changes)
	add("plan", m.changeTime("plan"), changes)
	add("use", m.changeTime("use"), changes)
	add("index", m.changeTime("index"), changes)
	add("searcher in a VM list", m.changeTime("searcher"), m.dailyListChanges())
	add("node in a VM list", m.entryChangeTime(), m.dailyListChanges())
	before := max(0, m.documentFigure("parse_time")) + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairsPerUnit)) +
		max(0, m.line("readers_time").At(m.nodes()*m.searchers()/pairsPerUnit))
	add("any, if all documents were parsed and all owners placed again", before, changes+m.dailyListChanges())
	return t
}

func (m *Model) dayTable() Table {
	t := Table{name: "day", header: []string{"cause", "a day", "document changes", "moved primaries", "calls on the service"}}
	perChange := readersPerKey * float64(m.size.Regions)
	moved := m.movedPrimariesPerNode()
	nodeShare := m.nodes() / (m.nodes() + m.searchers())
	add := func(cause string, count, changes, moves float64) {
		t.add(cause, formatNumber(count), formatNumber(changes), formatNumber(moves), formatNumber(changes*perChange))
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
	revision := formatNumber(readersPerKey*float64(m.size.Regions)) + " a revision of the list"
	lost := func(name string, nodes float64) {
		vms := nodes * (1 + m.searchers()/m.nodes())
		load := m.subQueries() * perRegion / (perRegion - nodes)
		t.add(name, formatNumber(vms), formatNumber(nodes*m.movedPrimariesPerNode()), formatNumber(load)+"/s, "+verdict(load, budgetSubQueries),
			formatBytes(vms*section), formatMicroseconds(m.entryChangeTime())+" a revision", revision)
	}
	lost(fmt.Sprintf("rack lost (1 of %d in a zone)", racksPerZone), perZone/racksPerZone)
	if perZone < perRegion {
		lost("availability zone lost", perZone)
	}
	t.add("regions apart for an hour", "0", "0", formatNumber(m.subQueries())+"/s",
		formatBytes(m.changesInHour()*max(0, m.line("change_bytes").At(m.neighbours()))),
		formatMicroseconds(m.changesCPU()*hourSeconds), formatNumber(m.steadyCalls())+"/s: each region has readers of its own")
	handshakes := m.meshEnds() * m.line("link_handshake_cpu").Slope() / 2
	rebuild := max(0, m.documentFigure("parse_time")) + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairsPerUnit))
	t.add("all nodes restart together", formatNumber(m.nodes()), "0", formatNumber(m.subQueries())+"/s",
		formatBytes(m.documentFigure("documents"))+" of documents, "+formatBytes(m.meshEnds()*m.line("link_handshake_bytes").Slope()/2)+" of handshakes",
		formatMicroseconds(rebuild)+" for documents, "+formatMicroseconds(handshakes)+" for handshakes",
		fmt.Sprintf("%s over %d s, then %s watches and at most %s/s",
			formatNumber(m.nodes()), startSpread, formatNumber(m.watches()), formatNumber(pacedCalls)))
	return t
}

// markTable compares the measured pushes for a quarantined request with the upper bound: two merges, each sent to all neighbours
// except the sender.
func (m *Model) markTable() Table {
	t := Table{name: "marks", header: []string{"quarantine of one request", "pushes of each node", "pushes of all nodes"}}
	measured, rule := max(0, m.line("mark_pushes").At(m.neighbours())), 2*m.neighbours()
	t.add("extrapolated from fleets", formatNumber(measured), formatNumber(measured*m.nodes()))
	t.add("bound by the rule: 2 losses, each passed to all neighbours", formatNumber(rule), formatNumber(rule*m.nodes()))
	return t
}

func (m *Model) changesInHour() float64 {
	return (float64(m.size.Changes) + m.dailyListChanges()) / 24
}

func (m *Model) latencyTable() Table {
	t := Table{name: "latency", header: []string{"part", "own region", "owners in another region"}}
	exchange := m.line("query_cpu").At(float64(m.size.Fanout)) / 1e3
	near, far := 2*zoneLatency, 2*regionLatency
	row := func(part string, a, b float64) { t.add(part, formatNumber(a)+" ms", formatNumber(b)+" ms") }
	row("caller and entry, both ways", 2*clientLatency, 2*clientLatency)
	row("entry and owner, both ways", near, far)
	row(fmt.Sprintf("CPU of a query to %d searchers, if one core did all of it", m.size.Fanout), exchange, exchange)
	row("gathering of replies at the owner", lingerLatency, lingerLatency)
	fixed := 2*clientLatency + exchange + lingerLatency
	row("left of "+formatNumber(budgetLatency)+" ms for queue, searcher and hedge", budgetLatency-fixed-near, budgetLatency-fixed-far)
	row("the same with one hedge or retry", budgetLatency-fixed-2*near, budgetLatency-fixed-2*far)
	shareMissed := 0.01 / float64(m.size.Fanout)
	t.add("share of sub-queries that may miss it, so that 99 in 100 queries are whole", formatPercent(shareMissed), formatPercent(shareMissed))
	return t
}

func (m *Model) deltaTable() Table {
	t := Table{name: "deltas", header: []string{"plans", "delta of one", "full document", "share"}}
	delta, whole := m.slopes.byName["delta_bytes"], m.slopes.byName["full_bytes"]
	for i := range min(len(delta.values), len(whole.values)) {
		t.add(formatNumber(delta.sizes[i]), formatBytes(delta.values[i]), formatBytes(whole.values[i]), formatPercent(delta.values[i]/whole.values[i]))
	}
	return t
}

func (m *Model) queryTable() Table {
	t := Table{name: "queries", header: []string{"part of a sub-query", "CPU", "cores of a node"}}
	local, all, bare := m.line("query_cpu_local").Slope(), m.line("query_cpu").Slope(), m.line("bare_cpu").Slope()
	add := func(part string, us float64) {
		t.add(part, formatMicroseconds(max(0, us)), formatNumber(max(0, us)*m.subQueries()/1e6))
	}
	add("plain client and stand-in searcher, for comparison", bare)
	add("entry and owner in one process, client and stand-in included", local)
	add("exchange between nodes, mostly 8 sub-queries a batch or fewer", all-local)
	add("all", all)
	t.add("messages of a query, computed", formatNumber(2*float64((m.size.Fanout+groupSize-1)/groupSize))+" or more", "batches and last frames")
	t.add("packets of a query, both directions",
		formatNumber(m.line("query_packets").At(float64(m.size.Fanout))), formatBytes(m.line("query_bytes").At(float64(m.size.Fanout)))+" a query")
	return t
}
