package fakes

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TestConnectionCap guards against a searcher that accepts more connections than its limit, including after a restart.
func TestConnectionCap(t *testing.T) {
	cases := map[string]struct {
		limit   int
		opened  int
		kept    int
		refused int
		restart bool
	}{
		"below the limit":     {limit: 3, opened: 2, kept: 2},
		"at the limit":        {limit: 3, opened: 3, kept: 3},
		"above the limit":     {limit: 3, opened: 5, kept: 3, refused: 2},
		"after a restart":     {limit: 3, opened: 3, kept: 3, restart: true},
		"above after restart": {limit: 1, opened: 2, kept: 1, refused: 1, restart: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings { return settings.WithConnections(c.limit, 0) })
			if c.restart {
				openConnections(t, s, c.limit)
				if err := s.Restart(); err != nil {
					t.Fatal(err)
				}
			}
			conns := openConnections(t, s, c.opened)
			if s.Connections() != c.kept || s.RefusedConnections() != c.refused {
				t.Errorf("got %d connections, %d refused, want %d, %d", s.Connections(), s.RefusedConnections(), c.kept, c.refused)
			}
			if s.PeakConnections() > c.limit {
				t.Errorf("got a peak of %d connections, want at most %d", s.PeakConnections(), c.limit)
			}
			for i, conn := range conns[c.kept:] {
				if err := conn.SetReadDeadline(time.Now().Add(callTimeout)); err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("connection %d: got %v, want EOF", c.kept+i, err)
				}
			}
			conns[0].Close()
			eventually(t, "release of the closed connection", func() bool { return s.Connections() == c.kept-1 })
		})
	}
}

// openConnections opens connections sequentially and waits until the searcher has accepted or refused each.
func openConnections(t *testing.T, s *Searcher, count int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, 0, count)
	for range count {
		before := s.Connections() + s.RefusedConnections()
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
		eventually(t, "accepted connection", func() bool { return s.Connections()+s.RefusedConnections() > before })
	}
	return conns
}

// TestConnectCost guards against a connection delay that is not applied, or that is applied to every request.
func TestConnectCost(t *testing.T) {
	const delay = 200 * time.Millisecond
	s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
		return serviceTime(0)(settings).WithConnections(2, delay)
	})
	client := newClient(t)
	var elapsed [2]time.Duration
	for i := range elapsed {
		start := time.Now()
		if _, err := search(client, s, searchRequest(uint64(i+1), "a", 0)); err != nil {
			t.Fatal(err)
		}
		elapsed[i] = time.Since(start)
	}
	if elapsed[0] < delay {
		t.Errorf("first request on a connection took %v, want at least %v", elapsed[0], delay)
	}
	if elapsed[1] >= elapsed[0] {
		t.Errorf("second request took %v, want less than the first with %v", elapsed[1], elapsed[0])
	}
}

// TestSilence guards against silent connections that answer or close, and against new connections that are silent as well.
func TestSilence(t *testing.T) {
	const timeout = 500 * time.Millisecond
	cases := map[string]struct {
		conns    int
		silenced int
		want     int
	}{
		"none":      {conns: 2, silenced: 0, want: 0},
		"some":      {conns: 3, silenced: 2, want: 2},
		"all":       {conns: 2, silenced: 2, want: 2},
		"more":      {conns: 1, silenced: 4, want: 1},
		"untouched": {conns: 0, silenced: 1, want: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, nil)
			openConnections(t, s, 1) // carries no requests and must not be selected
			clients := make([]*fasthttp.Client, c.conns)
			for i := range clients {
				clients[i] = newClient(t)
				if _, err := search(clients[i], s, searchRequest(uint64(i+1), "a", 0)); err != nil {
					t.Fatal(err)
				}
			}
			if got := s.SilenceConnections(c.silenced); got != c.want {
				t.Errorf("got %d connections silenced, want %d", got, c.want)
			}
			started := s.Started()
			errs := make(chan error, c.conns)
			for i, client := range clients {
				request := searchRequest(uint64(100+i), "a", 0)
				go func() {
					errs <- post(client, "http://"+s.Address()+SearchPath, request, &wire.SearchReply{}, timeout)
				}()
			}
			silent := 0
			for range clients {
				err := <-errs
				if errors.Is(err, fasthttp.ErrTimeout) {
					silent++
				} else if err != nil {
					t.Errorf("got %v, want a reply or a timeout", err)
				}
			}
			if silent != c.want {
				t.Errorf("got %d timeouts, want %d", silent, c.want)
			}
			if got, want := s.Started()-started, c.conns-c.want; got != want {
				t.Errorf("got %d runs, want %d: requests on silent connections must not run", got, want)
			}
			if _, err := search(newClient(t), s, searchRequest(200, "a", 0)); err != nil {
				t.Errorf("got %v on a new connection, want a reply", err)
			}
		})
	}
}

// TestSilenceInFlight guards against a connection that is silenced while a request runs but still delivers the reply.
func TestSilenceInFlight(t *testing.T) {
	s := startTestSearcher(t, serviceTime(longServiceTime))
	idle := newClient(t)
	if got := get(idle, "http://"+s.Address()+LoadPath, callTimeout); got.err != nil {
		t.Fatal(got.err)
	}
	first := sendSearch(t, s, searchRequest(1, "a", 0))
	eventually(t, "first run", func() bool { return s.Started() == 1 })
	if got := s.SilenceConnections(1); got != 1 {
		t.Fatalf("got %d connections silenced, want 1", got)
	}
	cancelAttempt(t, s, 1)
	eventually(t, "end of the run", func() bool { return s.state().running == 0 })
	if got := get(idle, "http://"+s.Address()+LoadPath, callTimeout); got.err != nil {
		t.Errorf("got %v on the idle connection, want the connection in flight silenced first", got.err)
	}
	select {
	case reply := <-first.replies:
		t.Errorf("got reply %v on a silent connection", reply)
	case err := <-first.errs:
		if !errors.Is(err, fasthttp.ErrTimeout) {
			t.Errorf("got %v on a silent connection, want a timeout", err)
		}
	case <-time.After(100 * time.Millisecond):
	}
	s.Close()
	select {
	case <-first.replies:
	case <-first.errs:
	}
}

// TestInjectedFaults guards against fault injection that has no effect, which would leave the checkers untested.
func TestInjectedFaults(t *testing.T) {
	const requests = 6
	wrongAttempt := func(q *wire.SearchRequest, r *wire.SearchReply) bool { return r.GetAttemptId() != q.GetAttemptId() }
	truncated := func(_ *wire.SearchRequest, r *wire.SearchReply) bool { return len(r.GetHits()) != int(r.GetHitCount()) }
	wrongSnapshot := func(q *wire.SearchRequest, r *wire.SearchReply) bool { return r.GetSnapshot() != q.GetSnapshot() }
	cases := map[string]struct {
		faults []Fault
		faulty func(*wire.SearchRequest, *wire.SearchReply) bool
		want   int
	}{
		"no attempt":           {faulty: wrongAttempt},
		"no truncation":        {faulty: truncated},
		"no snapshot":          {faulty: wrongSnapshot},
		"each attempt":         {faults: []Fault{WrongAttemptID{}}, faulty: wrongAttempt, want: 6},
		"some attempts":        {faults: []Fault{WrongAttemptID{Every: 3}}, faulty: wrongAttempt, want: 2},
		"each truncated":       {faults: []Fault{TruncateHits{Every: 1}}, faulty: truncated, want: 6},
		"some truncated":       {faults: []Fault{TruncateHits{Every: 2}}, faulty: truncated, want: 3},
		"each wrong snapshot":  {faults: []Fault{WrongSnapshot{}}, faulty: wrongSnapshot, want: 6},
		"some wrong snapshots": {faults: []Fault{WrongSnapshot{Every: 4}}, faulty: wrongSnapshot, want: 1},
		"two kinds":            {faults: []Fault{TruncateHits{Every: 6}, WrongSnapshot{Every: 2}}, faulty: wrongSnapshot, want: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, serviceTime(0))
			s.InjectFaults(c.faults...)
			client := newClient(t)
			faulty := 0
			for i := range requests {
				request := searchRequest(uint64(10+i), "a", 0)
				reply, err := search(client, s, request)
				if err != nil {
					t.Fatal(err)
				}
				if c.faulty(request, reply) {
					faulty++
				}
			}
			if faulty != c.want {
				t.Errorf("got %d faulty replies, want %d", faulty, c.want)
			}
			if len(c.faults) == 1 && s.InjectedFaults() != c.want {
				t.Errorf("got %d faults counted, want %d", s.InjectedFaults(), c.want)
			}
		})
	}
}

// TestHints guards against hint endpoints that report the actual state in a misleading mode, or a false state in the accurate mode.
func TestHints(t *testing.T) {
	cases := map[string]struct {
		mode    HintMode
		healthy bool
		leaving bool
		running uint32
		waiting uint32
	}{
		"accurate":      {mode: AccurateHints{}, healthy: true, leaving: true, running: 1, waiting: 1},
		"delayed":       {mode: DelayedHints{Lag: time.Hour}, healthy: true},
		"delay elapsed": {mode: DelayedHints{Lag: time.Nanosecond}, healthy: true, leaving: true, running: 1, waiting: 1},
		"false":         {mode: FalseHints{Running: 9, Waiting: 8}, running: 9, waiting: 8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
				return serviceTime(longServiceTime)(settings).WithSlots(1)
			})
			s.SetHints(c.mode)
			first := sendSearch(t, s, searchRequest(1, "a", 0))
			second := sendSearch(t, s, searchRequest(2, "a", 0))
			eventually(t, "one running, one waiting", func() bool { return s.state().running == 1 && s.state().waiting == 1 })
			s.Leave()
			client := newClient(t)
			health, load := &wire.SearcherHealth{}, &wire.SearcherLoad{}
			getMessage(t, client, "http://"+s.Address()+HealthPath, health)
			getMessage(t, client, "http://"+s.Address()+LoadPath, load)
			if health.GetHealthy() != c.healthy || health.GetLeaving() != c.leaving {
				t.Errorf("got healthy %v, leaving %v, want %v, %v", health.GetHealthy(), health.GetLeaving(), c.healthy, c.leaving)
			}
			if got := health.GetSnapshots(); len(got) != 1 || got[0] != testSnapshot {
				t.Errorf("got snapshots %v, want %d", got, testSnapshot)
			}
			if load.GetRunning() != c.running || load.GetWaiting() != c.waiting || load.GetSlots() != 1 {
				t.Errorf("got running %d, waiting %d, slots %d, want %d, %d, 1", load.GetRunning(), load.GetWaiting(), load.GetSlots(), c.running, c.waiting)
			}
			cancelAll(t, s)
			awaitReply(t, first)
			awaitReply(t, second)
		})
	}
}

// cancelAll cancels attempts 1 and 2 repeatedly until no attempt runs or waits.
func cancelAll(t *testing.T, s *Searcher) {
	t.Helper()
	eventually(t, "free slots", func() bool {
		cancelAttempt(t, s, 1)
		cancelAttempt(t, s, 2)
		running, waiting := s.process.Load().slots.load()
		return running == 0 && waiting == 0
	})
}

func getMessage(t *testing.T, client *fasthttp.Client, url string, into proto.Message) {
	t.Helper()
	got := get(client, url, callTimeout)
	if got.err != nil || got.status != fasthttp.StatusOK {
		t.Fatalf("got %d %v, want 200", got.status, got.err)
	}
	if err := proto.Unmarshal(got.body, into); err != nil {
		t.Fatal(err)
	}
}

// TestDelayedHintsHistory guards against delayed hints that report a state before its delay has elapsed, or never.
func TestDelayedHintsHistory(t *testing.T) {
	const lag = time.Second
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		elapsed time.Duration
		want    int
	}{
		"before the lag":      {elapsed: 500 * time.Millisecond, want: 0},
		"just before the lag": {elapsed: 1999 * time.Millisecond, want: 0},
		"after the lag":       {elapsed: 2000 * time.Millisecond, want: 1},
		"after the second":    {elapsed: 2300 * time.Millisecond, want: 2},
		"long after":          {elapsed: time.Hour, want: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &hints{}
			h.set(DelayedHints{Lag: lag})
			for i, at := range []time.Duration{0, 1000, 1300, 1600} {
				h.add(start.Add(at*time.Millisecond), state{running: i})
			}
			if got := h.report(start.Add(c.elapsed), state{running: 99}).running; got != c.want {
				t.Errorf("got state %d, want %d", got, c.want)
			}
		})
	}
}

// TestDelayedHintsConverge guards against delayed hints that keep reporting an old state because two states were recorded out of
// order.
func TestDelayedHintsConverge(t *testing.T) {
	const (
		rounds    = 3000
		recorders = 8
	)
	s := startTestSearcher(t, nil)
	for range rounds {
		s.leaving.Store(false)
		s.SetHints(DelayedHints{Lag: time.Nanosecond})
		var group conc.WaitGroup
		for range recorders {
			group.Go(s.recordState)
		}
		s.Leave()
		group.Wait()
		if !s.hints.report(time.Now(), state{}).leaving {
			t.Fatal("got the state before Leave after the lag, want leaving")
		}
	}
}
