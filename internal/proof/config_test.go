package proof

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// inForceBound is the promised time within which an accepted configuration is in force at all nodes.
const inForceBound = 13 * time.Second

// revisionHistory holds the latest revision in force at each node, to check that it never decreases.
type revisionHistory map[string]uint64

// observe records a node's revision and returns an error if it is lower than the previous one.
func (h revisionHistory) observe(node string, revision uint64) error {
	if revision < h[node] {
		return errors.Newf("%s reverted from revision %d to %d", node, h[node], revision)
	}
	h[node] = revision
	return nil
}

// Guards against a checker that accepts a configuration that reverts (P8).
func TestHistoryFindsReversal(t *testing.T) {
	tests := map[string]struct {
		revisions []uint64
		valid     bool
	}{
		"grows":       {revisions: []uint64{1, 2, 2, 5}, valid: true},
		"goes back":   {revisions: []uint64{1, 5, 2}},
		"disappears":  {revisions: []uint64{3, 0}},
		"starts late": {revisions: []uint64{0, 3}, valid: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := make(revisionHistory)
			var err error
			for _, revision := range test.revisions {
				err = errors.CombineErrors(err, h.observe("node", revision))
			}
			if got := err == nil; got != test.valid {
				t.Errorf("got error %v, want a valid history: %v", err, test.valid)
			}
		})
	}
}

// plansWith returns the document of the list of plans with an additional plan.
func plansWith(t *testing.T, name string) []byte {
	t.Helper()
	body, err := fakes.PlansDocument([]plans.Plan{
		plans.NewPlan(urgentPlan, "proof", plans.Urgent, 1, plans.Coverage{}),
		plans.NewPlan(bulkPlan, "proof", plans.Bulk, 1, plans.Tail{}),
		plans.NewPlan(name, "proof", plans.Routine, 1, plans.Coverage{}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// planInForce reports whether all nodes have a plan in their list of plans.
func planInForce(f *local.Fleet, plan string) bool {
	for _, n := range f.Nodes() {
		if _, ok := n.Node().View().Lists().Plan(plan); !ok {
			return false
		}
	}
	return true
}

// Guards against a configuration that does not reach all nodes within the bound, or that reverts, while the configuration
// service or the network fails (P8).
func TestConfigurationInForceEverywhere(t *testing.T) {
	tests := map[string]struct {
		// before runs before the edit, after runs directly after it.
		before, after func(t *testing.T, f *local.Fleet)
	}{
		"no failure": {},
		"service down and up again": {before: func(_ *testing.T, f *local.Fleet) {
			f.Searchers().Platform().SetDown(true)
		}, after: func(_ *testing.T, f *local.Fleet) {
			f.Searchers().Platform().SetDown(false)
		}},
		"service answers stale values after the edit": {after: func(t *testing.T, f *local.Fleet) {
			await(t, inForceBound, "the edit at all nodes", func() bool { return planInForce(f, "edited") })
			f.Searchers().Platform().SetStale(f.Searchers().Platform().Revision() - 1)
		}},
		"node restarted while the service is stale": {after: func(t *testing.T, f *local.Fleet) {
			await(t, inForceBound, "the edit at all nodes", func() bool { return planInForce(f, "edited") })
			f.Searchers().Platform().SetStale(f.Searchers().Platform().Revision() - 1)
			f.Kill("south-1")
			expectNoError(t, f.Start("south-1", "south", "south-a"))
		}},
		"rolling restart during the edit": {after: func(t *testing.T, f *local.Fleet) {
			for _, id := range []string{"north-1", "south-2", "west-1"} {
				f.Kill(id)
				expectNoError(t, f.Start(id, strings.Split(id, "-")[0], strings.Split(id, "-")[0]+"-a"))
			}
		}},
		"partition that heals": {before: func(_ *testing.T, f *local.Fleet) {
			f.Network().Partition(nodesInRegion(f, "north"), append(nodesInRegion(f, "south"), nodesInRegion(f, "west")...))
		}, after: func(_ *testing.T, f *local.Fleet) {
			f.Network().Heal(nodesInRegion(f, "north"), append(nodesInRegion(f, "south"), nodesInRegion(f, "west")...))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetOptions{nodesPerRegion: 3})
			// This leaves 8 nodes.
			f.Kill("west-3")
			if err := f.Searchers().RemoveVM("west-3"); err != nil {
				t.Fatal(err)
			}
			if test.before != nil {
				test.before(t, f)
			}
			f.Searchers().Platform().Set(plans.PlansKey, plansWith(t, "edited"))
			if test.after != nil {
				test.after(t, f)
			}
			begun := time.Now()
			h := make(revisionHistory)
			observe := func() bool {
				for _, n := range f.Nodes() {
					// A restarted node must have the newer revision before it serves.
					if !n.Node().Ready() {
						continue
					}
					expectNoError(t, h.observe(n.VM().ID(), n.Node().View().Lists().PlansRevision()))
				}
				return planInForce(f, "edited")
			}
			await(t, inForceBound, "the edit at all nodes", observe)
			t.Logf("in force at %d nodes after %v", len(f.Nodes()), time.Since(begun))
			// The configuration must not revert during the next digest exchanges and the next read from the service.
			until := time.Now().Add(time.Second)
			await(t, 5*time.Second, "no reversal", func() bool {
				if !observe() {
					t.Fatal("got a node without the edit after all nodes had it")
				}
				return time.Now().After(until)
			})
		})
	}
}

// Guards against an invalid edit that takes effect or that operators can't locate (P8): the last valid list stays in force,
// and the status page names the list, the section and the key.
func TestInvalidEditKeepsLastGood(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	f.Searchers().Platform().Set(plans.PlansKey, []byte("[urgent]\ncustomer = proof\nrank = highest\n"))
	c := newCaller(5 * time.Second)
	for _, n := range f.Nodes() {
		found := ""
		await(t, inForceBound, "the rejection on the status page of "+n.VM().ID(), func() bool {
			report, err := c.report(context.Background(), n.AdminAddress())
			if err != nil {
				return false
			}
			for _, document := range report.Documents {
				if document.Rejected == nil {
					continue
				}
				for _, fault := range document.Rejected.Faults {
					found = fmt.Sprintf("%s/%s/%s", fault.List, fault.Section, fault.Key)
				}
			}
			return found != ""
		})
		if want := "plans/urgent/rank"; found != want {
			t.Errorf("%s: got fault %s, want %s", n.VM().ID(), found, want)
		}
		if !planInForce(f, bulkPlan) {
			t.Error("got the invalid list in force, want the last valid one")
		}
	}
}
