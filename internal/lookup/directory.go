// Package lookup implements the directory: it selects the entries that a caller should use, and for how long the selection is valid.
package lookup

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TokenIssuer issues request tokens.
type TokenIssuer interface {
	// Issue returns n new tokens.
	Issue(n int) []string
}

// Directory answers callers' requests for entries. It is safe for concurrent use.
type Directory struct {
	self     shards.VM
	settings *wire.DirectorySettings
	tokens   TokenIssuer
}

// New returns the directory of the node self.
func New(self shards.VM, settings *wire.DirectorySettings, tokens TokenIssuer) *Directory {
	return &Directory{self: self, settings: settings, tokens: tokens}
}

// NodeStatus is the state of the answering node that affects its answers.
type NodeStatus struct {
	// Stopping is set once the node is stopping, so that callers must no longer be sent to it.
	Stopping bool
	// Resuming is set while the node refreshes its views after a pause of the process.
	Resuming bool
}

// Entries returns the entries for a caller: reachable nodes first, and among these the nodes in the caller's availability
// zone before others, spread by the caller's id. If zone is empty, this node's own is used. Leaving nodes are omitted.
// Unreachable nodes come last instead of being omitted, since it may be only this node that is cut off from them.
func (d *Directory) Entries(caller, zone string, entries []shards.VM, members *member.Members, status NodeStatus) *wire.Entries {
	if zone == "" {
		zone = d.self.AvailabilityZone()
	}
	var reachable, unreachable []*wire.Entry
	for _, vm := range place.Order(caller, zone, entries) {
		if members.Leaving(vm.ID()) || (vm.ID() == d.self.ID() && status.Stopping) {
			continue
		}
		entry := wire.Entry_builder{Id: vm.ID(), Address: vm.Address(), AvailabilityZone: vm.AvailabilityZone()}.Build()
		if vm.ID() == d.self.ID() || members.Reachable(vm.ID()) {
			reachable = append(reachable, entry)
		} else {
			unreachable = append(unreachable, entry)
		}
	}
	all := append(reachable, unreachable...)
	if count := int(d.settings.GetEntries()); len(all) > count {
		all = all[:count]
	}
	return wire.Entries_builder{
		Entries:  all,
		Valid:    durationpb.New(d.validity(status)),
		Tokens:   d.issueTokens(status),
		Alone:    members.Alone(),
		Resuming: status.Resuming,
	}.Build()
}

// resumingValidity is the maximum validity of an answer from views that may be stale, so that callers ask again soon.
const resumingValidity = time.Second

// validity returns how long a caller may use an answer.
func (d *Directory) validity(status NodeStatus) time.Duration {
	valid := d.settings.GetValid().AsDuration()
	if status.Resuming {
		return min(valid, resumingValidity)
	}
	return valid
}

// issueTokens returns request tokens for an answer. There are none while the node is stopping, since their issuer will soon be gone.
func (d *Directory) issueTokens(status NodeStatus) []string {
	if status.Stopping {
		return nil
	}
	return d.tokens.Issue(int(d.settings.GetTokens()))
}
