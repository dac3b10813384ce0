package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/reach"
)

// Guards against a directory that names nodes which reach far fewer searchers than others, or that names none since no node reaches many.
func TestCallerAddressesByReach(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		// reach holds that of the nodes a1, a2 of zone a, b1 of zone b in the same region and c1 of zone c in another one. The first is this node.
		reach [4]reach.Reach
		want  []string
	}{
		"all reach all":             {reach: [4]reach.Reach{reach.Of(1), reach.Of(1), reach.Of(1), reach.Of(1)}, want: []string{"a1", "a2"}},
		"other node of the zone":    {reach: [4]reach.Reach{reach.Of(1), reach.Of(0), reach.Of(1), reach.Of(1)}, want: []string{"a1"}},
		"this node":                 {reach: [4]reach.Reach{reach.Of(0.1), reach.Of(0.9), reach.Of(1), reach.Of(1)}, want: []string{"a2"}},
		"the zone":                  {reach: [4]reach.Reach{reach.Of(0), reach.Of(0), reach.Of(1), reach.Of(1)}, want: []string{"b1"}},
		"the region":                {reach: [4]reach.Reach{reach.Of(0), reach.Of(0), reach.Of(0.2), reach.Of(1)}, want: []string{"c1"}},
		"searchers are down":        {reach: [4]reach.Reach{reach.Of(0.2), reach.Of(0.3), reach.Of(0.3), reach.Of(0.25)}, want: []string{"a1", "a2"}},
		"no evidence anywhere":      {want: []string{"a1", "a2"}},
		"no evidence on other ones": {reach: [4]reach.Reach{reach.Of(0)}, want: []string{"a1", "a2"}},
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
			got := r.CallerAddresses(now, "r1", "a")
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
