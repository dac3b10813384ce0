package pace

import (
	"cmp"
	"maps"
	"slices"
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
// rates of all members add up to the limit, if all know the same members.
func (m *Members) rate(limit float64, searcher, region string) float64 {
	near := ranked(m.byRegion[region], searcher)
	var far []string
	for other, ids := range m.byRegion {
		if other != region {
			far = append(far, ids...)
		}
	}
	far = ranked(far, searcher)
	order := slices.Concat(near, far)
	rank := slices.Index(order, m.self)
	if rank < 0 {
		// A node that is not among them comes last.
		rank = m.count
	}
	sharing := min(int(savedSeconds*limit)+minSharing, m.count)
	probes := 1 / (probeInterval.Seconds() * float64(rank+1))
	nearSharing := min(len(near), sharing)
	farSharing := sharing - nearSharing
	switch {
	case rank >= sharing:
		return probes
	case nearSharing == 0 || farSharing == 0:
		return max(limit/float64(sharing), probes)
	case rank < nearSharing:
		return max(nearShare*limit/float64(nearSharing), probes)
	default:
		return max((1-nearShare)*limit/float64(farSharing), probes)
	}
}

// ranked returns the ids in an order that differs from searcher to searcher, so that each node shares the limits of other searchers.
func ranked(ids []string, searcher string) []string {
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a, searcher), weight(b, searcher)), cmp.Compare(a, b))
	})
	return sorted
}

func weight(node, searcher string) uint64 {
	return xxhash.Sum64String(node + "\x00" + searcher)
}
