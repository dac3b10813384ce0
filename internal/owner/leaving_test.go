package owner

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// TestLeavingByReply guards against new work for a searcher that reports only in its replies that it is leaving, while its health endpoint
// reports the opposite.
func TestLeavingByReply(t *testing.T) {
	h := newHarness(t, nil)
	h.run(t, testBatch("q", 1))
	h.searcher.SetHints(fakes.FalseHints{Healthy: true})
	h.searcher.Leave()
	if got, want := h.run(t, testBatch("q", 2))[2].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
		t.Fatalf("first request after the signal: got %v, want %v", got, want)
	}
	refused := h.searcher.LastRefused()
	for attempt := uint64(3); attempt < 8; attempt++ {
		if got, want := h.run(t, testBatch("q", attempt))[attempt].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if got := h.searcher.LastRefused(); !got.Equal(refused) {
		t.Errorf("got a request at the searcher at %v, want none after %v", got, refused)
	}
}

// TestNewOwnerAsksHealthFirst guards against search requests to a searcher that was leaving before this node became its owner.
func TestNewOwnerAsksHealthFirst(t *testing.T) {
	h := newHarness(t, nil)
	h.searcher.Leave()
	if got, want := h.run(t, testBatch("q", 1))[1].GetReason(), wire.Reason_REASON_SEARCHER_LEAVING; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := h.searcher.LastRefused(); !got.IsZero() {
		t.Errorf("got a request at the leaving searcher at %v, want none", got)
	}
}

// TestLeavingMarkFollowsTheProcess guards against a leaving mark that ends while the process still runs, and against one that outlives the
// process.
func TestLeavingMarkFollowsTheProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	u := newUpstream(now, upstreamKey{}, shards.NewSearcher("s", "127.0.0.1:1", "r", "a", 2, 25), 10, Settings{}, time.Now, newReplyReader())
	u.markLeaving(now)
	if !u.isLeaving(now.Add(5 * time.Minute)) {
		t.Error("got new work 5 min after the signal, want none")
	}
	u.clearLeaving()
	if u.isLeaving(now.Add(time.Second)) {
		t.Error("got no work for a new process at the address, want some")
	}
}
