// Package reason provides typed errors and counters for the reasons of refusals, lost requests and retries that the schema defines.
package reason

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Refusal is the error of a request or sub-request that was not served.
type Refusal struct {
	reason wire.Reason
	detail string
}

// New returns a refusal with the given reason. The detail may be empty.
func New(r wire.Reason, detail string) *Refusal {
	return &Refusal{reason: r, detail: detail}
}

// Reason returns the reason.
func (r *Refusal) Reason() wire.Reason { return r.reason }

// Detail returns further information about the refusal. It may be empty.
func (r *Refusal) Detail() string { return r.detail }

// RunState returns whether the refused work was run.
func (r *Refusal) RunState() wire.RunState { return RunState(r.reason) }

// Error returns the reason's text and the detail.
func (r *Refusal) Error() string {
	text := Text(r.reason)
	if r.detail == "" {
		return text
	}
	return text + ": " + r.detail
}

// As returns the first refusal in the error's chain, or nil if there is none.
func As(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// RunState returns whether work that ended with the reason was run.
func RunState(r wire.Reason) wire.RunState { return info(r).GetRun() }

// Text returns the description of the reason.
func Text(r wire.Reason) string { return info(r).GetText() }

// Name returns the short name of the reason in metrics and JSON, such as over_rate.
func Name(r wire.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

func info(r wire.Reason) *wire.ReasonInfo {
	value := r.Descriptor().Values().ByNumber(r.Number())
	if value == nil {
		return &wire.ReasonInfo{}
	}
	return proto.GetExtension(value.Options(), wire.E_Reason).(*wire.ReasonInfo)
}

// Counters counts the occurrences of each reason. It is safe for concurrent use.
type Counters struct {
	byReason map[wire.Reason]metrics.Counter
}

// NewCounters registers a counter for each reason, named prefix.NAME.
func NewCounters(registry metrics.Registry, prefix string) *Counters {
	c := &Counters{byReason: make(map[wire.Reason]metrics.Counter)}
	for number := range wire.Reason_name {
		r := wire.Reason(number)
		c.byReason[r] = metrics.NewRegisteredCounter(prefix+"."+Name(r), registry)
	}
	return c
}

// Add counts one occurrence of a reason.
func (c *Counters) Add(r wire.Reason) {
	if counter, ok := c.byReason[r]; ok {
		counter.Inc(1)
	}
}

// Count returns the number of occurrences of a reason.
func (c *Counters) Count(r wire.Reason) int64 {
	if counter, ok := c.byReason[r]; ok {
		return counter.Count()
	}
	return 0
}

// NonZero returns the number of occurrences by reason name, without the reasons that never occurred.
func (c *Counters) NonZero() map[string]int64 {
	counts := make(map[string]int64)
	for r, counter := range c.byReason {
		if n := counter.Count(); n > 0 {
			counts[Name(r)] = n
		}
	}
	return counts
}
