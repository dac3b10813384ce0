package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/epoch"
	"github.com/fireflylanding/fireflylanding/internal/fleet"
	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/pool"
	"github.com/fireflylanding/fireflylanding/internal/route"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// placed is a searcher of the service one in a zone. The zones near-a and near-b are in the region near, far-a is in far.
type placed struct {
	id, zone string
	leaving  bool
}

// homeFleet is an engine with its searchers, which accept connections but reply to nothing.
type homeFleet struct {
	t        *testing.T
	engine   *Engine
	registry *fleet.Registry
	revision epoch.Revision
	policy   route.Policy
	table    *route.Table
}

func newHomeFleet(t *testing.T, searchers []placed, homes route.Homes) *homeFleet {
	t.Helper()
	e := newEngine(time.Now)
	e.codec = plainCodec{}
	regions := map[string]string{"near-a": "near", "near-b": "near", "far-a": "far"}
	e.balancer = newBalancer(Location{Zone: "near-a", Region: "near", Regions: regions}, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			buffer := make([]byte, 1024)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
			}
		}()
		return near, nil
	}, time.Now)
	f := &homeFleet{t: t, engine: e, registry: fleet.New(), policy: route.Policy{Idempotent: true, Timeout: 300 * time.Millisecond, Goal: 200 * time.Millisecond, MaxAttempts: 8}}
	f.register(searchers...)
	f.restrict(homes)
	return f
}

// register registers searchers again, and puts that in force if there is a table.
func (f *homeFleet) register(searchers ...placed) {
	f.t.Helper()
	var seen []*fleet.Searcher
	for i, s := range searchers {
		f.revision++
		address := fmt.Sprintf("127.0.0.1:%d", 1+i)
		seen = append(seen, fleet.NewSearcher(s.id, "one", address, s.zone, 2, s.leaving, 1, f.revision))
	}
	f.registry.Apply(time.Now(), seen, nil, time.Time{})
	f.apply()
}

// restrict puts a table with one route in force.
func (f *homeFleet) restrict(homes route.Homes) {
	f.t.Helper()
	f.policy.Homes = homes
	r, err := route.NewRoute("r", "h", "/r/", route.Single{Service: "one"}, f.policy)
	if err != nil {
		f.t.Fatal(err)
	}
	if f.table, err = route.New(1, []*route.Route{r}, []route.Service{route.NewService("one", 26)}, route.Limits{}); err != nil {
		f.t.Fatal(err)
	}
	f.apply()
}

func (f *homeFleet) evacuate(zones ...string) {
	f.registry.SetEvacuated(zones)
	f.apply()
}

func (f *homeFleet) apply() {
	if f.table != nil {
		f.engine.Update(f.registry.Snapshot(), f.table)
	}
}

func (f *homeFleet) request() *Request {
	return &Request{ID: "1", Route: f.table.Routes()[0], Head: []byte("GET /r/ HTTP/1.1\r\n"), CallerGone: func() bool { return false }}
}

func (f *homeFleet) endpoint(id string) *endpoint {
	f.t.Helper()
	for key, ep := range f.engine.balancer.current.Load().byKey {
		if key.ID == id {
			return ep
		}
	}
	f.t.Fatalf("got no searcher %s", id)
	return nil
}

// spread are two searchers in each zone.
var spread = []placed{{id: "a1", zone: "near-a"}, {id: "a2", zone: "near-a"}, {id: "b1", zone: "near-b"}, {id: "b2", zone: "near-b"},
	{id: "f1", zone: "far-a"}, {id: "f2", zone: "far-a"}}

// Guards against an attempt, a hedge or a retry at a searcher outside the home regions or in an evacuated zone, also when all others have been
// tried, and against searchers within them that are never tried.
func TestAttemptsStayInPlace(t *testing.T) {
	tests := map[string]struct {
		homes     route.Homes
		evacuated []string
		want      map[string]int
	}{
		"anywhere":            {want: map[string]int{"near-a": 2, "near-b": 2, "far-a": 2}},
		"own region":          {homes: route.NewHomes("near"), want: map[string]int{"near-a": 2, "near-b": 2}},
		"another region":      {homes: route.NewHomes("far"), want: map[string]int{"far-a": 2}},
		"both regions":        {homes: route.NewHomes("far", "near"), want: map[string]int{"near-a": 2, "near-b": 2, "far-a": 2}},
		"own zone evacuated":  {evacuated: []string{"near-a"}, want: map[string]int{"near-b": 2, "far-a": 2}},
		"home zone evacuated": {homes: route.NewHomes("near"), evacuated: []string{"near-a"}, want: map[string]int{"near-b": 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newHomeFleet(t, spread, test.homes)
			fleet.evacuate(test.evacuated...)
			f := newFanout(fleet.engine, time.Now(), fleet.request())
			defer f.cancel()
			p := &f.parts[0]
			f.mu.Lock()
			defer f.mu.Unlock()
			for range spread {
				f.startAttempt(time.Now(), p, wire.Reason_REASON_SEARCHER_SHED)
				f.hedge(time.Now(), p)
			}
			got := make(map[string]int)
			for _, ep := range p.tried {
				got[ep.searcher.Zone()]++
			}
			for _, zone := range []string{"near-a", "near-b", "far-a"} {
				if got[zone] != test.want[zone] {
					t.Errorf("zone %s: got %d attempts, want %d", zone, got[zone], test.want[zone])
				}
			}
		})
	}
}

// Guards against requests that no searcher may run and that are sent anyway, that wait, or whose refusal has another cause than the operator
// set or does not state that they have not run.
func TestRequestWithoutPermittedSearcher(t *testing.T) {
	near, far := placed{id: "a1", zone: "near-a"}, placed{id: "f1", zone: "far-a"}
	other, unknown := placed{id: "b1", zone: "near-b"}, placed{id: "u1", zone: "unlisted"}
	tests := map[string]struct {
		searchers []placed
		homes     route.Homes
		evacuated []string
		// want is why the request is refused before it is sent, if it is. One that is sent gets no reply.
		want wire.Reason
	}{
		"home region without searchers":          {searchers: []placed{near}, homes: route.NewHomes("far"), want: wire.Reason_REASON_HOME_REGION},
		"unknown region":                         {searchers: []placed{near, far}, homes: route.NewHomes("nowhere"), want: wire.Reason_REASON_HOME_REGION},
		"no valid name":                          {searchers: []placed{near, far}, homes: route.NewHomes(), want: wire.Reason_REASON_HOME_REGION},
		"no searcher at all, restricted":         {homes: route.NewHomes("far"), want: wire.Reason_REASON_HOME_REGION},
		"no searcher at all":                     {want: wire.Reason_REASON_NO_REPLICA},
		"leaving":                                {searchers: []placed{{id: "a1", zone: "near-a", leaving: true}}, want: wire.Reason_REASON_NO_REPLICA},
		"searcher in an unlisted zone":           {searchers: []placed{unknown}, homes: route.NewHomes("far"), want: wire.Reason_REASON_HOME_REGION},
		"empty name, searcher in unlisted zone":  {searchers: []placed{unknown}, homes: route.NewHomes(""), want: wire.Reason_REASON_HOME_REGION},
		"evacuated":                              {searchers: []placed{near}, evacuated: []string{"near-a"}, want: wire.Reason_REASON_ZONE_EVACUATED},
		"all zones evacuated":                    {searchers: []placed{near, far}, evacuated: []string{"near-a", "far-a"}, want: wire.Reason_REASON_ZONE_EVACUATED},
		"home evacuated, others elsewhere":       {searchers: []placed{near, far}, homes: route.NewHomes("near"), evacuated: []string{"near-a"}, want: wire.Reason_REASON_ZONE_EVACUATED},
		"no home, another region evacuated":      {searchers: []placed{near}, homes: route.NewHomes("far"), evacuated: []string{"near-a"}, want: wire.Reason_REASON_HOME_REGION},
		"evacuated zone without its searchers":   {searchers: []placed{near}, homes: route.NewHomes("far"), evacuated: []string{"far-a"}, want: wire.Reason_REASON_HOME_REGION},
		"one home zone of two evacuated, leaves": {searchers: []placed{near, {id: "b1", zone: "near-b", leaving: true}}, evacuated: []string{"near-a"}, want: wire.Reason_REASON_ZONE_EVACUATED},
		"other home zone":                        {searchers: []placed{near, other}, homes: route.NewHomes("near"), evacuated: []string{"near-a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := newHomeFleet(t, test.searchers, test.homes)
			fleet.evacuate(test.evacuated...)
			sent := test.want == wire.Reason_REASON_UNSPECIFIED
			refused, ok := fleet.engine.Serve(time.Now(), fleet.request()).(Refused)
			if !ok || (!sent && refused.Reason != test.want) {
				t.Fatalf("got %+v, want a refusal for %v", refused, test.want)
			}
			if got := fleet.engine.attempts.Count() > 0; got != sent || refused.NotRun == sent {
				t.Errorf("got attempts %v and not run %v, want %v and %v", got, refused.NotRun, sent, !sent)
			}
		})
	}
}

// Guards against a query without a permitted searcher that waits for admission, or whose refusal names the lack of room.
func TestUnservableQueryDoesNotWait(t *testing.T) {
	f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}}, route.Homes{})
	f.policy.Homes = route.NewHomes("far")
	r, err := route.NewRoute("q", "h", "/q/", route.Gather{Shards: []string{"one"}, Top: 1, MinCoverage: 1}, f.policy)
	if err != nil {
		t.Fatal(err)
	}
	request := f.request()
	request.Route = r
	saturate(newFanout(f.engine, start, request))
	if got, ok := f.engine.Serve(time.Now(), request).(Refused); !ok || got.Reason != wire.Reason_REASON_HOME_REGION || !got.NotRun {
		t.Errorf("got %+v, want a refusal for the home region, not run", got)
	}
}

// Guards against a request that waits for a connection and is sent, as soon as there is one, to a searcher that it must not reach any more: its
// zone is evacuated, the searcher turned out to be in another region, or the route got home regions. Idle connections to an evacuated zone must
// not stay open.
func TestWaitingRequestIsNotSentElsewhere(t *testing.T) {
	home, moved := []placed{{id: "a1", zone: "near-a"}}, []placed{{id: "a1", zone: "far-a"}}
	tests := map[string]struct {
		change func(f *homeFleet)
		// want is why the request is not sent, if any.
		want wire.Reason
	}{
		"zone evacuated":               {change: func(f *homeFleet) { f.evacuate("near-a") }, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"another zone evacuated":       {change: func(f *homeFleet) { f.evacuate("near-b") }},
		"searcher in another region":   {change: func(f *homeFleet) { f.register(moved...) }, want: wire.Reason_REASON_SEARCHER_LEAVING},
		"searcher registers again":     {change: func(f *homeFleet) { f.register(home...) }},
		"route restricted elsewhere":   {change: func(f *homeFleet) { f.restrict(route.NewHomes("far")) }, want: wire.Reason_REASON_HOME_REGION},
		"route restricted to the same": {change: func(f *homeFleet) { f.restrict(route.NewHomes("near")) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newHomeFleet(t, home, route.Homes{})
			request, ep := f.request(), f.endpoint("a1")
			ep.pool.SetLimit(1)
			conn, err := ep.pool.Get(t.Context(), time.Now(), 0)
			if err != nil {
				t.Fatal(err)
			}
			a := &attempt{part: &part{service: "one"}, endpoint: ep, sentAt: time.Now(), deadline: time.Now().Add(200 * time.Millisecond)}
			a.cutoff = a.deadline
			ended := make(chan result, 1)
			go func() { ended <- f.engine.perform(t.Context(), a, request) }()
			time.Sleep(20 * time.Millisecond)
			test.change(f)
			ep.pool.Put(conn, time.Now(), 0)
			r := <-ended
			if held := test.want != wire.Reason_REASON_UNSPECIFIED; r.sent == held || (held && r.reason != test.want) {
				t.Errorf("got sent %v and reason %v, want sent %v and reason %v", r.sent, r.reason, !held, test.want)
			}
		})
	}
}

// Guards against a retry outside the home regions that the route got after the request arrived, and against requests to a searcher that
// registered in another region.
func TestChangedPlacementIsInForceAtOnce(t *testing.T) {
	tests := map[string]struct {
		change func(f *homeFleet)
		want   string
	}{
		"route restricted":     {change: func(f *homeFleet) { f.restrict(route.NewHomes("far")) }, want: "f1"},
		"searcher moved in":    {change: func(f *homeFleet) { f.register(placed{"a1", "far-a", false}, placed{"f1", "near-b", false}) }, want: "a1"},
		"searcher moved there": {change: func(f *homeFleet) { f.register(placed{"a1", "near-b", false}, placed{"f1", "far-a", false}) }, want: "f1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}, {id: "f1", zone: "far-a"}}, route.NewHomes("near"))
			run := newFanout(f.engine, time.Now(), f.request())
			defer run.cancel()
			if name != "route restricted" {
				f.restrict(route.NewHomes("far"))
			}
			test.change(f)
			chosen, ok := f.engine.balancer.choose(time.Now(), run.demand(time.Now(), &run.parts[0]))
			if !ok || chosen.endpoint.searcher.ID() != test.want {
				t.Errorf("got %+v, want searcher %s", chosen, test.want)
			}
		})
	}
}

// Guards against requests that wait for a connection when their zone is evacuated, and that use up their attempts at other searchers of the
// zone, because they look for another searcher before the evacuation is in force.
func TestWaitingRequestsLeaveEvacuatedZoneAtOnce(t *testing.T) {
	const searchers = 100
	var zone []placed
	for i := range searchers {
		zone = append(zone, placed{id: fmt.Sprintf("a%d", i), zone: "near-a"})
	}
	f := newHomeFleet(t, zone, route.Homes{})
	f.policy.Idempotent = false
	f.restrict(route.Homes{})
	for _, ep := range f.engine.balancer.current.Load().byKey {
		if _, err := ep.pool.Get(t.Context(), time.Now(), 0); err != nil {
			t.Fatal(err)
		}
	}
	var requests conc.WaitGroup
	for range searchers {
		requests.Go(func() { f.engine.Serve(time.Now(), f.request()) })
	}
	// All requests must wait for a connection before the evacuation begins.
	for deadline := time.Now().Add(10 * time.Second); f.engine.attempts.Count() < searchers; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d requests that wait, want %d", f.engine.attempts.Count(), searchers)
		}
	}
	f.registry.SetEvacuated([]string{"near-a"})
	f.register(append(zone, placed{id: "b", zone: "near-b"})...)
	requests.Wait()
	if got, want := f.engine.attempts.Count(), int64(2*searchers); got != want {
		t.Errorf("got %d attempts of %d requests, want one before and one after the evacuation: %d", got, searchers, want)
	}
}

// Guards against connections to an evacuated zone that stay open, and against a searcher that is used in the pause for which it asked, because
// an evacuation ended meanwhile.
func TestEvacuationEndsConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}}, route.Homes{})
	before := f.endpoint("a1")
	if err := before.pool.Probe(ctx); err != nil || !before.pool.HasLiveConn() {
		t.Fatalf("got error %v, want an idle connection", err)
	}
	before.replaced.Store(true)
	before.pacer.Pause(time.Now(), time.Minute)
	before.pacer.Observe(time.Now(), time.Now(), pace.PerSecond(5))
	f.evacuate("near-a")
	if before.pool.HasLiveConn() {
		t.Error("got an idle connection to the evacuated zone, want none")
	}
	if _, err := f.endpoint("a1").pool.Get(ctx, time.Now(), 0); err != pool.ErrClosed {
		t.Errorf("got error %v, want %v", err, pool.ErrClosed)
	}
	f.evacuate()
	after := f.endpoint("a1")
	if _, err := after.pool.Get(ctx, time.Now(), 0); err != nil {
		t.Errorf("after the end: got error %v, want a connection", err)
	}
	if !after.replaced.Load() {
		t.Error("after the end: got an address used again at which another process answers, want it left out")
	}
	if !after.pacer.Paused(time.Now()) || !after.pacer.Limit().Named() {
		t.Error("after the end: got the pause or the limit of the searcher forgotten, want them kept")
	}
}

// Guards against a node that takes its own lost links for the end of a searcher, or misses that end, because it checks searchers to which it
// opens no connections.
func TestCrossCheckSkipsEvacuatedSearchers(t *testing.T) {
	f := newHomeFleet(t, spread, route.Homes{})
	f.evacuate("near-a", "near-b")
	for _, ep := range f.engine.balancer.others(f.endpoint("f1"), len(spread)) {
		if ep.searcher.Leaving() {
			t.Errorf("got searcher %s of an evacuated zone, want none", ep.searcher.ID())
		}
	}
}

// Guards against a stranded node that accepts requests since it still reaches searchers outside their home regions.
func TestReachOutsideHomesDoesNotCount(t *testing.T) {
	f := newHomeFleet(t, []placed{{id: "a1", zone: "near-a"}, {id: "f1", zone: "far-a"}}, route.NewHomes("near"))
	f.endpoint("f1").link.Reached(time.Now())
	run := newFanout(f.engine, time.Now(), f.request())
	defer run.cancel()
	if run.servable(time.Now()) {
		t.Error("got a request servable by a searcher outside its home region, want not")
	}
	f.endpoint("a1").link.Reached(time.Now())
	if !run.servable(time.Now()) {
		t.Error("got a request not servable though a searcher of its home region is reached, want servable")
	}
}
