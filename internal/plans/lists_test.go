package plans_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// checkFault checks that the error consists of exactly one fault at the given position.
func checkFault(t *testing.T, err error, wantList, wantSection, wantKey string) {
	t.Helper()
	var faults conf.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want faults", err)
	}
	if len(faults) != 1 {
		t.Fatalf("got %d faults, want 1: %v", len(faults), err)
	}
	got := faults[0]
	if got.File() != wantList || got.Section() != wantSection || got.Key() != wantKey {
		t.Errorf("got a fault at %s [%s] %s, want %s [%s] %s", got.File(), got.Section(), got.Key(), wantList, wantSection, wantKey)
	}
}

// TestParsePlans guards against parsed plans that differ from their section.
func TestParsePlans(t *testing.T) {
	tests := map[string]struct {
		body string
		want plans.Plan
	}{
		"defaults":       {body: "customer = N\nrank = bulk\n", want: plans.NewPlan("p", "N", plans.Bulk, 1, plans.Coverage{})},
		"all keys":       {body: "customer = N\nrank = urgent\nweight = 7\npreference = tail\n", want: plans.NewPlan("p", "N", plans.Urgent, 7, plans.Tail{})},
		"routine":        {body: "customer = N\nrank = routine\npreference = coverage\n", want: plans.NewPlan("p", "N", plans.Routine, 1, plans.Coverage{})},
		"maximum weight": {body: "customer = N\nrank = routine\nweight = 1000\n", want: plans.NewPlan("p", "N", plans.Routine, 1000, plans.Coverage{})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := plans.ParsePlans(3, map[string]string{"p": test.body})
			if err != nil {
				t.Fatal(err)
			}
			lists := plans.NewLists(p, nil)
			if got, ok := lists.Plan("p"); !ok || got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			if got, want := lists.PlansRevision(), uint64(3); got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
		})
	}
}

// TestParsePlansFaults guards against an invalid edit of the plans that partly comes into force.
func TestParsePlansFaults(t *testing.T) {
	const valid = "customer = N\nrank = bulk\n"
	tests := map[string]struct {
		section string
		body    string
		wantKey string
	}{
		"no customer":        {section: "p", body: "rank = bulk\n", wantKey: "customer"},
		"unknown rank":       {section: "p", body: "customer = N\nrank = asap\n", wantKey: "rank"},
		"weight of zero":     {section: "p", body: valid + "weight = 0\n", wantKey: "weight"},
		"unknown preference": {section: "p", body: valid + "preference = speed\n", wantKey: "preference"},
		"unknown key":        {section: "p", body: valid + "priority = 1\n", wantKey: "priority"},
		"slash in the name":  {section: "p/q", body: valid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := plans.ParsePlans(1, map[string]string{"good": valid, test.section: test.body})
			checkFault(t, err, plans.PlansKey, test.section, test.wantKey)
			if p != nil {
				t.Errorf("got a list %v together with the faults, want none", p)
			}
		})
	}
}

// TestParseUses guards against uses that grant something other than their section states.
func TestParseUses(t *testing.T) {
	u, err := plans.ParseUses(9, map[string]string{
		"care/care-desk":    "queries_per_second = 12.5\nconcurrent = 3\n",
		"care/shop-front":   "queries_per_second = 0\n",
		"gone/billing-run":  "queries_per_second = 1\n",
		"gone/care-desk":    "queries_per_second = 1\n",
		"other/billing-run": "queries_per_second = 1\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	lists := plans.NewLists(nil, u)
	tests := map[string]struct {
		plan, collection string
		want             plans.Use
		wantFound        bool
	}{
		"all keys":             {plan: "care", collection: "care-desk", want: plans.NewUse("care", "care-desk", 12.5, 3), wantFound: true},
		"default of zero rate": {plan: "care", collection: "shop-front", want: plans.NewUse("care", "shop-front", 0, 1000), wantFound: true},
		"plan does not exist":  {plan: "gone", collection: "billing-run", want: plans.NewUse("gone", "billing-run", 1, 1000), wantFound: true},
		"not listed":           {plan: "care", collection: "billing-run"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := lists.Use(test.plan, test.collection)
			if got != test.want || found != test.wantFound {
				t.Errorf("got %+v, %v, want %+v, %v", got, found, test.want, test.wantFound)
			}
		})
	}
	if got, want := lists.Collections(), []string{"billing-run", "care-desk", "shop-front"}; !slices.Equal(got, want) {
		t.Errorf("collections: got %v, want %v", got, want)
	}
	if got, want := lists.UsesRevision(), uint64(9); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// TestParseUsesFaults guards against an invalid edit of the uses that partly comes into force.
func TestParseUsesFaults(t *testing.T) {
	const valid = "queries_per_second = 1\n"
	tests := map[string]struct {
		section string
		body    string
		wantKey string
	}{
		"no rate":                {section: "care/x", body: "concurrent = 1\n", wantKey: "queries_per_second"},
		"rate below zero":        {section: "care/x", body: "queries_per_second = -1\n", wantKey: "queries_per_second"},
		"rate is no number":      {section: "care/x", body: "queries_per_second = NaN\n", wantKey: "queries_per_second"},
		"no concurrent queries":  {section: "care/x", body: valid + "concurrent = 0\n", wantKey: "concurrent"},
		"unknown key":            {section: "care/x", body: valid + "burst = 1\n", wantKey: "burst"},
		"no collection":          {section: "care", body: valid},
		"empty collection":       {section: "care/", body: valid},
		"empty plan":             {section: "/x", body: valid},
		"two slashes":            {section: "care/x/y", body: valid},
		"space around the slash": {section: "care / x", body: valid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u, err := plans.ParseUses(1, map[string]string{"good/x": valid, test.section: test.body})
			checkFault(t, err, plans.UsesKey, test.section, test.wantKey)
			if u != nil {
				t.Errorf("got a list %v together with the faults, want none", u)
			}
		})
	}
}

// TestEmptyLists guards against a node that crashes or grants a use when it has no documents.
func TestEmptyLists(t *testing.T) {
	lists := plans.NewLists(nil, nil)
	if _, ok := lists.Plan("care"); ok {
		t.Error("got a plan, want none")
	}
	if _, ok := lists.Use("care", "care-desk"); ok {
		t.Error("got a use, want none")
	}
	if got := len(lists.PlanNames()) + len(lists.Collections()); got != 0 {
		t.Errorf("got %d names, want none", got)
	}
}

// TestRankWire guards against a rank that changes when it is sent between nodes, and against an unspecified rank that is treated as urgent.
func TestRankWire(t *testing.T) {
	for _, rank := range plans.Ranks() {
		if got := plans.RankFromWire(rank.Wire()); got != rank {
			t.Errorf("%v: got %v", rank, got)
		}
	}
	if got, want := plans.RankFromWire(wire.Rank_RANK_UNSPECIFIED), plans.Bulk; got != want {
		t.Errorf("unspecified: got %v, want %v", got, want)
	}
}
