package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func state(id string, phase Phase, generation, heartbeat uint64) State {
	return State{ID: id, Region: "r", Zone: "z", CallerAddress: id + ":1", PeerAddress: id + ":2", Phase: phase, Generation: generation, Heartbeat: heartbeat}
}

// sortedCallerAddresses returns the addresses for a caller in sorted order, since their order is not defined.
func sortedCallerAddresses(r *Roster, now time.Time, region, zone string) []string {
	addresses := r.CallerAddresses(now, region, zone, anyRegion)
	slices.Sort(addresses)
	return addresses
}

// Guards against directing callers to a node that is silent, starting, stopping or was replaced, and against omitting one that serves.
func TestCallerAddresses(t *testing.T) {
	tests := map[string]struct {
		merged []State
		// later is merged one second after the first states.
		later []State
		after time.Duration
		want  []string
	}{
		"ready":                       {merged: []State{state("b", Ready, 1, 5)}, after: time.Second, want: []string{"a:1", "b:1"}},
		"starting":                    {merged: []State{state("b", Starting, 1, 5)}, after: time.Second, want: []string{"a:1"}},
		"stopping":                    {merged: []State{state("b", Ready, 1, 5)}, later: []State{state("b", Stopping, 1, 6)}, after: time.Second, want: []string{"a:1"}},
		"silent":                      {merged: []State{state("b", Ready, 1, 5)}, after: 3 * time.Second, want: []string{"a:1"}},
		"repeated old state":          {merged: []State{state("b", Ready, 1, 5)}, later: []State{state("b", Ready, 1, 5)}, after: 2500 * time.Millisecond, want: []string{"a:1"}},
		"restarted after a stop":      {merged: []State{state("b", Stopping, 1, 5)}, later: []State{state("b", Ready, 2, 0)}, after: time.Second, want: []string{"a:1", "b:1"}},
		"old process after a restart": {merged: []State{state("b", Ready, 2, 0)}, later: []State{state("b", Stopping, 1, 99)}, after: time.Second, want: []string{"a:1", "b:1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(state("a", Ready, 1, 0), Settings{})
			r.Merge(start, test.merged)
			r.RecordContact(start, "b")
			if len(test.later) > 0 {
				r.Merge(start.Add(time.Second), test.later)
			}
			if got := sortedCallerAddresses(r, start.Add(test.after), "r", "z"); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against directing callers to distant nodes while near ones serve, and against giving them none. A caller that asks from another
// zone found no directory in its own.
func TestCallerAddressesPreferNearNodes(t *testing.T) {
	r := New(State{ID: "a", Region: "r1", Zone: "z1", CallerAddress: "a:1", Phase: Ready}, Settings{})
	r.Merge(start, []State{
		{ID: "b", Region: "r1", Zone: "z2", CallerAddress: "b:1", Phase: Ready, Heartbeat: 1},
		{ID: "c", Region: "r2", Zone: "z3", CallerAddress: "c:1", Phase: Ready, Heartbeat: 1},
	})
	stopped := New(State{ID: "a", Region: "r1", Zone: "z1", CallerAddress: "a:1", Phase: Stopping}, Settings{})
	stopped.Merge(start, []State{{ID: "c", Region: "r2", Zone: "z3", CallerAddress: "c:1", Phase: Ready, Heartbeat: 1}})
	tests := map[string]struct {
		roster       *Roster
		region, zone string
		after        time.Duration
		want         []string
	}{
		"this node's zone":              {roster: r, region: "r1", zone: "z1", want: []string{"a:1"}},
		"another zone":                  {roster: r, region: "r1", zone: "z2", want: []string{"a:1", "b:1"}},
		"another region":                {roster: r, region: "r2", zone: "z3", want: []string{"a:1", "c:1"}},
		"another region that is silent": {roster: r, region: "r2", zone: "z3", after: 9 * time.Second, want: []string{"a:1"}},
		"no node in either":             {roster: stopped, region: "r1", zone: "z1", want: []string{"c:1"}},
		"unknown zone":                  {roster: r, region: "r9", zone: "z9", want: []string{"a:1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := sortedCallerAddresses(test.roster, start.Add(test.after), test.region, test.zone); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against directory answers that send callers of a host with home regions to a node elsewhere while there are others, and against answers
// without any node.
func TestCallerAddressesStayInHomes(t *testing.T) {
	in := func(id, region, zone string) State {
		return State{ID: id, Region: region, Zone: zone, CallerAddress: id + ":1", Phase: Ready, Heartbeat: 1}
	}
	nodes := []State{in("n1", "near", "near-a"), in("n2", "near", "near-b"), in("f", "far", "far-a"), in("x", "third", "third-a")}
	regions := func(allowed ...string) func(string) bool {
		return func(region string) bool { return slices.Contains(allowed, region) }
	}
	tests := map[string]struct {
		// self is the node that is asked, the first of those that are known.
		self         State
		known        []State
		region, zone string
		allowed      []func(string) bool
		want         []string
	}{
		"caller at home, node at home":             {self: nodes[0], known: nodes, region: "near", zone: "near-a", allowed: []func(string) bool{regions("near")}, want: []string{"n1:1"}},
		"caller at home, node elsewhere":           {self: nodes[2], known: nodes, region: "near", zone: "near-a", allowed: []func(string) bool{regions("near")}, want: []string{"n1:1"}},
		"caller elsewhere, node at home":           {self: nodes[0], known: nodes, region: "far", zone: "far-a", allowed: []func(string) bool{regions("near")}, want: []string{"f:1", "n1:1"}},
		"caller in a third region, node elsewhere": {self: nodes[2], known: nodes[:3], region: "third", zone: "third-a", allowed: []func(string) bool{regions("near")}, want: []string{"n1:1", "n2:1"}},
		"zone of another region than stated":       {self: nodes[0], known: nodes, region: "near", zone: "far-a", allowed: []func(string) bool{regions("near")}, want: []string{"n1:1"}},
		"home without nodes, caller elsewhere":     {self: nodes[2], known: nodes[2:], region: "third", zone: "third-a", allowed: []func(string) bool{regions("near")}, want: []string{"x:1"}},
		"only nodes elsewhere":                     {self: nodes[2], known: nodes[2:3], region: "near", zone: "near-a", allowed: []func(string) bool{regions("near")}, want: []string{"f:1"}},
		"no region is home":                        {self: nodes[2], known: nodes, region: "near", zone: "near-b", allowed: []func(string) bool{regions()}, want: []string{"n2:1"}},
		"routes with different homes, caller elsewhere": {self: nodes[3], known: nodes, region: "fourth", zone: "fourth-a", allowed: []func(string) bool{regions(), regions("near", "far")},
			want: []string{"f:1", "n1:1", "n2:1"}},
		"no restriction": {self: nodes[2], known: nodes, region: "near", zone: "near-a", want: []string{"f:1", "n1:1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New(test.self, Settings{})
			r.Merge(start, slices.DeleteFunc(slices.Clone(test.known), func(s State) bool { return s.ID == test.self.ID }))
			got := r.CallerAddresses(start.Add(time.Second), test.region, test.zone, test.allowed...)
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a restarted node whose states are rejected because its predecessor's heartbeat count is higher.
func TestRestartedNodeSupersedesPredecessor(t *testing.T) {
	r := New(state("a", Ready, 5, 0), Settings{})
	r.Merge(start, []State{state("a", Stopping, 7, 100)})
	other := New(state("b", Ready, 1, 0), Settings{})
	other.Merge(start, []State{state("a", Stopping, 7, 100)})
	other.Merge(start, r.allStates())
	if got, want := sortedCallerAddresses(other, start, "r", "z"), []string{"a:1", "b:1"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against suspecting all nodes after this process was paused.
func TestHandlePause(t *testing.T) {
	r := New(state("a", Ready, 1, 0), Settings{})
	r.Merge(start, []State{state("b", Ready, 1, 5)})
	resumed := start.Add(time.Minute)
	r.HandlePause(resumed)
	if got := len(r.Live(resumed)); got != 2 {
		t.Errorf("got %d live nodes, want 2", got)
	}
}

// testFleet holds the rosters of nodes in two regions of two zones each, and the targets of the exchanges that each node started. A seed draws
// their order and their partners.
type testFleet struct {
	random   *rand.Rand
	rosters  map[string]*Roster
	partners map[string]map[string]bool
	sent     int
}

func newFleet(seed uint64, nodes int) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(seed, uint64(nodes))), rosters: make(map[string]*Roster), partners: make(map[string]map[string]bool)}
	for i := range nodes {
		s := state(fmt.Sprintf("n%02d", i), Ready, 1, 0)
		s.Region, s.Zone = fmt.Sprintf("r%d", i%2), fmt.Sprintf("z%d", i%4)
		f.rosters[s.PeerAddress] = New(s, Settings{Random: rand.New(rand.NewPCG(seed, uint64(i)))})
		f.partners[s.PeerAddress] = make(map[string]bool)
	}
	return f
}

// heartbeat runs one heartbeat of all nodes. All exchanges succeed except those with the dead node.
func (f *testFleet) heartbeat(now time.Time, dead string) {
	for _, address := range shuffledAddresses(f.random, f.rosters) {
		if address == dead {
			continue
		}
		r := f.rosters[address]
		r.RecordHeartbeat(0)
		for _, exchange := range r.NextExchanges(now, []string{"n00:2", "n01:2"}) {
			f.partners[address][exchange.Address] = true
			other, ok := f.rosters[exchange.Address]
			if !ok || exchange.Address == dead {
				continue
			}
			f.sent += len(exchange.States)
			other.Merge(now, exchange.States)
			other.RecordContact(now, r.Self().ID)
			r.Merge(now, other.Reply(now, exchange.States))
			r.RecordContact(now, other.Self().ID)
		}
	}
}

// shuffledAddresses returns the addresses of a fleet in an order that random draws.
func shuffledAddresses(random *rand.Rand, fleet map[string]*Roster) []string {
	addresses := slices.Sorted(maps.Keys(fleet))
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// orderSeeds is the number of seeds that draw the order of the nodes in a test.
const orderSeeds = 10

// Guards against nodes that do not discover each other through seeds, that learn of a change late, or that keep a dead node live; against
// a node that contacts itself; and against exchanges and connections that grow with the fleet.
func TestExchanges(t *testing.T) {
	for seed := range uint64(orderSeeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { playExchanges(t, seed) })
	}
}

func playExchanges(t *testing.T, seed uint64) {
	const (
		nodes    = 40
		interval = 500 * time.Millisecond
	)
	f := newFleet(seed, nodes)
	now := start
	run := func(d time.Duration, dead string) {
		for end := now.Add(d); now.Before(end); now = now.Add(interval) {
			f.heartbeat(now, dead)
		}
	}
	run(20*time.Second, "")
	for address, r := range f.rosters {
		if got := len(r.Live(now)); got != nodes {
			t.Fatalf("%s: got %d live nodes after 20s, want %d", address, got, nodes)
		}
	}
	f.sent = 0
	run(10*time.Second, "")
	if perNode := float64(f.sent) / 10 / nodes; perNode > 50 {
		t.Errorf("got %.0f states a second from a node, want at most 50", perNode)
	}
	for address, partners := range f.partners {
		if partners[address] || len(partners) > 16 {
			t.Errorf("%s contacted %d nodes, itself: %v, want at most 16 others", address, len(partners), partners[address])
		}
	}
	f.rosters["n10:2"].SetPhase(Stopping)
	run(8*time.Second, "")
	const dead = "n13:2"
	// Its last heartbeat takes five exchanges of 1.3 s through each region of 20 nodes; then the longest silence limit must pass.
	run(30*time.Second, dead)
	for address, r := range f.rosters {
		for _, s := range r.Live(now) {
			if address != dead && (s.ID == "n10" || s.PeerAddress == dead) {
				t.Errorf("%s: got %s live, which stopped or is dead", address, s.ID)
			}
		}
	}
}

// Guards against nodes that disagree on the active nodes, and against too few active nodes for the load.
func TestActive(t *testing.T) {
	tests := map[string]struct {
		load float64
		want int
	}{
		"idle":      {load: 0, want: 2},
		"some load": {load: 0.05, want: 2},
		"busy":      {load: 0.2, want: 4},
		"overload":  {load: 1, want: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var states []State
			for i := range 8 {
				s := state(fmt.Sprintf("n%d", i), Ready, 1, 1)
				s.Cores, s.Load = 0.4, test.load/2
				if i >= 4 {
					s.Load = 0
				}
				states = append(states, s)
			}
			one, other := New(states[0], Settings{}), New(states[5], Settings{})
			one.Merge(start, states)
			other.Merge(start, states)
			got := one.CallerAddresses(start, "r", "z", anyRegion)
			if len(got) != test.want {
				t.Errorf("got %d active nodes, want %d", len(got), test.want)
			}
			if want := other.CallerAddresses(start, "r", "z", anyRegion); !slices.Equal(got, want) {
				t.Errorf("got %v at one node and %v at another, want the same", got, want)
			}
		})
	}
}

// Guards against queries over many shards that are directed to small nodes of a zone while large ones are idle, and against a zone that is
// left with too few nodes when its large ones are lost.
func TestActivePrefersLargeNodes(t *testing.T) {
	large := []string{"n3:1", "n8:1", "n9:1"}
	tests := map[string]struct {
		load float64
		lost int
		want int
		// wantLarge is the number of large nodes among the active ones.
		wantLarge int
	}{
		"idle":             {want: 2, wantLarge: 2},
		"busy":             {load: 0.6, want: 3, wantLarge: 3},
		"beyond the large": {load: 0.8, want: 5, wantLarge: 3},
		"two lost":         {lost: 2, want: 2, wantLarge: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var states []State
			for i := range 12 {
				s := state(fmt.Sprintf("n%d", i), Ready, 1, 1)
				s.Cores = 0.192
				if at := slices.Index(large, s.CallerAddress); at >= 0 {
					s.Cores, s.Load = 0.8, test.load/3
					if at < test.lost {
						s.Phase = Stopping
					}
				}
				states = append(states, s)
			}
			r := New(states[0], Settings{})
			r.Merge(start, states)
			got := r.CallerAddresses(start, "r", "z", anyRegion)
			gotLarge := 0
			for _, address := range got {
				if slices.Contains(large, address) {
					gotLarge++
				}
			}
			if len(got) != test.want || gotLarge != test.wantLarge {
				t.Errorf("got %d active nodes, %d of them large, want %d and %d", len(got), gotLarge, test.want, test.wantLarge)
			}
		})
	}
}

// Guards against nodes of the same size that disagree on which of them are active. A size is published as a number of 32 bits, so that a node
// took the others for slightly larger than itself.
func TestActiveAgreesAcrossNodes(t *testing.T) {
	var own, published []State
	for i := range 5 {
		s := state(fmt.Sprintf("n%d", i), Ready, 1, 1)
		s.Cores = 0.4
		own = append(own, s)
		s.Cores = float64(float32(s.Cores))
		published = append(published, s)
	}
	var want []string
	for i, s := range own {
		r := New(s, Settings{})
		r.Merge(start, published)
		got := r.CallerAddresses(start, "r", "z", anyRegion)
		if i == 0 {
			want = got
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v as at %s", s.ID, got, want, own[0].ID)
		}
	}
}

// Guards against views that depend on the order in which states arrive.
func TestMergeIsCommutative(t *testing.T) {
	updates := []State{state("b", Ready, 1, 5), state("b", Stopping, 1, 6), state("b", Starting, 2, 0), state("c", Ready, 1, 1)}
	forward, backward := New(state("a", Ready, 1, 0), Settings{}), New(state("a", Ready, 1, 0), Settings{})
	for i := range updates {
		forward.Merge(start, updates[i:i+1])
		backward.Merge(start, updates[len(updates)-1-i:len(updates)-i])
	}
	if got, want := backward.Live(start), forward.Live(start); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// newZone returns rosters of the nodes of one zone that all know each other.
func newZone(seed uint64, nodes int) []*Roster {
	var states []State
	for i := range nodes {
		states = append(states, state(fmt.Sprintf("n%03d", i), Ready, 1, 1))
	}
	var rosters []*Roster
	for i, s := range states {
		r := New(s, Settings{Random: rand.New(rand.NewPCG(seed, uint64(i)))})
		r.Merge(start, states)
		rosters = append(rosters, r)
	}
	return rosters
}

// Guards against heartbeats whose cost grows with the square of the fleet. At 300 nodes they took 4% of a core on each node.
func TestHeartbeatAllocations(t *testing.T) {
	const nodes, want = 400, 400
	self := state("self", Ready, 1, 0)
	self.Region = "r0"
	r := New(self, Settings{})
	var states []State
	for i := range nodes {
		s := state(fmt.Sprintf("n%03d", i), Ready, 1, 1)
		s.Region, s.Zone = fmt.Sprintf("r%d", i%3), fmt.Sprintf("z%d", i%9)
		states = append(states, s)
	}
	r.Merge(start, states)
	now := start
	got := testing.AllocsPerRun(5, func() {
		now = now.Add(200 * time.Millisecond)
		r.NextExchanges(now, []string{"seed:1"})
		r.Live(now)
		r.FirstInRegion(now, 2)
		r.Active(now)
	})
	if got > want {
		t.Errorf("got %v allocations for a heartbeat with %d nodes, want at most %d", got, nodes, want)
	}
}

// Guards against zone leaders that every node of the zone contacts at each heartbeat.
func TestLeaderExchangesAreBounded(t *testing.T) {
	for _, nodes := range []int{60, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) { testExchangesPerLeader(t, nodes) })
	}
}

func testExchangesPerLeader(t *testing.T, nodes int) {
	const settled, rounds, want = 10, 12, 30
	rosters := newZone(1, nodes)
	exchanges := make(map[string]int)
	now := start
	for round := range settled + rounds {
		now = now.Add(500 * time.Millisecond)
		for _, r := range rosters {
			r.RecordHeartbeat(0)
			for _, exchange := range r.NextExchanges(now, nil) {
				if round >= settled && len(exchange.States) == 1 {
					exchanges[exchange.Address]++
				}
			}
		}
	}
	for address, count := range exchanges {
		if got := count / rounds; got > want {
			t.Errorf("%s: got %d exchanges a heartbeat, want at most %d of %d nodes", address, got, want, nodes)
		}
	}
}

// Guards against a leader that counts as dead because other nodes contact it only round-robin, and against a dead leader that stays live.
func TestLeaderLivenessThroughOtherLeaders(t *testing.T) {
	for seed := range uint64(orderSeeds) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) { playLeaderLoss(t, seed) })
	}
}

func playLeaderLoss(t *testing.T, seed uint64) {
	const nodes = 12
	random := rand.New(rand.NewPCG(seed, nodes))
	rosters := newZone(seed, nodes)
	byAddress := make(map[string]*Roster)
	for _, r := range rosters {
		byAddress[r.Self().PeerAddress] = r
	}
	leaders := rosters[0].firstNodes(zoneLeaders, rosters[0].inZone)
	now := start
	run := func(d time.Duration, dead string) {
		for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
			for _, address := range shuffledAddresses(random, byAddress) {
				if address == dead {
					continue
				}
				r := byAddress[address]
				r.RecordHeartbeat(0)
				for _, exchange := range r.NextExchanges(now, nil) {
					if other := byAddress[exchange.Address]; exchange.Address != dead {
						other.Merge(now, exchange.States)
						other.RecordContact(now, r.Self().ID)
						r.Merge(now, other.Reply(now, exchange.States))
						r.RecordContact(now, other.Self().ID)
					}
				}
			}
			for address, r := range byAddress {
				if got := len(r.Live(now)); dead == "" && got != nodes {
					t.Fatalf("%s: got %d live nodes, want all %d", address, got, nodes)
				}
			}
		}
	}
	run(20*time.Second, "")
	dead := leaders[0].PeerAddress
	run(3*time.Second, dead)
	for address, r := range byAddress {
		for _, s := range r.Live(now) {
			if address != dead && s.PeerAddress == dead {
				t.Errorf("%s: got %s live 3s after it died", address, dead)
			}
		}
	}
}

// Guards against a node that is stopped while it starts and lists itself in the directory once its first routes arrive.
func TestStoppingNodeIsNotReadyAgain(t *testing.T) {
	r := New(state("a", Starting, 1, 0), Settings{})
	r.SetPhase(Stopping)
	r.SetPhase(Ready)
	if got := r.Self().Phase; got != Stopping {
		t.Errorf("got phase %v, want %v", got, Stopping)
	}
	other := New(state("b", Ready, 1, 1), Settings{})
	other.Merge(start, []State{r.Self()})
	if got, want := sortedCallerAddresses(other, start, "r", "z"), []string{"b:1"}; !slices.Equal(got, want) {
		t.Errorf("got addresses %v, want %v", got, want)
	}
}

func anyRegion(string) bool { return true }
