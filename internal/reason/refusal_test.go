package reason_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// firstRetryReason is the lowest number of the reasons about retries and hedges. They have no run state since no work ends with them.
const firstRetryReason = wire.Reason_REASON_RETRY_BUDGET

// reasons returns all reasons of the schema except REASON_UNSPECIFIED.
func reasons() []wire.Reason {
	var all []wire.Reason
	for number := range wire.Reason_name {
		if number != 0 {
			all = append(all, wire.Reason(number))
		}
	}
	slices.Sort(all)
	return all
}

// Guards against a reason without a text, a run state or a unique name.
func TestEveryReasonIsDescribed(t *testing.T) {
	names := make(map[string]wire.Reason)
	for _, r := range reasons() {
		name := reason.Name(r)
		if reason.Text(r) == "" {
			t.Errorf("%s: got no text", name)
		}
		if got, want := reason.RunState(r) != wire.RunState_RUN_STATE_UNSPECIFIED, r < firstRetryReason; got != want {
			t.Errorf("%s: has run state: got %v, want %v", name, got, want)
		}
		if name != strings.ToLower(name) || strings.HasPrefix(name, "reason") {
			t.Errorf("%s: got a name that is not short lower case", name)
		}
		if other, ok := names[name]; ok {
			t.Errorf("%s: got the name of both %d and %d", name, other, r)
		}
		names[name] = r
	}
}

// Guards against a reason that is not counted or is counted as another reason.
func TestEveryReasonIsCounted(t *testing.T) {
	registry := metrics.NewRegistry()
	counters := reason.NewCounters(registry, "entry")
	want := make(map[string]int64)
	for i, r := range reasons() {
		for range i + 1 {
			counters.Add(r)
		}
		want[reason.Name(r)] = int64(i + 1)
		counter, ok := registry.Get("entry." + reason.Name(r)).(metrics.Counter)
		if !ok {
			t.Errorf("%s: got no counter in the registry", reason.Name(r))
			continue
		}
		if got := counter.Count(); got != int64(i+1) || counters.Count(r) != got {
			t.Errorf("%s: got %d in the registry and %d in Count, want %d", reason.Name(r), got, counters.Count(r), i+1)
		}
	}
	if got := counters.NonZero(); !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against a panic on a reason that a node of a later version sends.
func TestUnknownReason(t *testing.T) {
	const later = wire.Reason(9999)
	counters := reason.NewCounters(metrics.NewRegistry(), "entry")
	counters.Add(later)
	if got := counters.Count(later); got != 0 {
		t.Errorf("count: got %d, want 0", got)
	}
	if got, want := reason.RunState(later), wire.RunState_RUN_STATE_UNSPECIFIED; got != want {
		t.Errorf("run state: got %v, want %v", got, want)
	}
	if got := reason.Text(later); got != "" {
		t.Errorf("text: got %q, want none", got)
	}
}

// Guards against a refusal whose reason is lost when another error wraps it.
func TestRefusal(t *testing.T) {
	tests := map[string]struct {
		err        error
		wantReason wire.Reason
		wantRun    wire.RunState
		wantText   string
	}{
		"without detail": {err: reason.New(wire.Reason_REASON_STOPPING, ""), wantReason: wire.Reason_REASON_STOPPING, wantRun: wire.RunState_RUN_STATE_NOT_RUN, wantText: "the node is stopping"},
		"with detail":    {err: reason.New(wire.Reason_REASON_BAD_REQUEST, "no key"), wantReason: wire.Reason_REASON_BAD_REQUEST, wantRun: wire.RunState_RUN_STATE_NOT_RUN, wantText: "the request is malformed or beyond an input limit: no key"},
		"wrapped":        {err: fmt.Errorf("shard 3: %w", reason.New(wire.Reason_REASON_DEADLINE, "")), wantReason: wire.Reason_REASON_DEADLINE, wantRun: wire.RunState_RUN_STATE_UNKNOWN, wantText: "shard 3: the deadline passed before the reply"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			refusal := reason.As(test.err)
			if refusal == nil {
				t.Fatal("got no refusal")
			}
			if refusal.Reason() != test.wantReason || refusal.RunState() != test.wantRun {
				t.Errorf("got %v, %v, want %v, %v", refusal.Reason(), refusal.RunState(), test.wantReason, test.wantRun)
			}
			if got := test.err.Error(); got != test.wantText {
				t.Errorf("text: got %q, want %q", got, test.wantText)
			}
		})
	}
	if got := reason.As(fmt.Errorf("other")); got != nil {
		t.Errorf("other error: got %v, want nil", got)
	}
}
