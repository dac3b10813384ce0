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

// The rules of section 2 of the design and the constants of internal/spread, internal/place and internal/token that follow from them.
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

// What sections 1.3 and 1.4 say about the fleet, with the greatest latencies, and what the page assumes.
const (
	failedVMs     = 15
	restartedVMs  = 1300
	regionLatency = 20.0 // ms one way, as are the next two
	zoneLatency   = 1.0
	clientLatency = 3.0
	// listChanges are the revisions of a VM list that one failure or restart causes: leaving, gone and back.
	listChanges  = 3
	racksPerZone = 10
	// collectorRatio is the heap over the live objects at the collector's default of 100%.
	collectorRatio = 2

	daySeconds  = 86400
	hourSeconds = 3600
)

// Model computes the figures of one size from slopes.
type Model struct {
	size   Size
	slopes *Slopes
	// missing collects slopes that are not in the set.
	missing []string
}

// NewModel returns a model.
func NewModel(size Size, slopes *Slopes) *Model { return &Model{size: size, slopes: slopes} }

// line returns the line of a slope, a zero line when it is missing.
func (m *Model) line(name string) Line {
	line, ok := m.slopes.line(name)
	if !ok && !slices.Contains(m.missing, name) {
		m.missing = append(m.missing, name)
	}
	return line
}

// cautious evaluates a figure that should not fall with size. When the fit falls, it takes the greatest measured value instead.
func (m *Model) cautious(name string, size float64) float64 {
	line := m.line(name)
	if values := m.slopes.byName[name].values; line.Slope() < 0 && len(values) > 0 {
		return slices.Max(values)
	}
	return max(0, line.At(size))
}

// Tables returns all tables of the page. The error names slopes that are missing.
func (m *Model) Tables() ([]Table, error) {
	tables := []Table{
		m.budgetTable(), m.roleTable(), m.queryTable(), m.changeTable(), m.deltaTable(), m.markTable(),
		m.dayTable(), m.caseTable(), m.latencyTable(), m.slopeTable(),
	}
	if len(m.missing) > 0 {
		return nil, errors.Newf("slopes are missing: %v", m.missing)
	}
	return tables, nil
}

func (m *Model) nodes() float64     { return float64(m.size.Nodes) }
func (m *Model) searchers() float64 { return float64(m.size.Searchers) }

// documents evaluates a figure that grows with nodes and with searchers, each measured with the other fixed.
func (m *Model) documents(name string) float64 {
	return m.line(name+"_per_node").At(m.nodes()) + m.line(name+"_per_searcher").Slope()*(m.searchers()-fixedSearchers)
}

// neighbours is the number of neighbours by the rule of section 2.4.
func (m *Model) neighbours() float64 {
	if m.size.Nodes <= smallFleet {
		return max(0, m.nodes()-1)
	}
	perZone := m.nodes() / float64(m.size.Zones)
	return math.Ceil(math.Log2(max(1, perZone))) + float64(m.size.Zones) - 1
}

// collections is the number of collections that all searchers make at this fan-out, with one replica of each shard.
func (m *Model) collections() float64 { return math.Ceil(m.searchers() / float64(m.size.Fanout)) }

func (m *Model) keys() float64 { return baseKeys + float64(m.size.Regions) + m.collections() }

func (m *Model) watches() float64 {
	return m.keys() * readersPerKey * float64(m.size.Regions)
}

// dailyListChanges counts the revisions of VM lists that failures and restarts cause in a day: leaving, gone and back.
func (m *Model) dailyListChanges() float64 { return listChanges * (failedVMs + restartedVMs) }

// meshEnds is the number of ends of connections that carry batches, when an entry asks owners in all regions.
func (m *Model) meshEnds() float64 { return 2 * max(0, m.nodes()-1) }

// regionEnds is the same when each collection has a replica in the entry's region.
func (m *Model) regionEnds() float64 { return 2 * max(0, m.nodes()/float64(m.size.Regions)-1) }

func (m *Model) batches() float64 {
	return float64(m.size.Queries) * math.Ceil(float64(m.size.Fanout)/groupSize) / m.nodes()
}

func (m *Model) subQueries() float64 {
	return float64(m.size.Queries) * float64(m.size.Fanout) / m.nodes()
}

// changeTime evaluates the time of a change, in µs. It was measured with nodes in proportion to the searchers.
func (m *Model) changeTime(kind string) float64 {
	scale := max(m.searchers(), m.nodes()*designSearchers/designNodes)
	return max(0, m.line("change_"+kind+"_time").At(scale))
}

// entryChangeTime places all owners again, which grows with pairs of nodes and searchers.
func (m *Model) entryChangeTime() float64 {
	return m.changeTime("searcher") + max(0, m.line("view_time").At(m.nodes()*m.searchers()/pairs))
}

// movedByNode is the number of searchers with another primary after one node left. It was measured with the searchers of the design.
func (m *Model) movedByNode() float64 {
	return m.line("moved_primaries").Slope() / m.nodes() * m.searchers() / designSearchers
}

// worstListed is the time of the change of plans, uses or an index that takes longest.
func (m *Model) worstListed() float64 {
	return max(m.changeTime("plan"), m.changeTime("use"), m.changeTime("index"))
}

// idleCPU is the CPU of a node for control without changes, in µs/s.
func (m *Model) idleCPU() float64 { return m.cautious("idle_cpu", m.neighbours()) }

func (m *Model) idleBytes() float64 { return m.cautious("idle_bytes", m.neighbours()) }

// changesCPU is the mean CPU for all changes of a day, in µs/s.
func (m *Model) changesCPU() float64 {
	small := m.cautious("change_cpu", m.neighbours())
	listed := float64(m.size.Changes) * (m.worstListed() + small)
	return (listed + m.dailyListChanges()*(m.entryChangeTime()+small)) / daySeconds
}

func (m *Model) changesBytes() float64 {
	return (float64(m.size.Changes) + m.dailyListChanges()) * max(0, m.line("change_bytes").At(m.neighbours())) / daySeconds
}

func (m *Model) meshIdle(name string, ends float64) float64 {
	return max(0, m.line(name).Slope()) / 2 * ends
}

func (m *Model) linkMemory(ends float64) float64 { return m.line("link_memory").Slope() / 2 * ends }

// liveMemory is what a node's state holds, in bytes, without what requests in flight need.
func (m *Model) liveMemory() float64 {
	return m.line("node_memory").At(m.neighbours()) + m.documents("store_memory") + m.documents("view_memory") +
		m.documents("member_memory") + m.linkMemory(m.meshEnds())
}

func (m *Model) steadyCalls() float64 { return m.watches() / watchSeconds }

func (m *Model) inForce() float64 { return m.line("in_force_p99").At(math.Log2(m.nodes())) }

// inForceFull adds what small fleets on loopback do not show: the latency between regions once, between zones on each hop along the
// ring, and the greatest documents on each hop.
func (m *Model) inForceFull() float64 {
	hops := math.Ceil(math.Log2(max(2, m.nodes()/float64(m.size.Zones))))
	return m.inForce() + regionLatency + hops*zoneLatency + (hops+1)*m.entryChangeTime()/1e3
}
