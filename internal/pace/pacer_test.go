package pace

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns the ids of nodes in three regions.
func fleet(nodes int) map[string][]string {
	byRegion := make(map[string][]string)
	for i := range nodes {
		region := fmt.Sprintf("region-%d", i%3)
		byRegion[region] = append(byRegion[region], fmt.Sprintf("node-%02d", i))
	}
	return byRegion
}

// newPacers returns the pacers of all nodes for one searcher that has just named a limit.
func newPacers(nodes int, limit float64) []*Pacer {
	byRegion := fleet(nodes)
	var pacers []*Pacer
	for _, ids := range byRegion {
		for _, id := range ids {
			p := New("searcher", "region-0")
			p.SetMembers(start, NewMembers(id, byRegion))
			p.Observe(start, start, PerSecond(limit))
			pacers = append(pacers, p)
		}
	}
	return pacers
}

// Guards against nodes that keep to a limit each and exceed it together: in a steady flood, and when all of them start to send after a pause.
func TestNodesTogetherKeepTheLimit(t *testing.T) {
	const (
		length = 60 * time.Second
		step   = 5 * time.Millisecond
		window = 4 * time.Second
	)
	tests := map[string]struct {
		nodes int
		limit float64
		// idle is how long the nodes send nothing after the limit was named.
		idle time.Duration
	}{
		"six nodes, flood":               {nodes: 6, limit: 30},
		"six nodes, low limit":           {nodes: 6, limit: 1},
		"six nodes, after a pause":       {nodes: 6, limit: 1, idle: 40 * time.Second},
		"many nodes, flood":              {nodes: 60, limit: 16},
		"many nodes, low limit":          {nodes: 60, limit: 1.3},
		"many nodes, after a pause":      {nodes: 60, limit: 16, idle: 40 * time.Second},
		"low limit, many, after a pause": {nodes: 60, limit: 1, idle: 40 * time.Second},
		"takes nothing":                  {nodes: 6, limit: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pacers := newPacers(test.nodes, test.limit)
			var sent []time.Duration
			for at := test.idle; at < length; at += step {
				for _, p := range pacers {
					if p.Take(start.Add(at)) {
						sent = append(sent, at)
					}
				}
			}
			// The users allow half more than the limit, and five requests.
			allowed := 1.5*test.limit*window.Seconds() + 5
			first := 0
			for last := range sent {
				for sent[last]-sent[first] > window {
					first++
				}
				if got := float64(last - first + 1); got > allowed {
					t.Fatalf("got %v requests in %v until %v, want at most %v", got, window, sent[last], allowed)
				}
			}
			if want := 0.9 * test.limit * (length - test.idle).Seconds(); float64(len(sent)) < want {
				t.Errorf("got %d requests, want at least %v", len(sent), want)
			}
		})
	}
}

// Guards against a limit that is forgotten while it is in force, and against one that is kept after its end.
func TestObserve(t *testing.T) {
	const named, other = 10.0, 20.0
	tests := map[string]struct {
		replies     []Limit
		sentBefore  bool
		want        Limit
		wantChanged bool
	}{
		"named":                                  {replies: []Limit{PerSecond(named)}, want: PerSecond(named), wantChanged: true},
		"named again":                            {replies: []Limit{PerSecond(named), PerSecond(named)}, want: PerSecond(named)},
		"named anew":                             {replies: []Limit{PerSecond(named), PerSecond(other)}, want: PerSecond(other)},
		"ended":                                  {replies: []Limit{PerSecond(named), {}}, wantChanged: true},
		"reply without a limit was sent earlier": {replies: []Limit{PerSecond(named), {}}, sentBefore: true, want: PerSecond(named)},
		"never named":                            {replies: []Limit{{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("searcher", "region-0")
			p.SetMembers(start, NewMembers("node-00", fleet(6)))
			changed := false
			for i, limit := range test.replies {
				now := start.Add(time.Duration(i+1) * time.Millisecond)
				sentAt := now
				if test.sentBefore {
					sentAt = start
				}
				changed = p.Observe(now, sentAt, limit)
			}
			if got := p.Limit(); got != test.want || changed != test.wantChanged {
				t.Errorf("got %+v, changed %v, want %+v, changed %v", got, changed, test.want, test.wantChanged)
			}
			if got := p.Available(start.Add(time.Duration(len(test.replies)) * time.Millisecond)); got == test.want.Named() {
				t.Errorf("got available %v right after the last reply, want %v", got, !test.want.Named())
			}
		})
	}
}

// Guards against a node that never learns that a limit has ended, because it has no share of it and sends nothing.
func TestNodeWithoutShareLearnsTheEnd(t *testing.T) {
	tests := map[string]string{"among many nodes": "node-59", "unknown to the others": "node-99"}
	for name, self := range tests {
		t.Run(name, func(t *testing.T) {
			const limit = 1.0
			p := New("searcher", "region-0")
			p.SetMembers(start, NewMembers(self, fleet(60)))
			p.Observe(start, start, PerSecond(limit))
			const patience = 20 * time.Minute
			if p.Take(start.Add(time.Second)) || !p.Take(start.Add(patience)) {
				t.Errorf("got a request after a second or none in %v, want one in between", patience)
			}
		})
	}
}

// Guards against shares that add up to more than the limit, and against nodes of the searcher's region that get less than others.
func TestSharesAddUp(t *testing.T) {
	tests := map[string]struct {
		nodes int
		limit float64
		// region is the searcher's region; far-away is one without a node.
		region string
	}{
		"few nodes":              {nodes: 6, limit: 30, region: "region-0"},
		"one node":               {nodes: 1, limit: 30, region: "region-0"},
		"no node in the region":  {nodes: 6, limit: 30, region: "far-away"},
		"more nodes than shares": {nodes: 60, limit: 16, region: "region-1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			byRegion := fleet(test.nodes)
			least := make(map[bool]float64)
			sum := 0.0
			for region, ids := range byRegion {
				for _, id := range ids {
					share := NewMembers(id, byRegion).rate(test.limit, "searcher", test.region)
					sum += share
					if known, ok := least[region == test.region]; !ok || share < known {
						least[region == test.region] = share
					}
				}
			}
			// Nodes without a share ask every 10 s or less, each less often than the one before.
			probes := 0.0
			for rank := int(savedSeconds*test.limit) + minSharing; rank < test.nodes; rank++ {
				probes += 1 / (probeInterval.Seconds() * float64(rank+1))
			}
			if got := sum - probes; got < 0.99*test.limit || got > 1.01*test.limit {
				t.Errorf("got shares of %v in all, want %v", got, test.limit)
			}
			if near, ok := least[true]; ok && near < least[false] {
				t.Errorf("got a share of %v in the searcher's region and %v elsewhere, want no less", near, least[false])
			}
		})
	}
}

// BenchmarkShare measures the share of one limit among the nodes of the design size.
func BenchmarkShare(b *testing.B) {
	members := NewMembers("node-00", fleet(2700))
	for b.Loop() {
		members.rate(16, "searcher", "region-0")
	}
}

// Guards against requests during a pause that a searcher asked for, and against a pause that ends early or never.
func TestPause(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		pauses []time.Duration
		after  time.Duration
		want   bool
	}{
		"none":                        {want: true},
		"during the pause":            {pauses: []time.Duration{time.Second}, after: 900 * time.Millisecond},
		"after the pause":             {pauses: []time.Duration{time.Second}, after: time.Second, want: true},
		"a shorter one follows":       {pauses: []time.Duration{2 * time.Second, time.Second}, after: 1500 * time.Millisecond},
		"a longer one follows":        {pauses: []time.Duration{time.Second, 2 * time.Second}, after: 1500 * time.Millisecond},
		"longer than the upper bound": {pauses: []time.Duration{1 << 62}, after: maxPause, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("s", "r")
			for i, pause := range test.pauses {
				if got, want := p.Pause(now, pause), i == 0; got != want {
					t.Errorf("pause %d is the first: got %v, want %v", i, got, want)
				}
			}
			at := now.Add(test.after)
			if got := p.Available(at); got != test.want {
				t.Errorf("available: got %v, want %v", got, test.want)
			}
			if got := p.Take(at); got != test.want {
				t.Errorf("taken: got %v, want %v", got, test.want)
			}
		})
	}
}
