package plans

import (
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Keys of the two lists in the configuration service. They are also the file names in faults.
const (
	PlansKey = "plans"
	UsesKey  = "uses"
)

// Preference is how queries of a plan treat straggling shards: Tail or Coverage.
type Preference interface{ preference() }

// Tail prefers low tail latency: a query may be answered without its straggling shards.
type Tail struct{}

// Coverage prefers complete answers: a query waits for all shards until its deadline.
type Coverage struct{}

func (Tail) preference()     {}
func (Coverage) preference() {}

// Plan is one section of the list of plans.
type Plan struct {
	name       string
	customer   string
	rank       Rank
	weight     int
	preference Preference
}

// NewPlan returns a plan. It is meant for tests and tools; nodes use ParsePlans.
func NewPlan(name, customer string, rank Rank, weight int, preference Preference) Plan {
	return Plan{name: name, customer: customer, rank: rank, weight: weight, preference: preference}
}

// Name returns the plan's name.
func (p Plan) Name() string { return p.name }

// Customer returns the customer that the plan belongs to.
func (p Plan) Customer() string { return p.customer }

// Rank returns the rank of the plan's queries.
func (p Plan) Rank() Rank { return p.rank }

// Weight returns the plan's share of capacity relative to other plans of its rank. It is at least 1.
func (p Plan) Weight() int { return p.weight }

// Preference returns how the plan's queries treat straggling shards.
func (p Plan) Preference() Preference { return p.preference }

// Use is one section of the list of uses: a plan's permission to query a collection, with its limits.
type Use struct {
	plan             string
	collection       string
	queriesPerSecond float64
	concurrent       int
}

// NewUse returns a use. It is meant for tests and tools; nodes use ParseUses.
func NewUse(plan, collection string, queriesPerSecond float64, concurrent int) Use {
	return Use{plan: plan, collection: collection, queriesPerSecond: queriesPerSecond, concurrent: concurrent}
}

// Plan returns the name of the plan.
func (u Use) Plan() string { return u.plan }

// Collection returns the collection that the plan may query.
func (u Use) Collection() string { return u.collection }

// QueriesPerSecond returns the maximum rate of queries.
func (u Use) QueriesPerSecond() float64 { return u.queriesPerSecond }

// Concurrent returns the maximum number of concurrent queries at one entry.
func (u Use) Concurrent() int { return u.concurrent }

// Plans is one revision of the list of plans.
type Plans struct {
	revision uint64
	byName   map[string]Plan
}

// ParsePlans parses the sections of the list of plans. It returns conf.Faults if any section is invalid.
func ParsePlans(revision uint64, sections map[string]string) (*Plans, error) {
	byName := make(map[string]Plan, len(sections))
	var faults conf.Faults
	for name, body := range sections {
		section := &wire.PlanSection{}
		if err := conf.Decode(PlansKey, name, body, section); err != nil {
			faults = faults.AppendError(err)
			continue
		}
		if strings.Contains(name, "/") {
			faults = append(faults, conf.NewFault(PlansKey, name, "", "a plan's name must not contain a slash"))
			continue
		}
		byName[name] = newPlan(name, section)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &Plans{revision: revision, byName: byName}, nil
}

func newPlan(name string, section *wire.PlanSection) Plan {
	var preference Preference = Coverage{}
	if section.GetPreference() == "tail" {
		preference = Tail{}
	}
	return Plan{
		name:       name,
		customer:   section.GetCustomer(),
		rank:       parseRank(section.GetRank()),
		weight:     int(section.GetWeight()),
		preference: preference,
	}
}

// useKey identifies a use by plan and collection.
type useKey struct {
	plan       string
	collection string
}

// Uses is one revision of the list of uses.
type Uses struct {
	revision uint64
	byKey    map[useKey]Use
}

// ParseUses parses the sections of the list of uses. It returns conf.Faults if any section is invalid. A use of a plan that
// does not exist is valid and has no effect, since the two lists are edited independently.
func ParseUses(revision uint64, sections map[string]string) (*Uses, error) {
	byKey := make(map[useKey]Use, len(sections))
	var faults conf.Faults
	for name, body := range sections {
		plan, collection, ok := strings.Cut(name, "/")
		if !ok || !isName(plan) || !isName(collection) {
			faults = append(faults, conf.NewFault(UsesKey, name, "", "section must be named PLAN/COLLECTION"))
			continue
		}
		section := &wire.UseSection{}
		if err := conf.Decode(UsesKey, name, body, section); err != nil {
			faults = faults.AppendError(err)
			continue
		}
		byKey[useKey{plan: plan, collection: collection}] = Use{
			plan:             plan,
			collection:       collection,
			queriesPerSecond: section.GetQueriesPerSecond(),
			concurrent:       int(section.GetConcurrent()),
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &Uses{revision: revision, byKey: byKey}, nil
}

// isName reports whether a part of a section name is a valid name of a plan or a collection.
func isName(text string) bool {
	return text != "" && text == strings.TrimSpace(text) && !strings.Contains(text, "/")
}

// Lists combines one revision of the list of plans and one of the list of uses. It is immutable.
type Lists struct {
	plans *Plans
	uses  *Uses
}

// NewLists combines the two lists. A nil list is treated as an empty list at revision 0.
func NewLists(p *Plans, u *Uses) *Lists {
	if p == nil {
		p = &Plans{}
	}
	if u == nil {
		u = &Uses{}
	}
	return &Lists{plans: p, uses: u}
}

// PlansRevision returns the revision of the list of plans.
func (l *Lists) PlansRevision() uint64 { return l.plans.revision }

// UsesRevision returns the revision of the list of uses.
func (l *Lists) UsesRevision() uint64 { return l.uses.revision }

// Plan returns a plan by name.
func (l *Lists) Plan(name string) (Plan, bool) {
	plan, ok := l.plans.byName[name]
	return plan, ok
}

// Use returns the use of a collection by a plan, if it is listed.
func (l *Lists) Use(plan, collection string) (Use, bool) {
	use, ok := l.uses.byKey[useKey{plan: plan, collection: collection}]
	return use, ok
}

// Collections returns the sorted names of the collections of all uses.
func (l *Lists) Collections() []string {
	var names []string
	for name := range l.uses.byKey {
		if !slices.Contains(names, name.collection) {
			names = append(names, name.collection)
		}
	}
	slices.Sort(names)
	return names
}

// PlanNames returns the sorted names of all plans.
func (l *Lists) PlanNames() []string {
	names := make([]string, 0, len(l.plans.byName))
	for name := range l.plans.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
