package bench

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/admit"
	"github.com/fireflylanding/fireflylanding/internal/hedge"
	"github.com/fireflylanding/fireflylanding/internal/limit"
	"github.com/fireflylanding/fireflylanding/internal/node"
	"github.com/fireflylanding/fireflylanding/internal/picker"
	"github.com/fireflylanding/fireflylanding/internal/quar"
	"github.com/fireflylanding/fireflylanding/internal/queue"
	"github.com/fireflylanding/fireflylanding/internal/stall"
)

// Names of the variants that targets refer to.
const (
	variantFull      = "full"
	variantBaseline  = "fifo"
	variantNoHedging = "no-hedging"
)

// variant is a named change of the policies.
type variant struct {
	name  string
	apply func(*node.Policies)
}

func withoutFairness(p *node.Policies)      { p.Owner.Queue.Discipline = queue.FIFO{} }
func withoutAdmission(p *node.Policies)     { p.Admission.RateMode = admit.Listed{} }
func withoutHedging(p *node.Policies)       { p.Hedge.Mode = hedge.Never{} }
func withoutLatencyChoice(p *node.Policies) { p.Picker.Ranking = picker.EqualCost{} }
func withoutLimit(p *node.Policies)         { p.Owner.Limit.Mode = limit.Constant{} }
func withoutQuarantine(p *node.Policies)    { p.Quarantine.Mode = quar.Disabled{} }
func withoutSilence(p *node.Policies)       { p.Owner.Stall.Mode = stall.Disabled{} }

// baseline selects FIFO queues, listed rates for admission, no hedging and constant limits.
func baseline(p *node.Policies) {
	withoutFairness(p)
	withoutAdmission(p)
	withoutHedging(p)
	withoutLimit(p)
}

// allVariants returns the full policy, the baseline, and a variant for each mechanism that disables it, in this order.
func allVariants() []variant {
	return []variant{
		{name: variantFull, apply: func(*node.Policies) {}},
		{name: variantBaseline, apply: baseline},
		{name: "no-fairness", apply: withoutFairness},
		{name: "no-admission", apply: withoutAdmission},
		{name: variantNoHedging, apply: withoutHedging},
		{name: "no-latency-choice", apply: withoutLatencyChoice},
		{name: "no-limit", apply: withoutLimit},
		{name: "no-quarantine", apply: withoutQuarantine},
		{name: "no-silence", apply: withoutSilence},
	}
}

// variants returns the full policy, the baseline, and the named variants.
func variants(names []string) ([]variant, error) {
	more, err := namedVariants(names)
	return append(allVariants()[:2:2], more...), err
}

// namedVariants returns the variants with the given names.
func namedVariants(names []string) ([]variant, error) {
	var chosen []variant
	for _, name := range names {
		i := slices.IndexFunc(allVariants(), func(v variant) bool { return v.name == name })
		if i < 0 {
			return nil, errors.Mark(errors.Newf("unknown variant %q", name), ErrUnknownName)
		}
		chosen = append(chosen, allVariants()[i])
	}
	return chosen, nil
}
