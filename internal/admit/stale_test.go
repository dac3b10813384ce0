package admit

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// TestFeedbackOfEarlierQueriesDecreasesOnce guards against a rate that keeps decreasing while replies arrive for queries
// that were admitted before the first decrease.
func TestFeedbackOfEarlierQueriesDecreasesOnce(t *testing.T) {
	const queries = 1000
	start := time.Unix(1000, 0)
	a := New(Settings{})
	use := plans.NewUse("p", "c", 1e6, queries)
	for i := range queries {
		if _, r := a.Admit(start.Add(time.Duration(i)*time.Millisecond), "c", "p", use); r != nil {
			t.Fatal(r)
		}
	}
	replied := start.Add(time.Second)
	decreases := 0
	last, _ := a.Rate("c", "p")
	for i := range queries {
		admitted := start.Add(time.Duration(i) * time.Millisecond)
		a.FeedbackForQuery(replied.Add(time.Duration(i)*time.Millisecond), admitted, "c", "p", 2, true)
		if rate, ok := a.Rate("c", "p"); ok && rate != last {
			decreases++
			last = rate
		}
	}
	if decreases != 1 {
		t.Errorf("got %d decreases, want 1", decreases)
	}
	a.FeedbackForQuery(replied.Add(2*time.Second), replied.Add(2*time.Second), "c", "p", 2, true)
	for i := range minReplies {
		at := replied.Add(3*time.Second + time.Duration(i)*time.Second)
		a.FeedbackForQuery(at, at, "c", "p", 2, true)
	}
	if rate, _ := a.Rate("c", "p"); rate >= last {
		t.Errorf("got rate %v after overloaded replies of later queries, want below %v", rate, last)
	}
}
