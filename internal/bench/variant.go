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

// variant is a set of policies to compare.
type variant struct {
	name   string
	change func(*node.Policies)
}

func withoutFairness(p *node.Policies)  { p.Owner.Queue.Discipline = queue.FIFO{} }
func withoutAdmission(p *node.Policies) { p.Admission.RateMode = admit.Listed{} }
func withoutHedging(p *node.Policies)   { p.Hedge.Mode = hedge.Never{} }
func withoutChoice(p *node.Policies)    { p.Picker.Ranking = picker.EqualCost{} }
func withoutLimit(p *node.Policies)     { p.Owner.Limit.Mode = limit.Constant{} }
func withoutCanary(p *node.Policies)    { p.Quarantine.Mode = quar.Disabled{} }
func withoutSilence(p *node.Policies)   { p.Owner.Stall.Mode = stall.Disabled{} }

// baseline is FIFO queues without hedging and limits.
func baseline(p *node.Policies) {
	withoutFairness(p)
	withoutAdmission(p)
	withoutHedging(p)
	withoutLimit(p)
}

// allVariants returns the full policy, the baseline, and each mechanism switched off, in this order.
func allVariants() []variant {
	return []variant{
		{name: variantFull, change: func(*node.Policies) {}},
		{name: variantBaseline, change: baseline},
		{name: "no-fairness", change: withoutFairness},
		{name: "no-admission", change: withoutAdmission},
		{name: variantNoHedging, change: withoutHedging},
		{name: "no-latency-choice", change: withoutChoice},
		{name: "no-limit", change: withoutLimit},
		{name: "no-quarantine", change: withoutCanary},
		{name: "no-silence", change: withoutSilence},
	}
}

// variants returns the full policy, the baseline, and the named variants.
func variants(names []string) ([]variant, error) {
	more, err := named(names)
	return append(allVariants()[:2:2], more...), err
}

// named returns the variants with the given names.
func named(names []string) ([]variant, error) {
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
