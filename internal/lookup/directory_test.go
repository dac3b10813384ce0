package lookup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// countingIssuer issues empty tokens and counts them.
type countingIssuer struct{ issued int }

func (t *countingIssuer) Issue(n int) []string {
	t.issued += n
	return make([]string, n)
}

// TestEntries guards against callers that are sent to stopping, leaving or unreachable nodes or away from their availability
// zone, and against callers that keep an answer from stale views for too long.
func TestEntries(t *testing.T) {
	var vms []shards.VM
	for i := range 6 {
		vms = append(vms, shards.NewVM(fmt.Sprintf("e%d", i), "r", string(rune('a'+i%2)), fmt.Sprintf("127.0.0.1:%d", i+1), fmt.Sprintf("127.0.0.1:%d", i+11)))
	}
	tests := map[string]struct {
		zone       string
		status     NodeStatus
		leaving    []int
		failed     []string
		wantZone   string
		wantAbsent []string
		wantValid  time.Duration
		wantTokens int
	}{
		"own zone of the node":     {wantZone: "a", wantValid: 30 * time.Second, wantTokens: 2},
		"zone of the caller":       {zone: "b", wantZone: "b", wantValid: 30 * time.Second, wantTokens: 2},
		"unknown zone":             {zone: "z", wantValid: 30 * time.Second, wantTokens: 2},
		"stopping node":            {status: NodeStatus{Stopping: true}, wantAbsent: []string{"e0"}, wantValid: 30 * time.Second},
		"resuming node":            {status: NodeStatus{Resuming: true}, wantValid: time.Second, wantTokens: 2},
		"leaving nodes":            {leaving: []int{2, 4}, wantAbsent: []string{"e2", "e4"}, wantValid: 30 * time.Second, wantTokens: 2},
		"unreachable nodes":        {failed: []string{"e2", "e4"}, wantAbsent: []string{"e2", "e4"}, wantValid: 30 * time.Second, wantTokens: 2},
		"mostly unreachable nodes": {failed: []string{"e1", "e2", "e3", "e4", "e5"}, wantValid: 30 * time.Second, wantTokens: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			listed := slices.Clone(vms)
			for _, i := range test.leaving {
				listed[i] = listed[i].AsLeaving()
			}
			members := member.New(member.NewNode("e0", 1), member.Settings{})
			members.SetVMs(now, listed)
			for _, id := range test.failed {
				members.RecordFailure(now, id)
				members.RecordFailure(now.Add(10*time.Second), id)
			}
			settings := wire.DirectorySettings_builder{Valid: durationpb.New(30 * time.Second), Entries: 4, Tokens: 2}.Build()
			issuer := &countingIssuer{}
			got := New(vms[0], settings, issuer).Entries("caller", test.zone, listed, members.Snapshot(now.Add(10*time.Second)), test.status)
			var ids []string
			for _, entry := range got.GetEntries() {
				ids = append(ids, entry.GetId())
			}
			if len(ids) != 4 {
				t.Errorf("got entries %v, want 4", ids)
			}
			if first := got.GetEntries()[0].GetAvailabilityZone(); test.wantZone != "" && first != test.wantZone {
				t.Errorf("got %s first, in zone %s, want zone %s", ids[0], first, test.wantZone)
			}
			for _, id := range test.wantAbsent {
				if slices.Contains(ids, id) {
					t.Errorf("got %s among %v, want it absent", id, ids)
				}
			}
			if len(test.failed) > 2 && ids[0] != "e0" {
				t.Errorf("got %v, want the reachable e0 first", ids)
			}
			if got.GetValid().AsDuration() != test.wantValid || issuer.issued != test.wantTokens || len(got.GetTokens()) != test.wantTokens {
				t.Errorf("got validity %v and %d tokens, want %v and %d", got.GetValid().AsDuration(), issuer.issued, test.wantValid, test.wantTokens)
			}
			if got.GetResuming() != test.status.Resuming {
				t.Errorf("got resuming %v, want %v", got.GetResuming(), test.status.Resuming)
			}
		})
	}
}
