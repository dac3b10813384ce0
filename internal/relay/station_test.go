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

// gridOf returns a grid with searchers of one service in a near and a far region, each of which accepts maxConns connections.
func gridOf(t *testing.T, searchers, maxConns int, dial func(ctx context.Context, address string) (net.Conn, error)) *grid {
	t.Helper()
	g := newGrid(Location{Zone: "z-near", Region: "near", Regions: map[string]string{"z-near": "near", "z-far": "far"}}, dial)
	registry := fleet.New()
	var seen []*fleet.Searcher
	for i := range searchers {
		zone := []string{"z-near", "z-far"}[i%2]
		seen = append(seen, fleet.NewSearcher(fmt.Sprintf("i-%d", i), "one", fmt.Sprintf("127.0.0.1:%d", 1+i), zone, 2, false, 1, 1))
	}
	registry.Apply(start, seen, nil)
	table, err := route.New(1, nil, []route.Service{route.NewService("one", maxConns)}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	g.update(registry.Snapshot(), table)
	return g
}

// Guards against nodes that together open more connections to a searcher than it accepts, which it then resets: each of eight nodes that
// started at once took half of them, since it knew of no other.
func TestLimitOfConnections(t *testing.T) {
	tests := map[string]struct {
		nodes             NodeCounts
		maxConns          int
		wantNear, wantFar int
	}{
		"before the first look":   {wantNear: 1, wantFar: 1},
		"knows no other yet":      {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true, Discovering: true}, wantNear: 1, wantFar: 1},
		"knows no other, many":    {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true, Discovering: true}, maxConns: 430, wantNear: 6, wantFar: 6},
		"really alone":            {nodes: NodeCounts{Active: 1, ByRegion: map[string]int{"near": 1}, SelfActive: true}, wantNear: 13, wantFar: 11},
		"three of eight are near": {nodes: NodeCounts{Active: 8, ByRegion: map[string]int{"near": 3, "far": 5}, SelfActive: true}, wantNear: 4, wantFar: 3},
		"callers are not sent":    {nodes: NodeCounts{Active: 8, ByRegion: map[string]int{"near": 3, "far": 5}}, wantNear: 1, wantFar: 1},
		"many nodes":              {nodes: NodeCounts{Active: 600, ByRegion: map[string]int{"near": 200, "far": 400}, SelfActive: true}, wantNear: 1, wantFar: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gridOf(t, 2, max(test.maxConns, 26), nil)
			if test.nodes.Active > 0 {
				g.share(test.nodes)
			}
			for key, s := range g.current.Load().byKey {
				want := test.wantNear
				if s.searcher.Zone() == "z-far" {
					want = test.wantFar
				}
				if got := s.pool.Limit(); got != want {
					t.Errorf("%s in %s: got a limit of %d, want %d", key.ID, s.searcher.Zone(), got, want)
				}
			}
		})
	}
}

// Guards against a node that opens connections to all searchers of a large fleet at once while requests wait.
func TestWarmOpensFewAtOnce(t *testing.T) {
	var dialed []string
	g := gridOf(t, 100, 26, func(_ context.Context, address string) (net.Conn, error) {
		dialed = append(dialed, address)
		return nil, net.ErrClosed
	})
	g.warm(t.Context(), start, func(f func()) { f() })
	if got := len(dialed); got != warmAtOnce {
		t.Errorf("got %d connections opened at one tick, want %d", got, warmAtOnce)
	}
	for _, s := range g.current.Load().byKey {
		if opened := !s.warmAt.IsZero(); opened && s.searcher.Zone() != "z-near" {
			t.Errorf("%s: opened before those of the own region", s.searcher.ID())
		}
	}
	for tick := 1; tick <= 10; tick++ {
		g.warm(t.Context(), start.Add(time.Duration(tick)*100*time.Millisecond), func(f func()) { f() })
	}
	if got := len(dialed); got != 100 {
		t.Errorf("got %d connections opened after more ticks, want one to each of 100 searchers", got)
	}
}
