package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/route"
)

// newTestBalancer returns a balancer with searchers of one service in a near and a far region, each of which accepts maxConns connections.
func newTestBalancer(t *testing.T, searchers, maxConns int, dial func(ctx context.Context, address string) (net.Conn, error)) *balancer {
	t.Helper()
	b := newBalancer(Location{Zone: "z-near", Region: "near", Regions: map[string]string{"z-near": "near", "z-far": "far"}}, dial, time.Now)
	registry := fleet.New()
	var seen []*fleet.Searcher
	for i := range searchers {
		zone := []string{"z-near", "z-far"}[i%2]
		seen = append(seen, fleet.NewSearcher(fmt.Sprintf("i-%d", i), "one", fmt.Sprintf("127.0.0.1:%d", 1+i), zone, 2, false, 1, 1))
	}
	registry.Apply(start, seen, nil, time.Time{})
	table, err := route.New(1, nil, []route.Service{route.NewService("one", maxConns)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	b.update(registry.Snapshot(), table)
	return b
}

// Guards against nodes that together open more connections to a searcher than it accepts; a searcher resets the excess. This happened when
// eight nodes started at once and each took half of the connections, since it did not know the others.
func TestLimitOfConnections(t *testing.T) {
	tests := map[string]struct {
		nodes             NodeCounts
		maxConns          int
		wantNear, wantFar int
	}{
		"before the first node counts":  {wantNear: 1, wantFar: 1},
		"discovering other nodes":       {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true, Discovering: true}, wantNear: 1, wantFar: 1},
		"discovering, many connections": {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true, Discovering: true}, maxConns: 430, wantNear: 6, wantFar: 6},
		"the only node":                 {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true}, wantNear: 13, wantFar: 11},
		"three of eight are near":       {nodes: NodeCounts{Active: 8, ByRegion: map[string]int{"near": 3, "far": 5}, SelfActive: true}, wantNear: 4, wantFar: 3},
		"callers are not routed here":   {nodes: NodeCounts{Active: 8, ByRegion: map[string]int{"near": 3, "far": 5}}, wantNear: 1, wantFar: 1},
		"many nodes":                    {nodes: NodeCounts{Active: 600, ByRegion: map[string]int{"near": 200, "far": 400}, SelfActive: true}, wantNear: 1, wantFar: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, 2, max(test.maxConns, 26), nil)
			if test.nodes.Active > 0 {
				b.setNodes(test.nodes)
			}
			for key, ep := range b.current.Load().byKey {
				want := test.wantNear
				if ep.searcher.Zone() == "z-far" {
					want = test.wantFar
				}
				if got := ep.pool.Limit(); got != want {
					t.Errorf("%s in %s: got a limit of %d, want %d", key.ID, ep.searcher.Zone(), got, want)
				}
			}
		})
	}
}

// Guards against a node that opens connections to all searchers of a large fleet at once while requests wait. It opens a few per tick,
// those to its own region first, until every searcher has one.
func TestWarmOpensFewAtOnce(t *testing.T) {
	var dialed []string
	b := newTestBalancer(t, 100, 26, func(_ context.Context, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		return nil, net.ErrClosed
	})
	b.warm(t.Context(), start, func(f func()) { f() })
	if got := len(dialed); got != maxWarmPerTick {
		t.Errorf("got %d connections opened at one tick, want %d", got, maxWarmPerTick)
	}
	for _, ep := range b.current.Load().byKey {
		if opened := !ep.nextWarmAt.IsZero(); opened && ep.searcher.Zone() != "z-near" {
			t.Errorf("%s: connection opened before all of the node's own region were opened", ep.searcher.ID())
		}
	}
	for tick := 1; tick <= 10; tick++ {
		b.warm(t.Context(), start.Add(time.Duration(tick)*100*time.Millisecond), func(f func()) { f() })
	}
	if got := len(dialed); got != 100 {
		t.Errorf("got %d connections opened after more ticks, want one for each of 100 searchers", got)
	}
}
