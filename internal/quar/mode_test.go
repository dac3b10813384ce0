package quar

import (
	"testing"
	"time"
)

// TestDisabledIgnoresLosses guards against a benchmark variant without quarantine that still refuses requests.
func TestDisabledIgnoresLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Settings{Mode: Disabled{}})
	for _, searcher := range []string{"a", "b", "c"} {
		table.RecordLoss(now, 1, searcher)
		table.RecordExclusiveLoss(now, 1, searcher)
	}
	if verdict := table.Check(now, 1); verdict != (Clear{}) {
		t.Errorf("got %T, want Clear", verdict)
	}
	if table.NeedsCanary(now, 1) {
		t.Error("got a canary, want none")
	}
}
