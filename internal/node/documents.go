package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// markDirty schedules a rebuild of the view.
func (n *Node) markDirty() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// rebuild builds a new view from the documents in force.
func (n *Node) rebuild(now time.Time) {
	next := n.builder.Build(n.document)
	n.view.Store(next)
	n.members.SetVMs(now, next.VMs())
	n.owner.Refresh(now)
	n.updateRateShare(now)
}

// updateRateShare divides the listed rates, which apply to a region, among the entries of the region that accept work.
func (n *Node) updateRateShare(now time.Time) {
	members := n.members.Snapshot(now)
	peers := 0
	for _, vm := range members.Live() {
		if vm.Region() == n.self.Region() && vm.ID() != n.self.ID() && !members.Leaving(vm.ID()) {
			peers++
		}
	}
	n.admission.SetRateShare(1 / float64(1+peers))
}

// document returns the document in force under the key, or nil.
func (n *Node) document(key string) view.Document {
	if document := n.store.Get(key); document != nil {
		return document
	}
	return nil
}

// logMembership logs the nodes that stopped or resumed answering since the last call.
func (n *Node) logMembership(now time.Time) {
	current := n.members.Snapshot(now)
	if current == n.loggedMembers {
		return
	}
	previous := n.loggedMembers
	n.loggedMembers = current
	n.updateRateShare(now)
	if previous == nil {
		return
	}
	n.logSuspects(wire.Event_EVENT_PEER_SUSPECT, current, previous)
	n.logSuspects(wire.Event_EVENT_PEER_BACK, previous, current)
	if current.Alone() && !previous.Alone() {
		n.logger.Log(wire.Event_EVENT_ALONE)
	}
}

// logSuspects logs the nodes that are suspect in one snapshot and reachable in the other.
func (n *Node) logSuspects(event wire.Event, in, other *member.Members) {
	for _, suspect := range in.Suspects() {
		if other.Reachable(suspect.ID()) {
			n.logger.Log(event, zap.String("peer", suspect.ID()))
		}
	}
}
