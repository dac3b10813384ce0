package pace

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldNode is a node in front of one cold searcher.
type coldNode struct {
	id    string
	views *Views
	pacer *Pacer
	// startedAt is when it started since the beginning; it knows no other node for discoveryTime.
	startedAt time.Duration
}

const discoveryTime = 1500 * time.Millisecond

// know tells a node of the live nodes, out of all, and of those of them that share.
func (n *coldNode) know(now time.Time, sharing, live, all map[string][]string) {
	census := Census{Live: slices.Sorted(ids(live)), Known: slices.Sorted(ids(all))}
	n.views.Observe(now, NewMembers(n.id, sharing), census)
}

func ids(byRegion map[string][]string) func(yield func(string) bool) {
	var list []string
	for _, region := range byRegion {
		list = append(list, region...)
	}
	return slices.Values(list)
}

// half returns one part of the nodes in every region.
func half(byRegion map[string][]string, part int) map[string][]string {
	halves := make(map[string][]string)
	for region, nodes := range byRegion {
		for i, id := range nodes {
			if i%2 == part {
				halves[region] = append(halves[region], id)
			}
		}
	}
	return halves
}

// Guards against nodes that together send a cold searcher more than the bound in some second: from the first request on, when they are cut off
// from each other, restart one after the other, disagree on who shares, or know nobody yet. Requests take up to 500 ms to arrive.
func TestColdSearcherIsNotOverrun(t *testing.T) {
	const length, step, tick, restartEvery = 20 * time.Second, 5 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond
	users := Allowance{Overshoot: 1.5, Slack: 5}
	together := func(all map[string][]string, _ time.Duration, _ int, _ string) map[string][]string { return all }
	cut := func(all map[string][]string, at time.Duration, index int, id string) map[string][]string {
		// The nodes notice the cut at different times within 3 s.
		if at < length/3+time.Duration(index%10)*300*time.Millisecond {
			return all
		}
		if one := half(all, 0); slices.Contains(slices.Collect(ids(one)), id) {
			return one
		}
		return half(all, 1)
	}
	oneDown := func(all map[string][]string, _ time.Duration, _ int, _ string) map[string][]string {
		live := maps.Clone(all)
		live["region-0"] = live["region-0"][1:]
		return live
	}
	alone := func(_ map[string][]string, _ time.Duration, _ int, id string) map[string][]string {
		return map[string][]string{"region-0": {id}}
	}
	varying := func(all map[string][]string, at time.Duration, _ int, id string) map[string][]string {
		// Every 6 s the other half shares. Those who did learn of it 3 s after those who do now.
		round := int(at / (6 * time.Second))
		before := half(all, (round+1)%2)
		if at%(6*time.Second) < 3*time.Second && slices.Contains(slices.Collect(ids(before)), id) {
			return before
		}
		return half(all, round%2)
	}
	tests := map[string]struct {
		nodes     int
		perSecond float64
		allowance Allowance
		// live returns the live nodes that a node knows, and shares those of them that share, all unless it is set.
		live     func(all map[string][]string, at time.Duration, index int, id string) map[string][]string
		shares   func(all map[string][]string, at time.Duration, index int, id string) map[string][]string
		restarts bool
		// bursts is set when there are requests from the second to the third second of every six only, so that nodes have saved one up.
		bursts bool
		// least is the fraction of the rate that is used, 0 where nodes do not know each other.
		least float64
	}{
		"one node":                  {nodes: 1, perSecond: 10, allowance: users, live: together, least: 0.5},
		"six nodes":                 {nodes: 6, perSecond: 10, allowance: users, live: together, least: 0.5},
		"many nodes":                {nodes: 141, perSecond: 10, allowance: users, live: together, least: 0.5},
		"many nodes, low rate":      {nodes: 141, perSecond: 1, allowance: users, live: together, least: 0.5},
		"many nodes, high rate":     {nodes: 141, perSecond: 300, allowance: users, live: together, least: 0.5},
		"no allowance":              {nodes: 141, perSecond: 10, allowance: DefaultAllowance, live: together, least: 0.3},
		"no allowance, low rate":    {nodes: 141, perSecond: 2, allowance: DefaultAllowance, live: together, least: 0.3},
		"less than one a second":    {nodes: 6, perSecond: 0.5, allowance: DefaultAllowance, live: together},
		"cut off in two parts":      {nodes: 141, perSecond: 10, allowance: users, live: cut, least: 0.3},
		"one is down, low rate":     {nodes: 60, perSecond: 1, allowance: users, live: oneDown, least: 0.3},
		"each alone":                {nodes: 141, perSecond: 10, allowance: users, live: alone},
		"varying nodes share":       {nodes: 24, perSecond: 10, allowance: DefaultAllowance, live: together, shares: varying, bursts: true},
		"one after another starts":  {nodes: 60, perSecond: 10, allowance: users, live: together, restarts: true},
		"restarts of a few, faster": {nodes: 6, perSecond: 10, allowance: users, live: together, restarts: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := fleet(test.nodes)
			var nodes []*coldNode
			for id := range ids(all) {
				nodes = append(nodes, &coldNode{id: id, views: NewViews(), pacer: New("searcher", "region-0")})
			}
			jitter := rand.New(rand.NewPCG(1, 2))
			cold := Cold{PerSecond: test.perSecond, Until: start.Add(length), Length: length}
			var arrivals []time.Duration
			for at := time.Duration(0); at < length; at += step {
				now := start.Add(at)
				for i, n := range nodes {
					if test.restarts && at%restartEvery == 0 && int(at/restartEvery)%len(nodes) == i {
						*n = coldNode{id: n.id, views: NewViews(), pacer: New("searcher", "region-0"), startedAt: at}
						n.pacer.SetCold(now, cold, n.views, test.allowance)
					}
					if at%tick == 0 {
						live := test.live(all, at, i, n.id)
						if n.startedAt > 0 && at-n.startedAt < discoveryTime {
							live = nil
						}
						sharing := live
						if test.shares != nil {
							sharing = test.shares(live, at, i, n.id)
						}
						n.know(now, sharing, live, all)
						n.pacer.SetCold(now, cold, n.views, test.allowance)
					}
					if inBurst := at%(6*time.Second) >= time.Second && at%(6*time.Second) < 3*time.Second; test.bursts && !inBurst {
						continue
					}
					if n.pacer.Take(now) {
						arrivals = append(arrivals, at+time.Duration(jitter.Int64N(int64(arrivalWindow-time.Second))))
					}
				}
			}
			slices.Sort(arrivals)
			bound := int(test.perSecond*test.allowance.Overshoot + test.allowance.Slack)
			first := 0
			for last := range arrivals {
				for arrivals[last]-arrivals[first] >= time.Second {
					first++
				}
				if got := last - first + 1; got > bound {
					t.Fatalf("got %d requests in the second until %v, want at most %d", got, arrivals[last], bound)
				}
			}
			if got, want := float64(len(arrivals)), test.least*test.perSecond*length.Seconds(); got < want {
				t.Errorf("got %v requests, want at least %v", got, want)
			}
		})
	}
}

// Guards against a share that jumps at the end of a warm-up, and against one that exceeds the rate.
func TestColdShareRises(t *testing.T) {
	c := Cold{PerSecond: 10, Until: start.Add(20 * time.Second), Length: 20 * time.Second}
	previous := 0.0
	for at := time.Duration(0); at <= c.Length; at += time.Second {
		share := c.startShare(start.Add(at))
		if share <= previous || share > 1 {
			t.Errorf("after %v: got a share of %v after %v, want a rise to 1", at, share, previous)
		}
		previous = share
	}
	if math.Abs(previous-1) > 1e-9 {
		t.Errorf("got %v at the end, want 1", previous)
	}
}

// Guards against a request that is sent long after its room was taken, together with others, or whose room was taken before the searcher became
// cold, and against limits for searchers that are warm.
func TestColdRoomIsShortLived(t *testing.T) {
	views := NewViews()
	views.Observe(start, NewMembers("a", map[string][]string{"r": {"a"}}), Census{Live: []string{"a"}, Known: []string{"a"}})
	tests := map[string]struct {
		cold    Cold
		takenAt time.Duration
		sentAt  time.Duration
		want    bool
	}{
		"at once":               {cold: Cold{PerSecond: 5, Until: start.Add(time.Minute)}, takenAt: time.Second, sentAt: time.Second, want: true},
		"late":                  {cold: Cold{PerSecond: 5, Until: start.Add(time.Minute)}, takenAt: time.Second, sentAt: 2 * time.Second},
		"taken while warm":      {cold: Cold{PerSecond: 5, Until: start.Add(time.Minute)}, takenAt: -10 * time.Millisecond, sentAt: 0},
		"warm since":            {cold: Cold{PerSecond: 5, Until: start.Add(time.Second)}, takenAt: time.Millisecond, sentAt: time.Second, want: true},
		"no limit when cold":    {cold: Cold{Until: start.Add(time.Minute)}, takenAt: time.Millisecond, sentAt: time.Second, want: true},
		"was never called cold": {takenAt: time.Millisecond, sentAt: time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New("s", "r")
			p.SetCold(start, test.cold, views, DefaultAllowance)
			if got := p.MaySend(start.Add(test.sentAt), start.Add(test.takenAt)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			// A warm searcher takes requests out of order and at any rate.
			for i := range 3 {
				if got, want := p.Take(start.Add(time.Duration(i))), !p.Cold(start); got != want {
					t.Errorf("request %d right at the start: got taken %v, want %v", i, got, want)
				}
			}
		})
	}
}

// Guards against nodes without a share of cold searchers that stay so after a settled change, and against a node that counts as gone too early.
func TestPresentShare(t *testing.T) {
	const named = "n0"
	known := []string{named, "n1", "n2", "n3"}
	tests := map[string]struct {
		census []Census
		after  time.Duration
		want   float64
	}{
		"all live":               {census: []Census{{Live: known, Known: known}}, want: 1},
		"half silent":            {census: []Census{{Live: known[:2], Known: known}}, want: 0.5},
		"half removed meanwhile": {census: []Census{{Live: known, Known: known}, {Live: known[:2], Known: known[:2]}}, want: 0.5},
		"removed long ago":       {census: []Census{{Live: known, Known: known}, {Live: known[:2], Known: known[:2]}}, after: 2 * nodeTTL, want: 1},
		"has met nobody":         {census: []Census{{Live: known[:1], Known: known[:1], Unmet: 2}}, want: 1.0 / assumedNodes},
		"one seed is unknown":    {census: []Census{{Live: known, Known: known, Unmet: 1}}, want: 0.8},
		"the only one":           {census: []Census{{Live: known[:1], Known: known[:1]}}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewViews()
			now := start
			for _, census := range test.census {
				v.Observe(now, &Members{}, census)
				now = now.Add(test.after)
			}
			last := test.census[len(test.census)-1]
			if got := v.present(now, last); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against requests that were chosen while a searcher was warm and reach it when it has become cold again before the share was next computed.
func TestColdAgainBeforeTheNextTick(t *testing.T) {
	now, views := start, NewViews()
	views.Observe(now, NewMembers("a", map[string][]string{"r": {"a"}}), Census{Live: []string{"a"}, Known: []string{"a"}})
	p := New("s", "r")
	cold := Cold{PerSecond: 10, Until: now.Add(time.Second), Length: time.Second}
	p.SetCold(now, cold, views, DefaultAllowance)
	taken, again := cold.Until.Add(10*time.Millisecond), cold.Until.Add(20*time.Millisecond)
	for range 50 {
		if !p.Take(taken) {
			t.Fatal("got no room at a warm searcher")
		}
	}
	cold.Until = again.Add(time.Second)
	p.SetCold(again, cold, views, DefaultAllowance)
	if p.MaySend(again, taken) || p.ColdRoom(again) {
		t.Errorf("got may send %v and room %v at a searcher that is cold again, want neither", p.MaySend(again, taken), p.ColdRoom(again))
	}
}
