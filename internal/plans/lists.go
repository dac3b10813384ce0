package plans

import (
	"slices"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Names of the two lists, which are also their keys in the configuration service.
const (
	PlansKey = "plans"
	UsesKey  = "uses"
)

// Preference is what a plan favours when shards straggle: Tail or Coverage.
type Preference interface{ preference() }

// Tail answers early without a straggling shard.
type Tail struct{}

// Coverage waits for all shards until the deadline.
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

// NewPlan returns a plan for tests and tools; nodes read plans with ParsePlans.
func NewPlan(name, customer string, rank Rank, weight int, preference Preference) Plan {
	return Plan{name: name, customer: customer, rank: rank, weight: weight, preference: preference}
}

// Name returns the plan's name.
func (p Plan) Name() string { return p.name }

// Customer returns the customer that the plan belongs to.
func (p Plan) Customer() string { return p.customer }

// Rank returns the urgency of the plan's work.
func (p Plan) Rank() Rank { return p.rank }

// Weight returns the plan's share within its rank relative to other plans, at least 1.
func (p Plan) Weight() int { return p.weight }

// Preference returns what the plan favours when shards straggle.
func (p Plan) Preference() Preference { return p.preference }

// Use is one section of the list of what plans may use.
type Use struct {
	plan             string
	collection       string
	queriesPerSecond float64
	concurrent       int
}

// NewUse returns a use for tests and tools; nodes read uses with ParseUses.
func NewUse(plan, collection string, queriesPerSecond float64, concurrent int) Use {
	return Use{plan: plan, collection: collection, queriesPerSecond: queriesPerSecond, concurrent: concurrent}
}

// Plan returns the name of the plan.
func (u Use) Plan() string { return u.plan }

// Collection returns the collection that the plan may query.
func (u Use) Collection() string { return u.collection }

// QueriesPerSecond returns the greatest rate of queries.
func (u Use) QueriesPerSecond() float64 { return u.queriesPerSecond }

// Concurrent returns the greatest number of concurrent queries at one entry.
func (u Use) Concurrent() int { return u.concurrent }

// Plans is one revision of the list of plans.
type Plans struct {
	revision uint64
	byName   map[string]Plan
}

// ParsePlans reads the sections of the list. It returns conf.Faults when any section is invalid.
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

// useName identifies a use.
type useName struct {
	plan       string
	collection string
}

// Uses is one revision of the list of what plans may use.
type Uses struct {
	revision uint64
	byName   map[useName]Use
}

// ParseUses reads the sections of the list. It returns conf.Faults when any section is invalid. A use of a plan that
// does not exist is valid and has no effect, since the two lists are edited independently.
func ParseUses(revision uint64, sections map[string]string) (*Uses, error) {
	byName := make(map[useName]Use, len(sections))
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
		byName[useName{plan: plan, collection: collection}] = Use{
			plan:             plan,
			collection:       collection,
			queriesPerSecond: section.GetQueriesPerSecond(),
			concurrent:       int(section.GetConcurrent()),
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &Uses{revision: revision, byName: byName}, nil
}

// isName reports whether a part of a section's name can name a plan or a collection.
func isName(text string) bool {
	return text != "" && text == strings.TrimSpace(text) && !strings.Contains(text, "/")
}

// Lists joins one revision of each list. It is immutable.
type Lists struct {
	plans *Plans
	uses  *Uses
}

// NewLists joins the two lists; a nil list counts as empty at revision 0.
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

// Use returns what a plan may use of a collection.
func (l *Lists) Use(plan, collection string) (Use, bool) {
	use, ok := l.uses.byName[useName{plan: plan, collection: collection}]
	return use, ok
}

// Collections returns the names of all collections that any plan may use, sorted.
func (l *Lists) Collections() []string {
	var names []string
	for name := range l.uses.byName {
		if !slices.Contains(names, name.collection) {
			names = append(names, name.collection)
		}
	}
	slices.Sort(names)
	return names
}

// PlanNames returns the names of all plans, sorted.
func (l *Lists) PlanNames() []string {
	names := make([]string, 0, len(l.plans.byName))
	for name := range l.plans.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
