package sizing

import (
	"context"
	"fmt"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/member"
	"github.com/fireflylanding/fireflylanding/internal/place"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/spread"
	"github.com/fireflylanding/fireflylanding/internal/view"
)

// nodeState is the configuration state of a node, which processes changed documents as a node does.
type nodeState struct {
	store   *spread.Store
	builder *view.Builder
	members *member.View
	view    *view.Snapshot
}

func newNodeState(s *synthetic) *nodeState {
	n := &nodeState{
		builder: view.NewBuilder([]string{regionName(0), regionName(1), regionName(2)}),
		members: member.New(member.NewNode(nodeName(0), 1), member.Settings{}),
	}
	n.store = spread.NewStore(n.builder.Validate)
	for _, document := range s.documents() {
		n.store.Accept(time.Now(), document)
	}
	n.rebuild(time.Now())
	return n
}

func (n *nodeState) document(key string) view.Document {
	if document := n.store.Get(key); document != nil {
		return document
	}
	return nil
}

func (n *nodeState) rebuild(now time.Time) {
	before := n.view
	n.view = n.builder.Build(n.document)
	n.members.SetVMs(now, n.view.VMs())
	n.members.Snapshot(now)
	if before == nil || &before.VMs()[0] != &n.view.VMs()[0] {
		place.Neighbours(nodeName(0), n.view.VMs())
		for _, key := range n.store.Keys() {
			place.Readers(key, regionName(0), n.view.VMs())
		}
	}
}

// applyChange applies a delta as received from a neighbour: it applies, validates and accepts the delta and rebuilds the view.
func (n *nodeState) applyChange(delta func(current *spread.Document) *spread.Document, key string) (time.Duration, error) {
	current := n.store.Get(key)
	message := spread.Diff(current, delta(current))
	now := time.Now()
	applied, err := spread.Apply(current, message)
	if err != nil {
		return 0, err
	}
	if result, ok := n.store.Accept(now, applied).(spread.Accepted); !ok {
		return 0, fmt.Errorf("change of %s was rejected: %T", key, result)
	}
	n.rebuild(now)
	return time.Since(now), nil
}

// changeKind is a kind of configuration change.
type changeKind struct {
	name string
	what string
	key  string
	// section returns the section name and body of run i.
	section func(i int) (string, string)
}

func changeKinds() []changeKind {
	return []changeKind{
		{"change_plan_time", "a changed plan, from the delta to the new view", plans.PlansKey, func(i int) (string, string) {
			return "plan-urgent", fmt.Sprintf("customer = customer\nrank = urgent\nweight = %d\npreference = tail\n", i+2)
		}},
		{"change_use_time", "a changed use", plans.UsesKey, func(i int) (string, string) {
			return "plan-urgent/collection-000", fmt.Sprintf("queries_per_second = %d\nconcurrent = 1000\n", i+2)
		}},
		{"change_index_time", "a searcher changed in an index", shards.IndexPrefix + "collection-000", func(i int) (string, string) {
			return "searcher collection-000-00000", fmt.Sprintf(
				"address = %s\nregion = %s\navailability_zone = %s\nslots = 2\nconnections = 25\n", address(i, 9000), regionName(0), zoneName(0))
		}},
		{"change_searcher_time", "a searcher changed in a VM list", shards.VMsPrefix + regionName(0), func(i int) (string, string) {
			return "collection-000-00000", fmt.Sprintf("kind = searcher\naddress = %s\navailability_zone = %s\nregion = %s\nstate = live\n",
				address(i, 9000), zoneName(0), regionName(0))
		}},
		{"change_entry_time", "a node changed in a VM list, which moves owners", shards.VMsPrefix + regionName(0), func(i int) (string, string) {
			return nodeName(3), entryBody(3, []string{"leaving", "live"}[i%2])
		}},
	}
}

// measureChanges measures the processing time of changes at fractions of the design size.
func measureChanges(ctx context.Context) ([]Slope, error) {
	sizes := make([]float64, len(designShares))
	values := make(map[string][]float64)
	for i, share := range designShares {
		nodes, searchers := int(share*designNodes), int(share*designSearchers)
		sizes[i] = share * designSearchers
		fleet, err := newSynthetic(nodes, searchers)
		if err != nil {
			return nil, err
		}
		n := newNodeState(fleet)
		for _, kind := range changeKinds() {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			var best time.Duration
			if best, err = minChangeTime(n, kind); err != nil {
				return nil, err
			}
			values[kind.name] = append(values[kind.name], float64(best)/microsecond)
		}
	}
	var slopes []Slope
	for _, kind := range changeKinds() {
		slopes = append(slopes, NewSlope(kind.name, kind.what, "µs", "searcher, with the nodes in proportion", sizes, values[kind.name]))
	}
	return slopes, nil
}

func minChangeTime(n *nodeState, kind changeKind) (time.Duration, error) {
	best := time.Hour
	for run := range repeats {
		section, body := kind.section(run)
		elapsed, err := n.applyChange(func(current *spread.Document) *spread.Document { return changed(current, section, body) }, kind.key)
		if err != nil {
			return 0, err
		}
		best = min(best, elapsed)
	}
	return best, nil
}
