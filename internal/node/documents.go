package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// markDirty asks for a rebuild of the view.
func (n *Node) markDirty() {
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// rebuild joins the documents in force into a new view.
func (n *Node) rebuild(now time.Time) {
	next := n.builder.Build(n.document)
	n.view.Store(next)
	n.members.SetVMs(now, next.VMs())
	n.owner.Refresh(now)
	n.shareRates(now)
}

// shareRates divides the listed rates, which apply to a region, among the region's entries that take work.
func (n *Node) shareRates(now time.Time) {
	members := n.members.Snapshot(now)
	others := 0
	for _, vm := range members.Live() {
		if vm.Region() == n.self.Region() && vm.ID() != n.self.ID() && !members.Leaving(vm.ID()) {
			others++
		}
	}
	n.admission.SetRateShare(1 / float64(1+others))
}

// document returns a document in force, or nil.
func (n *Node) document(key string) view.Document {
	if document := n.store.Get(key); document != nil {
		return document
	}
	return nil
}

// logMembership logs nodes that stopped or began to answer.
func (n *Node) logMembership(now time.Time) {
	present := n.members.Snapshot(now)
	if present == n.logged {
		return
	}
	before := n.logged
	n.logged = present
	n.shareRates(now)
	if before == nil {
		return
	}
	n.logSuspects(wire.Event_EVENT_PEER_SUSPECT, present, before)
	n.logSuspects(wire.Event_EVENT_PEER_BACK, before, present)
	if present.Alone() && !before.Alone() {
		n.logger.Log(wire.Event_EVENT_ALONE)
	}
}

// logSuspects logs the nodes that are suspect in one snapshot and not in the other.
func (n *Node) logSuspects(event wire.Event, in, notIn *member.Members) {
	for _, suspect := range in.Suspects() {
		if notIn.Reachable(suspect.ID()) {
			n.logger.Log(event, zap.String("peer", suspect.ID()))
		}
	}
}
