package owner

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against new work for a searcher whose replies alone say that it is leaving, while its health endpoint denies it.
func TestLeavingByReply(t *testing.T) {
	w := newWorld(t, nil)
	w.run(t, testBatch("q", 1))
	w.searcher.SetHints(fakes.FalseHints{Healthy: true})
	w.searcher.Leave()
	if got, want := w.run(t, testBatch("q", 2))[2].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
		t.Fatalf("first request after the signal: got %v, want %v", got, want)
	}
	refused := w.searcher.LastRefused()
	for attempt := uint64(3); attempt < 8; attempt++ {
		if got, want := w.run(t, testBatch("q", attempt))[attempt].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if got := w.searcher.LastRefused(); !got.Equal(refused) {
		t.Errorf("got a request at the searcher at %v, want none after %v", got, refused)
	}
}

// Guards against a first request to a searcher that was leaving before this node became its owner.
func TestNewOwnerAsksHealthFirst(t *testing.T) {
	w := newWorld(t, nil)
	w.searcher.Leave()
	if got, want := w.run(t, testBatch("q", 1))[1].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := w.searcher.LastRefused(); !got.IsZero() {
		t.Errorf("got a request at the leaving searcher at %v, want none", got)
	}
}

// Guards against a leaving mark that ends while the process still runs, and against one that outlives it.
func TestLeavingMarkFollowsTheProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStation(now, stationKey{}, shards.NewSearcher("s", "127.0.0.1:1", "r", "a", 2, 25), 10, Settings{}, time.Now)
	s.noteLeaving(now)
	if !s.leavingNow(now.Add(5 * time.Minute)) {
		t.Error("got new work 5 min after the signal, want none")
	}
	s.noteGone()
	if s.leavingNow(now.Add(time.Second)) {
		t.Error("got no work for a new process at the address, want some")
	}
}
