package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/reach"
)

// Guards against callers that are directed to one stranded node after the other, since nodes without requests do not know their reach.
func TestNodesOfUnknownReachComeLast(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		elsewhere reach.Reach
		want      []string
	}{
		"no node is stranded":     {elsewhere: reach.Of(1), want: []string{"n0", "n1"}},
		"another one is stranded": {elsewhere: reach.Of(0), want: []string{"n2", "n3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			states := []State{{ID: "other", Zone: "z", Region: "r", Reach: test.elsewhere, Cores: 1}}
			for i, known := range []reach.Reach{reach.Unknown, reach.Unknown, reach.Of(1), reach.Of(1)} {
				// The first two are the largest, which are active otherwise.
				states = append(states, State{ID: fmt.Sprint("n", i), Zone: "a", Region: "r", Reach: known, Cores: float64(4 - i)})
			}
			for i := range states {
				states[i].Phase, states[i].Generation, states[i].CallerAddress, states[i].PeerAddress = Ready, 1, states[i].ID, fmt.Sprint(i)
			}
			r := New(states[0], Settings{})
			r.SetReach(test.elsewhere)
			r.Merge(now, states[1:])
			var got []string
			for _, s := range r.Active(now) {
				if s.Zone == "a" {
					got = append(got, s.ID)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a directory that names nodes which reach far fewer searchers than others, or that names none since no node reaches many.
func TestCallerAddressesByReach(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		// reach holds that of the nodes a1, a2 of zone a, b1 of zone b in the same region and c1 of zone c in another one. The first is this node.
		reach [4]reach.Reach
		want  []string
	}{
		"all reach all":                        {reach: [4]reach.Reach{reach.Of(1), reach.Of(1), reach.Of(1), reach.Of(1)}, want: []string{"a1", "a2"}},
		"other node of the zone":               {reach: [4]reach.Reach{reach.Of(1), reach.Of(0), reach.Of(1), reach.Of(1)}, want: []string{"a1"}},
		"this node":                            {reach: [4]reach.Reach{reach.Of(0.1), reach.Of(0.9), reach.Of(1), reach.Of(1)}, want: []string{"a2"}},
		"the zone":                             {reach: [4]reach.Reach{reach.Of(0), reach.Of(0), reach.Of(1), reach.Of(1)}, want: []string{"b1"}},
		"the region":                           {reach: [4]reach.Reach{reach.Of(0), reach.Of(0), reach.Of(0.2), reach.Of(1)}, want: []string{"c1"}},
		"searchers are down":                   {reach: [4]reach.Reach{reach.Of(0.25), reach.Of(0.3), reach.Of(0.3), reach.Of(0.25)}, want: []string{"a1", "a2"}},
		"one is stranded, one has no evidence": {reach: [4]reach.Reach{reach.Unknown, reach.Of(1), reach.Of(0), reach.Of(1)}, want: []string{"a1", "a2"}},
		"no evidence anywhere":                 {want: []string{"a1", "a2"}},
		"no evidence on other ones":            {reach: [4]reach.Reach{reach.Of(0)}, want: []string{"a1", "a2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			places := [4][3]string{{"a1", "a", "r1"}, {"a2", "a", "r1"}, {"b1", "b", "r1"}, {"c1", "c", "r2"}}
			states := make([]State, len(places))
			for i, p := range places {
				states[i] = State{ID: p[0], Zone: p[1], Region: p[2], CallerAddress: p[0], PeerAddress: fmt.Sprint(i), Phase: Ready, Generation: 1, Cores: 1, Reach: test.reach[i]}
			}
			r := New(states[0], Settings{})
			r.SetReach(test.reach[0])
			r.Merge(now, states[1:])
			got := r.CallerAddresses(now, "r1", "a", anyRegion)
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a change of a node's reach that waits for the next exchange of the region's table, and against one that is passed on for ever.
func TestChangeOfReachIsPassedOnOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, region := range map[string]string{"own region": "r1", "other region": "r2"} {
		t.Run(name, func(t *testing.T) {
			r := New(State{ID: "self", Zone: "a", Region: "r1", Phase: Ready, Generation: 1}, Settings{})
			state := State{ID: "other", Zone: "b", Region: region, Phase: Ready, Generation: 1, Heartbeat: 1, Reach: reach.Of(1)}
			steps := []struct {
				heartbeat uint64
				reach     reach.Reach
				want      int
			}{{1, reach.Of(1), 0}, {2, reach.Of(0), 1}, {2, reach.Of(0), 0}, {9, reach.Of(0.1), 0}, {10, reach.Of(1), 1}, {2, reach.Of(0), 0}}
			for i, step := range steps {
				state.Heartbeat, state.Reach = step.heartbeat, step.reach
				if got := len(r.Merge(now, []State{state})); got != step.want {
					t.Errorf("step %d: got %d states to pass on, want %d", i, got, step.want)
				}
			}
		})
	}
}
