package plans_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// readExample returns the sections of a file in the examples directory.
func readExample(t *testing.T, customer, file string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", customer, file))
	if err != nil {
		t.Fatal(err)
	}
	sections, err := conf.Split(file, data)
	if err != nil {
		t.Fatal(err)
	}
	return sections
}

// TestExampleLists guards against example lists that a node would reject, and against plans without a use or uses without a plan.
func TestExampleLists(t *testing.T) {
	tests := map[string]struct {
		collections []string
		urgent      map[string]plans.Preference
	}{
		"nykterida": {
			collections: []string{"billing-run", "care-desk", "dispatch-tool", "shop-front"},
			urgent:      map[string]plans.Preference{"care": plans.Tail{}, "dispatch": plans.Tail{}},
		},
		"swanline": {
			collections: []string{"captain-portal", "dispatch-board", "proof-studio", "rider-sizing"},
			urgent:      map[string]plans.Preference{"archive": plans.Coverage{}, "rush": plans.Coverage{}},
		},
	}
	for customer, test := range tests {
		t.Run(customer, func(t *testing.T) {
			p, err := plans.ParsePlans(1, readExample(t, customer, "plans.ini"))
			if err != nil {
				t.Fatal(err)
			}
			useSections := readExample(t, customer, "uses.ini")
			u, err := plans.ParseUses(1, useSections)
			if err != nil {
				t.Fatal(err)
			}
			lists := plans.NewLists(p, u)
			if got := lists.Collections(); !slices.Equal(got, test.collections) {
				t.Errorf("collections: got %v, want %v", got, test.collections)
			}
			checkPlans(t, lists, test.urgent)
			checkUses(t, lists, len(useSections))
		})
	}
}

// checkPlans checks that exactly the given plans are urgent, and that they have the given preferences.
func checkPlans(t *testing.T, lists *plans.Lists, urgent map[string]plans.Preference) {
	t.Helper()
	for _, name := range lists.PlanNames() {
		plan, _ := lists.Plan(name)
		want, isUrgent := urgent[name]
		if got := plan.Rank() == plans.Urgent; got != isUrgent {
			t.Errorf("plan %s urgent: got %v, want %v", name, got, isUrgent)
		}
		if isUrgent && plan.Preference() != want {
			t.Errorf("plan %s preference: got %T, want %T", name, plan.Preference(), want)
		}
	}
}

// checkUses checks that every plan has a use and that every use belongs to a plan.
func checkUses(t *testing.T, lists *plans.Lists, want int) {
	t.Helper()
	total := 0
	for _, name := range lists.PlanNames() {
		found := 0
		for _, collection := range lists.Collections() {
			if _, ok := lists.Use(name, collection); ok {
				found++
			}
		}
		if found == 0 {
			t.Errorf("plan %s: got no use", name)
		}
		total += found
	}
	if total != want {
		t.Errorf("uses of plans that exist: got %d, want %d", total, want)
	}
}
