// Package lookup decides the directory's answers: which entries a caller is to use, and for how long.
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
	Issue(n int) []string
}

// Directory answers callers that ask for entries. It is safe for concurrent use.
type Directory struct {
	self     shards.VM
	settings *wire.DirectorySettings
	tokens   TokenIssuer
}

// New returns the directory of the node self.
func New(self shards.VM, settings *wire.DirectorySettings, tokens TokenIssuer) *Directory {
	return &Directory{self: self, settings: settings, tokens: tokens}
}

// NodeStatus is what a node says of itself in an answer.
type NodeStatus struct {
	// Stopping is set once the node leaves the directory.
	Stopping bool
	// Resuming is set while the node refreshes its views after a pause.
	Resuming bool
}

// Entries returns the entries for a caller: reachable nodes first, those in the caller's availability zone before
// others, spread by the caller's id. Leaving nodes are left out; nodes that do not answer come last, since only this
// node may be cut off from them.
func (d *Directory) Entries(caller, zone string, entries []shards.VM, members *member.Members, condition NodeStatus) *wire.Entries {
	if zone == "" {
		zone = d.self.AvailabilityZone()
	}
	var reachable, doubtful []*wire.Entry
	for _, vm := range place.Order(caller, zone, entries) {
		if members.Leaving(vm.ID()) || (vm.ID() == d.self.ID() && condition.Stopping) {
			continue
		}
		entry := wire.Entry_builder{Id: vm.ID(), Address: vm.Address(), AvailabilityZone: vm.AvailabilityZone()}.Build()
		if vm.ID() == d.self.ID() || members.Reachable(vm.ID()) {
			reachable = append(reachable, entry)
		} else {
			doubtful = append(doubtful, entry)
		}
	}
	all := append(reachable, doubtful...)
	if count := int(d.settings.GetEntries()); len(all) > count {
		all = all[:count]
	}
	return wire.Entries_builder{
		Entries:  all,
		Valid:    durationpb.New(d.valid(condition)),
		Tokens:   d.issue(condition),
		Alone:    members.Alone(),
		Resuming: condition.Resuming,
	}.Build()
}

// resumingValid makes callers ask again soon when the answer rests on views that may be stale.
const resumingValid = time.Second

func (d *Directory) valid(condition NodeStatus) time.Duration {
	valid := d.settings.GetValid().AsDuration()
	if condition.Resuming {
		return min(valid, resumingValid)
	}
	return valid
}

// issue returns no tokens while stopping: their issuer is about to go.
func (d *Directory) issue(condition NodeStatus) []string {
	if condition.Stopping {
		return nil
	}
	return d.tokens.Issue(int(d.settings.GetTokens()))
}
