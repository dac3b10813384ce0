package sizing

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// The budgets of sections 1.2, 1.3 and 1.5 of the design.
const (
	budgetCPU        = 0.031
	budgetMemory     = 256 * megabyte
	budgetBytes      = 3 * kilobyte
	budgetCalls      = 2000
	budgetInForce    = 13e3 // ms
	budgetValue      = 1 << 20
	budgetLatency    = 360.0 // ms
	budgetSubQueries = 30000
)

// The rules of section 2 of the design, and the constants of internal/spread, internal/place and internal/token that derive from them.
const (
	groupSize        = 8
	readersPerKey    = 2
	watchSeconds     = 30
	smallFleet       = 16
	startSpread      = 2 // seconds
	pacedCalls       = 1000
	baseKeys         = 2 // plans and uses
	tokenWindowBytes = 65536
	lingerLatency    = 1.0 // ms
)

// The properties of the fleet in sections 1.3 and 1.4 of the design, with the maximum latencies, and the assumptions of the capacity page.
const (
	failedVMs     = 15
	restartedVMs  = 1300
	regionLatency = 20.0 // ms one way, like the next two
	zoneLatency   = 1.0
	clientLatency = 3.0
	// listChanges is the number of revisions of a VM list per failure or restart: the VM is marked leaving, removed and added again.
	listChanges  = 3
	racksPerZone = 10
	// gcHeapRatio is the ratio of the heap size to the live objects at the garbage collector's default of 100%.
	gcHeapRatio = 2

	daySeconds  = 86400
	hourSeconds = 3600
)

// Model computes the capacity figures of a fleet size from slopes.
type Model struct {
	size   Size
	slopes *Slopes
	// missing lists the requested slopes that are not in the set.
	missing []string
}

// NewModel returns a model of a fleet size.
func NewModel(size Size, slopes *Slopes) *Model { return &Model{size: size, slopes: slopes} }

// line returns the line of a slope. If the slope is missing, it records its name and returns a zero line.
func (m *Model) line(name string) Line {
	line, ok := m.slopes.line(name)
	if !ok && !slices.Contains(m.missing, name) {
		m.missing = append(m.missing, name)
	}
	return line
}

// conservative evaluates a figure that should not decrease with size. If the fitted line decreases, it returns the maximum measured
// value instead.
func (m *Model) conservative(name string, size float64) float64 {
	line := m.line(name)
	if values := m.slopes.byName[name].values; line.Slope() < 0 && len(values) > 0 {
		return slices.Max(values)
	}
	return max(0, line.At(size))
}

// Tables returns all tables of the capacity page. The error lists missing slopes.
func (m *Model) Tables() ([]Table, error) {
	tables := []Table{
		m.budgetTable(), m.roleTable(), m.queryTable(), m.changeTable(), m.deltaTable(), m.markTable(),
		m.dayTable(), m.caseTable(), m.latencyTable(), m.slopeTable(),
	}
	if len(m.missing) > 0 {
		return nil, errors.Newf("missing slopes: %v", m.missing)
	}
	return tables, nil
}

func (m *Model) nodes() float64     { return float64(m.size.Nodes) }
func (m *Model) searchers() float64 { return float64(m.size.Searchers) }

// documentFigure evaluates a figure that grows with nodes and with searchers, each of which was measured with the other held constant.
func (m *Model) documentFigure(name string) float64 {
	return m.line(name+"_per_node").At(m.nodes()) + m.line(name+"_per_searcher").Slope()*(m.searchers()-fixedSearchers)
}

// neighbours returns the number of neighbours of a node by the rule in section 2.4 of the design.
func (m *Model) neighbours() float64 {
	if m.size.Nodes <= smallFleet {
		return max(0, m.nodes()-1)
	}
	perZone := m.nodes() / float64(m.size.Zones)
	return math.Ceil(math.Log2(max(1, perZone))) + float64(m.size.Zones) - 1
}

// collections returns the number of collections that the searchers form at this fan-out, with one replica per shard.
func (m *Model) collections() float64 { return math.Ceil(m.searchers() / float64(m.size.Fanout)) }

func (m *Model) keys() float64 { return baseKeys + float64(m.size.Regions) + m.collections() }

func (m *Model) watches() float64 {
	return m.keys() * readersPerKey * float64(m.size.Regions)
}

// dailyListChanges returns the number of revisions of VM lists per day that failures and restarts cause.
func (m *Model) dailyListChanges() float64 { return listChanges * (failedVMs + restartedVMs) }

// meshEnds returns the number of connection ends that carry batches if an entry queries owners in all regions.
func (m *Model) meshEnds() float64 { return 2 * max(0, m.nodes()-1) }

// regionEnds returns the same if each collection has a replica in the entry's region.
func (m *Model) regionEnds() float64 { return 2 * max(0, m.nodes()/float64(m.size.Regions)-1) }

func (m *Model) batches() float64 {
	return float64(m.size.Queries) * math.Ceil(float64(m.size.Fanout)/groupSize) / m.nodes()
}

func (m *Model) subQueries() float64 {
	return float64(m.size.Queries) * float64(m.size.Fanout) / m.nodes()
}

// changeTime returns the processing time of a change in µs. It was measured with nodes in proportion to the searchers.
func (m *Model) changeTime(kind string) float64 {
	scale := max(m.searchers(), m.nodes()*designSearchers/designNodes)
	return max(0, m.line("change_"+kind+"_time").At(scale))
}

// entryChangeTime returns the processing time in µs of a changed node, which selects all owners again and so grows with the number of
// node-searcher pairs.
func (m *Model) entryChangeTime() float64 {
	return m.changeTime("searcher") + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairsPerUnit))
}

// movedPrimariesPerNode returns the number of searchers whose primary changes after one node left. It was measured with the number of
// searchers in the design.
func (m *Model) movedPrimariesPerNode() float64 {
	return m.line("moved_primaries").Slope() / m.nodes() * m.searchers() / designSearchers
}

// maxDocumentChangeTime returns the maximum processing time in µs of a change of plans, uses or an index.
func (m *Model) maxDocumentChangeTime() float64 {
	return max(m.changeTime("plan"), m.changeTime("use"), m.changeTime("index"))
}

// idleCPU returns the CPU of a node for control work while nothing changes, in µs/s. It excludes queries.
func (m *Model) idleCPU() float64 { return m.conservative("idle_cpu", m.neighbours()) }

func (m *Model) idleBytes() float64 { return m.conservative("idle_bytes", m.neighbours()) }

// changesCPU returns the mean CPU of a node for all changes of a day, in µs/s.
func (m *Model) changesCPU() float64 {
	small := m.conservative("change_cpu", m.neighbours())
	documents := float64(m.size.Changes) * (m.maxDocumentChangeTime() + small)
	return (documents + m.dailyListChanges()*(m.entryChangeTime()+small)) / daySeconds
}

func (m *Model) changesBytes() float64 {
	return (float64(m.size.Changes) + m.dailyListChanges()) * max(0, m.line("change_bytes").At(m.neighbours())) / daySeconds
}

func (m *Model) meshIdle(name string, ends float64) float64 {
	return max(0, m.line(name).Slope()) / 2 * ends
}

func (m *Model) linkMemory(ends float64) float64 { return m.line("link_memory").Slope() / 2 * ends }

// liveMemory returns the memory of a node's state in bytes, without the memory of requests in flight.
func (m *Model) liveMemory() float64 {
	return m.line("node_memory").At(m.neighbours()) + m.documentFigure("store_memory") + m.documentFigure("view_memory") +
		m.documentFigure("member_memory") + m.linkMemory(m.meshEnds())
}

func (m *Model) steadyCalls() float64 { return m.watches() / watchSeconds }

func (m *Model) inForce() float64 { return m.line("in_force_p99").At(math.Log2(m.nodes())) }

// inForceFull adds the costs that are absent from small fleets on loopback: the latency between regions once, and the latency between
// zones and the processing of the largest documents on each hop along the ring.
func (m *Model) inForceFull() float64 {
	hops := math.Ceil(math.Log2(max(2, m.nodes()/float64(m.size.Zones))))
	return m.inForce() + regionLatency + hops*zoneLatency + (hops+1)*m.entryChangeTime()/1e3
}
