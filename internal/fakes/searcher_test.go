package fakes

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	statusOK          = wire.SearchStatus_SEARCH_STATUS_OK
	statusShed        = wire.SearchStatus_SEARCH_STATUS_SHED
	statusLeaving     = wire.SearchStatus_SEARCH_STATUS_LEAVING
	statusGone        = wire.SearchStatus_SEARCH_STATUS_SNAPSHOT_GONE
	statusNotRun      = wire.SearchStatus_SEARCH_STATUS_NOT_RUN
	statusInterrupted = wire.SearchStatus_SEARCH_STATUS_INTERRUPTED

	// longServiceTime exceeds the duration of every test.
	longServiceTime = time.Minute
)

func serviceTime(d time.Duration) func(SearcherSettings) SearcherSettings {
	return func(s SearcherSettings) SearcherSettings { return s.WithServiceTime(Fixed{Time: d}, 1) }
}

// TestSearch guards against replies that do not echo the sub-request, and against a run state that contradicts the run log.
func TestSearch(t *testing.T) {
	cases := map[string]struct {
		settings func(SearcherSettings) SearcherSettings
		prepare  func(s *Searcher)
		request  func(r *wire.SearchRequest)
		status   wire.SearchStatus
		runs     int
		finished bool
		leaving  bool
	}{
		"served":            {status: statusOK, runs: 1, finished: true},
		"non-idempotent":    {request: func(r *wire.SearchRequest) { r.SetNonIdempotent(true) }, status: statusOK, runs: 1, finished: true},
		"deadline passed":   {request: func(r *wire.SearchRequest) { r.SetRemaining(searchRequest(0, "", -time.Second).GetRemaining()) }, status: statusNotRun},
		"deadline in slot":  {settings: serviceTime(longServiceTime), request: func(r *wire.SearchRequest) { r.SetRemaining(searchRequest(0, "", 10*time.Millisecond).GetRemaining()) }, status: statusInterrupted, runs: 1},
		"other snapshot":    {request: func(r *wire.SearchRequest) { r.SetSnapshot(testSnapshot + 1) }, status: statusGone},
		"other shard":       {request: func(r *wire.SearchRequest) { r.SetShard(testShard + 1) }, status: statusGone},
		"other collection":  {request: func(r *wire.SearchRequest) { r.SetCollection("other") }, status: statusGone},
		"snapshot dropped":  {prepare: func(s *Searcher) { s.DropSnapshot(testCollection, testSnapshot) }, status: statusGone},
		"snapshot added":    {prepare: func(s *Searcher) { s.AddShards(testCollection, 8, 1, 2) }, request: func(r *wire.SearchRequest) { r.SetSnapshot(8); r.SetShard(2) }, status: statusOK, runs: 1, finished: true},
		"leaving":           {prepare: func(s *Searcher) { s.Leave() }, status: statusLeaving, leaving: true},
		"crash and restart": {prepare: func(s *Searcher) { s.Crash(); _ = s.Restart() }, status: statusOK, runs: 1, finished: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, c.settings)
			if c.prepare != nil {
				c.prepare(s)
			}
			request := searchRequest(41, "red lamp", 0)
			if c.request != nil {
				c.request(request)
			}
			got, err := search(newClient(t), s, request)
			if err != nil {
				t.Fatal(err)
			}
			checkEcho(t, request, got)
			if got.GetStatus() != c.status || got.GetLeaving() != c.leaving {
				t.Errorf("got %v, leaving %v, want %v, %v", got.GetStatus(), got.GetLeaving(), c.status, c.leaving)
			}
			checkHits(t, request, got)
			checkRuns(t, s, request, c.runs, c.finished)
		})
	}
}

func checkEcho(t *testing.T, request *wire.SearchRequest, got *wire.SearchReply) {
	t.Helper()
	if got.GetAttemptId() != request.GetAttemptId() || got.GetSnapshot() != request.GetSnapshot() || got.GetShard() != request.GetShard() {
		t.Errorf("got attempt %d, snapshot %d, shard %d, want those of %v", got.GetAttemptId(), got.GetSnapshot(), got.GetShard(), request)
	}
}

// checkHits compares the hits with recomputed ones. Replies with a status other than OK must have none.
func checkHits(t *testing.T, request *wire.SearchRequest, got *wire.SearchReply) {
	t.Helper()
	var want []*wire.Hit
	if got.GetStatus() == statusOK {
		want = Hits(request.GetCollection(), request.GetSnapshot(), int(request.GetShard()), request.GetQuery(), int(request.GetLimit()))
	}
	if len(got.GetHits()) != len(want) || int(got.GetHitCount()) != len(want) {
		t.Fatalf("got %d hits, count %d, want %d", len(got.GetHits()), got.GetHitCount(), len(want))
	}
	for i, hit := range got.GetHits() {
		if !proto.Equal(hit, want[i]) {
			t.Errorf("hit %d: got %v, want %v", i, hit, want[i])
		}
	}
}

func checkRuns(t *testing.T, s *Searcher, request *wire.SearchRequest, count int, finished bool) {
	t.Helper()
	runs := s.Runs()
	if len(runs) != count || s.Started() != count {
		t.Fatalf("got %d runs in the log and %d counted, want %d", len(runs), s.Started(), count)
	}
	for _, run := range runs {
		if run.AttemptID() != request.GetAttemptId() || run.Query() != request.GetQuery() ||
			run.Collection() != request.GetCollection() || run.Snapshot() != request.GetSnapshot() ||
			run.Shard() != int(request.GetShard()) || run.NonIdempotent() != request.GetNonIdempotent() {
			t.Errorf("got run %+v, want that of %v", run, request)
		}
		if run.Finished() != finished {
			t.Errorf("got finished %v, want %v", run.Finished(), finished)
		}
	}
}

// pendingSearch is a sub-request in flight.
type pendingSearch struct {
	replies chan *wire.SearchReply
	errs    chan error
}

func sendSearch(t *testing.T, s *Searcher, request *wire.SearchRequest) pendingSearch {
	client := newClient(t)
	p := pendingSearch{replies: make(chan *wire.SearchReply, 1), errs: make(chan error, 1)}
	go func() {
		reply, err := search(client, s, request)
		if err != nil {
			p.errs <- err
			return
		}
		p.replies <- reply
	}()
	return p
}

// TestBusySearcher guards against a fake that runs more sub-requests than it has slots, runs one that it reports as not run, or ignores
// cancellation.
func TestBusySearcher(t *testing.T) {
	cases := map[string]struct {
		queue     int
		remaining time.Duration
		act       func(t *testing.T, s *Searcher)
		running   wire.SearchStatus
		second    wire.SearchStatus
		runs      int
		shed      int
	}{
		"shed":                  {queue: 0, act: func(t *testing.T, s *Searcher) { cancelAttempt(t, s, 1) }, running: statusInterrupted, second: statusShed, runs: 1, shed: 1},
		"deadline while queued": {queue: 1, remaining: 20 * time.Millisecond, act: func(t *testing.T, s *Searcher) { time.Sleep(40 * time.Millisecond); cancelAttempt(t, s, 1) }, running: statusInterrupted, second: statusNotRun, runs: 1},
		"cancel while queued":   {queue: 1, act: func(t *testing.T, s *Searcher) { cancelAttempt(t, s, 2); awaitWaiting(t, s, 0); cancelAttempt(t, s, 1) }, running: statusInterrupted, second: statusNotRun, runs: 1},
		"cancel of the running": {queue: 1, act: func(t *testing.T, s *Searcher) { cancelAttempt(t, s, 1); awaitWaiting(t, s, 0); cancelAttempt(t, s, 2) }, running: statusInterrupted, second: statusInterrupted, runs: 2},
		"cancel of another": {queue: 1, act: func(t *testing.T, s *Searcher) {
			cancelAttempt(t, s, 99)
			cancelAttempt(t, s, 1)
			awaitWaiting(t, s, 0)
			cancelAttempt(t, s, 2)
		}, running: statusInterrupted, second: statusInterrupted, runs: 2},
		"leave while queued": {queue: 1, act: func(t *testing.T, s *Searcher) {
			s.Leave()
			cancelAttempt(t, s, 1)
			awaitWaiting(t, s, 0)
			cancelAttempt(t, s, 2)
		}, running: statusInterrupted, second: statusInterrupted, runs: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
				return serviceTime(longServiceTime)(settings).WithSlots(1).WithQueue(c.queue)
			})
			first := sendSearch(t, s, searchRequest(1, "first", 0))
			eventually(t, "first run", func() bool { return s.Started() == 1 })
			second := sendSearch(t, s, searchRequest(2, "second", c.remaining))
			eventually(t, "second in the queue or answered", func() bool { return s.state().waiting == 1 || len(second.replies) == 1 })
			c.act(t, s)
			if got := awaitReply(t, first).GetStatus(); got != c.running {
				t.Errorf("first: got %v, want %v", got, c.running)
			}
			if got := awaitReply(t, second).GetStatus(); got != c.second {
				t.Errorf("second: got %v, want %v", got, c.second)
			}
			if s.Started() != c.runs || s.Shed() != c.shed {
				t.Errorf("got %d runs and %d shed, want %d and %d", s.Started(), s.Shed(), c.runs, c.shed)
			}
			if running, waiting := s.process.Load().slots.load(); running != 0 || waiting != 0 {
				t.Errorf("got %d slots in use and %d waiting at the end, want none", running, waiting)
			}
		})
	}
}

func awaitReply(t *testing.T, p pendingSearch) *wire.SearchReply {
	t.Helper()
	select {
	case reply := <-p.replies:
		return reply
	case err := <-p.errs:
		t.Fatal(err)
	}
	return nil
}

func awaitWaiting(t *testing.T, s *Searcher, count int) {
	t.Helper()
	eventually(t, "length of the queue", func() bool { return s.state().waiting == count })
}

func cancelAttempt(t *testing.T, s *Searcher, id uint64) {
	t.Helper()
	message := wire.SearcherCancel_builder{AttemptId: id}.Build()
	if err := post(newClient(t), "http://"+s.Address()+CancelPath, message, nil, callTimeout); err != nil {
		t.Fatal(err)
	}
}

// TestCrash guards against a crash that sends a reply, leaves the listener open, or is indistinguishable from a graceful shutdown.
func TestCrash(t *testing.T) {
	cases := map[string]struct {
		query   string
		restart time.Duration
		crashes bool
	}{
		"marked":           {query: "a poison b", crashes: true},
		"not marked":       {query: "a b"},
		"marked, restarts": {query: "poison", restart: 10 * time.Millisecond, crashes: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
				return settings.WithCrash("poison", c.restart).WithSlots(2)
			})
			client := newClient(t)
			_, err := search(client, s, searchRequest(1, c.query, 0))
			if (err != nil) != c.crashes {
				t.Fatalf("got error %v, want one: %v", err, c.crashes)
			}
			if runs := s.Runs(); len(runs) != 1 || runs[0].Finished() == c.crashes {
				t.Errorf("got runs %+v, want one, finished: %v", runs, !c.crashes)
			}
			if c.crashes && c.restart == 0 {
				if _, err := search(client, s, searchRequest(2, "a", 0)); err == nil {
					t.Error("got a reply from a crashed searcher, want an error")
				}
				return
			}
			eventually(t, "reply after the crash", func() bool {
				reply, err := search(client, s, searchRequest(3, "a", 0))
				return err == nil && reply.GetStatus() == statusOK
			})
		})
	}
}

// TestCrashAnswersNothing guards against a crash in which requests in flight receive an empty reply instead of a connection reset.
func TestCrashAnswersNothing(t *testing.T) {
	const requests = 50
	s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
		return serviceTime(longServiceTime)(settings).WithSlots(requests/2).WithQueue(requests).WithConnections(requests, 0)
	})
	var sent []pendingSearch
	for i := range requests {
		sent = append(sent, sendSearch(t, s, searchRequest(uint64(i+1), "a", 0)))
	}
	eventually(t, "requests in flight", func() bool { return s.state().running+s.state().waiting == requests })
	s.Crash()
	for _, p := range sent {
		select {
		case reply := <-p.replies:
			t.Errorf("got reply %v from a crashed searcher, want an error", reply)
		case <-p.errs:
		}
	}
}

// TestRunStateIsTrue guards against replies whose run state contradicts the run log, and against slots that leak or are granted twice,
// when deadlines, cancellations and a full queue coincide.
func TestRunStateIsTrue(t *testing.T) {
	const (
		clients   = 12
		perClient = 25
		slots     = 2
	)
	s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
		return settings.WithServiceTime(Exponential{Mean: time.Millisecond}, 5).WithSlots(slots).WithQueue(6)
	})
	statuses := make(chan map[uint64]wire.SearchStatus, clients)
	var group conc.WaitGroup
	for c := range clients {
		client := newClient(t)
		group.Go(func() { statuses <- searchAndCancel(t, s, client, uint64(c*perClient+1), perClient) })
	}
	group.Wait()
	close(statuses)
	ran := make(map[uint64]int)
	for _, run := range s.Runs() {
		ran[run.AttemptID()]++
	}
	answered := 0
	for part := range statuses {
		for id, status := range part {
			answered++
			want := 0
			if status == statusOK || status == statusInterrupted {
				want = 1
			}
			if ran[id] != want {
				t.Errorf("attempt %d with status %v: got %d runs, want %d", id, status, ran[id], want)
			}
		}
	}
	if answered != clients*perClient {
		t.Errorf("got %d answers, want %d", answered, clients*perClient)
	}
	if running, waiting := s.process.Load().slots.load(); running != 0 || waiting != 0 {
		t.Errorf("got %d slots in use and %d waiting at the end, want none", running, waiting)
	}
}

// searchAndCancel sends sub-requests sequentially with short deadlines, and cancels attempts of the next client.
func searchAndCancel(t *testing.T, s *Searcher, client *fasthttp.Client, first uint64, count int) map[uint64]wire.SearchStatus {
	statuses := make(map[uint64]wire.SearchStatus, count)
	for i := range count {
		id := first + uint64(i)
		remaining := time.Duration(i%5) * time.Millisecond
		reply, err := search(client, s, searchRequest(id, "a", remaining))
		if err != nil {
			t.Error(err)
			return statuses
		}
		statuses[id] = reply.GetStatus()
		if running, _ := s.process.Load().slots.load(); running > s.Settings().Slots() {
			t.Errorf("got %d slots in use, want at most %d", running, s.Settings().Slots())
		}
		// The id range of the next client begins count ids later, so this is its attempt with the same index.
		other := wire.SearcherCancel_builder{AttemptId: id + uint64(count)}.Build()
		if err := post(client, "http://"+s.Address()+CancelPath, other, nil, callTimeout); err != nil {
			t.Error(err)
		}
	}
	return statuses
}

// TestGrantAfterDeadline guards against a sub-request that runs although its deadline passed before it acquired a slot.
func TestGrantAfterDeadline(t *testing.T) {
	cases := map[string]struct {
		deadline deadline
		want     bool
	}{
		"no deadline": {want: true},
		"in time":     {deadline: deadline{set: true, at: time.Now().Add(time.Hour)}, want: true},
		"passed":      {deadline: deadline{set: true, at: time.Now().Add(-time.Second)}, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, nil)
			p := s.process.Load()
			a := newAttempt(1)
			if !p.slots.acquire(a) {
				t.Fatal("got no slot from an idle searcher")
			}
			if got := p.waitForSlot(a, c.deadline); got != c.want {
				t.Errorf("got slot taken %v, want %v", got, c.want)
			}
			p.slots.abandon(a)
			if running, _ := p.slots.load(); running != 0 {
				t.Errorf("got %d slots in use at the end, want none", running)
			}
		})
	}
}

// TestSearcherClosed guards against a closed searcher that serves again.
func TestSearcherClosed(t *testing.T) {
	cases := map[string]func(s *Searcher){
		"closed":                    func(s *Searcher) {},
		"closed twice":              func(s *Searcher) { s.Close() },
		"crashed after the close":   func(s *Searcher) { s.Crash() },
		"restarted after the close": func(s *Searcher) { _ = s.Restart() },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			s := startTestSearcher(t, func(settings SearcherSettings) SearcherSettings {
				return settings.WithCrash("poison", time.Millisecond)
			})
			s.Close()
			act(s)
			if _, err := search(newClient(t), s, searchRequest(1, "a", 0)); err == nil {
				t.Error("got a reply from a closed searcher, want an error")
			}
			if err := s.Restart(); err == nil {
				t.Error("got a restart of a closed searcher, want an error")
			}
		})
	}
}
