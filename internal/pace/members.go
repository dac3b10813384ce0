package pace

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nodeBurst is the number of requests that a node may save up while it has none to send.
	nodeBurst = 1
	// savedSeconds is the limit in seconds that all nodes together may have saved up, on top of minSharing requests. It bounds how many nodes
	// share a limit, since each may have saved nodeBurst requests.
	savedSeconds = 2.0
	minSharing   = 3
	// nearShare is the fraction of a limit for the nodes of the searcher's region, which prefer it.
	nearShare = 0.75
	// probeInterval is the time between two requests of the first node if it has no share. Nodes further down the order send fewer. They show
	// when the limit has ended.
	probeInterval = 10 * time.Second
)

// Members are the nodes that share the limits of searchers, as this node knows them. It is immutable.
type Members struct {
	self     string
	byRegion map[string][]string
	count    int
}

// NewMembers returns the members for a node. byRegion holds the ids of all nodes that share the limits, including this node if it does.
func NewMembers(self string, byRegion map[string][]string) *Members {
	m := &Members{self: self, byRegion: byRegion}
	for _, ids := range byRegion {
		m.count += len(ids)
	}
	return m
}

// Equal reports whether both hold the same nodes, or both are nil. The ids must be sorted.
func (m *Members) Equal(other *Members) bool {
	if m == nil || other == nil {
		return m == other
	}
	return m.self == other.self && maps.EqualFunc(m.byRegion, other.byRegion, slices.Equal)
}

// rate returns the requests a second that this node may send to a searcher in a region that takes limit requests a second from all nodes. The
// rates of the nodes that share the limit add up to it, if all know the same members.
func (m *Members) rate(limit float64, searcher, region string) float64 {
	rank := m.rank(searcher, region)
	sharing := min(int(savedSeconds*limit)+minSharing, m.count)
	probes := 1 / (probeInterval.Seconds() * float64(rank+1))
	return max(limit*m.fraction(rank, sharing, region), probes)
}

// fraction returns the part of a limit in a region for the node of a rank if so many nodes share the limit, 0 if it is not one of them.
func (m *Members) fraction(rank, sharing int, region string) float64 {
	nearSharing := min(len(m.byRegion[region]), sharing)
	farSharing := sharing - nearSharing
	switch {
	case rank >= sharing:
		return 0
	case nearSharing == 0 || farSharing == 0:
		return 1 / float64(sharing)
	case rank < nearSharing:
		return nearShare / float64(nearSharing)
	default:
		return (1 - nearShare) / float64(farSharing)
	}
}

// Rank returns the number of members before this node in the order for a key, and whether the members are known.
func (m *Members) Rank(key uint64) (rank int, ok bool) {
	return m.rank(strconv.FormatUint(key, 16), ""), m.count > 0
}

// rank returns the number of members before this node: those of the searcher's region come first, and the order within it and within the
// others differs from searcher to searcher, so that each node shares the limits of other searchers. A node that is no member comes last.
func (m *Members) rank(searcher, region string) int {
	own := weight(m.self, searcher)
	isMember, isNear := false, false
	nearBefore, farBefore := 0, 0
	for other, ids := range m.byRegion {
		for _, id := range ids {
			switch {
			case id == m.self:
				isMember, isNear = true, other == region
			case !before(weight(id, searcher), id, own, m.self):
			case other == region:
				nearBefore++
			default:
				farBefore++
			}
		}
	}
	switch {
	case !isMember:
		return m.count
	case isNear:
		return nearBefore
	default:
		return len(m.byRegion[region]) + farBefore
	}
}

// before orders nodes by weight, and by id where weights are equal.
func before(weight uint64, id string, otherWeight uint64, other string) bool {
	return cmp.Or(cmp.Compare(weight, otherWeight), cmp.Compare(id, other)) < 0
}

// weight is the position of a node in the order of a searcher.
func weight(node, searcher string) uint64 {
	return xxhash.Sum64String(node + "\x00" + searcher)
}
