package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/broken"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/view"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against replies without end of many searchers at once that take the memory of the node or the time of the others' replies.
func TestEndlessReplies(t *testing.T) {
	const (
		searchers = 60
		// maxGrowth is the greatest growth of the heap with its garbage: half of the memory of a node.
		maxGrowth = 284 << 20 / 2
		rounds    = 5
	)
	for name, endless := range broken.Endless(maxReplyBytes) {
		t.Run(name, func(t *testing.T) {
			h, sound := newRawSearcher(t)
			faulty, err := broken.Start(func(request *fasthttp.Request) broken.Answer {
				if string(request.URI().Path()) == healthPath {
					return soundAnswer("")
				}
				return endless
			})
			if err != nil {
				t.Fatal(err)
			}
			defer faulty.Close()
			h.addSearchers(t, sound.Address(), faulty.Address(), searchers)
			stop := broken.PeakHeap()
			for round := range rounds {
				batch := testBatch("q", uint64(round*(searchers+1)+1))
				for i := range searchers {
					batch.SetItems(append(batch.GetItems(), wire.SubRequest_builder{AttemptId: uint64(round*(searchers+1) + i + 2), Searcher: faultySearcher(i)}.Build()))
				}
				replies := h.run(t, proto.Clone(batch).(*wire.Batch))
				first := batch.GetItems()[0].GetAttemptId()
				for attempt, reply := range replies {
					if failed := reply.GetReason() != wire.Reason_REASON_UNSPECIFIED; failed == (attempt == first) {
						t.Errorf("attempt %d: got %v, want a failure of all but attempt %d", attempt, reply.GetReason(), first)
					}
				}
			}
			if got := stop(); got > maxGrowth {
				t.Errorf("got %d MB of heap, want at most %d", got>>20, maxGrowth>>20)
			}
			eventually(t, "the connections of endless replies are closed", func() bool { return faulty.Watched() == 0 })
		})
	}
}

func faultySearcher(i int) string { return fmt.Sprintf("faulty%d", i) }

// addSearchers sets a view with searcher s1 and n others, which share an address.
func (h *harness) addSearchers(t *testing.T, address, others string, n int) {
	t.Helper()
	sections := map[string]string{"snapshot 7": "shards = 1\n", "shard 7/0": "searchers = s1\n"}
	add := func(id, address string) {
		sections["searcher "+id] = fmt.Sprintf("address = %s\nregion = r\navailability_zone = a\nslots = 2\nconnections = 8\n", address)
	}
	add("s1", address)
	for i := range n {
		add(faultySearcher(i), others)
	}
	index, err := shards.ParseIndex("archive", 1, sections)
	if err != nil {
		t.Fatal(err)
	}
	h.view = view.New(1, plans.NewLists(nil, nil), []shards.VM{shards.NewVM("e1", "r", "a", "127.0.0.1:1", "127.0.0.1:2")}, []*shards.Index{index})
	h.Refresh(time.Now())
}
