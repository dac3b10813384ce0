package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/owner"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/status"
)

// Lists implements status.Source.
func (n *Node) Lists() *plans.Lists { return n.view.Load().Lists() }

// Sections implements status.Source.
func (n *Node) Sections(key string) map[string]string {
	if document := n.store.Get(key); document != nil {
		return document.Sections()
	}
	return nil
}

// Report implements status.Source.
func (n *Node) Report(now time.Time) status.Report {
	return status.Report{
		ID:               n.self.ID(),
		Incarnation:      n.incarnation,
		Region:           n.self.Region(),
		AvailabilityZone: n.self.AvailabilityZone(),
		State:            n.phase.state(),
		UptimeSeconds:    now.Sub(n.started).Seconds(),
		Documents:        n.reportDocuments(),
		Members:          n.reportMembers(now),
		Searchers:        n.reportSearchers(now),
		Reasons:          n.counters.NonZero(),
	}
}

func (n *Node) reportDocuments() []status.Document {
	var all []status.Document
	for _, key := range n.engine.Keys() {
		d := status.Document{Key: key}
		if document := n.store.Get(key); document != nil {
			d.Revision = document.Revision()
			d.Hash = strconv.FormatUint(document.Hash(), 16)
		}
		if rejected, ok := n.store.Rejected(key); ok {
			d.Rejected = &status.Rejection{
				Revision: rejected.Revision(),
				At:       rejected.At(),
				Faults:   status.NewFaults(key, rejected.Faults()),
			}
		}
		all = append(all, d)
	}
	return all
}

func (n *Node) reportMembers(now time.Time) []status.Member {
	members := n.members.Snapshot(now)
	var all []status.Member
	for _, vm := range members.VMs() {
		incarnation, _ := members.Incarnation(vm.ID())
		all = append(all, status.Member{
			ID:               vm.ID(),
			Region:           vm.Region(),
			AvailabilityZone: vm.AvailabilityZone(),
			Incarnation:      incarnation,
			State:            memberState(members, vm.ID()),
		})
	}
	return all
}

func memberState(members *member.Members, id string) string {
	switch {
	case members.Leaving(id):
		return "leaving"
	case members.Reachable(id):
		return "live"
	default:
		return "suspect"
	}
}

func (n *Node) reportSearchers(now time.Time) []status.Searcher {
	var all []status.Searcher
	for _, s := range n.owner.Upstreams(now) {
		all = append(all, status.Searcher{
			ID:          s.Searcher(),
			Collection:  s.Collection(),
			Role:        n.role(s),
			Leaving:     s.Leaving(),
			Limit:       s.Allowed(),
			InFlight:    s.InFlight(),
			Waiting:     s.Waiting(),
			Connections: s.Connections(),
		})
	}
	return all
}

// role returns this node's role by its position among the owners of a searcher.
func (n *Node) role(s owner.UpstreamState) string {
	owners := n.view.Load().Owners(s.Collection(), s.Searcher())
	position := slices.IndexFunc(owners, func(vm shards.VM) bool { return vm.ID() == n.self.ID() })
	switch position {
	case 0:
		return "primary"
	case 1:
		return "secondary"
	default:
		return "standby"
	}
}
