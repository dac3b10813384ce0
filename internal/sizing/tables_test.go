package sizing

import (
	"math"
	"os"
	"strings"
	"testing"
)

const pagePath = "../../docs/CAPACITY.md"

func committedTables(t *testing.T, size Size) []Table {
	t.Helper()
	slopes, err := CommittedSlopes()
	if err != nil {
		t.Fatal(err)
	}
	tables, err := NewModel(size, slopes).Tables()
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

// TestPageHoldsTheTables guards against a page whose tables differ from those computed from the committed slopes.
func TestPageHoldsTheTables(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	tables := committedTables(t, DesignSize())
	want, err := ReplaceTables(string(page), tables)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != want {
		t.Errorf("%s differs from the committed slopes; run: go run . capacity --update docs/CAPACITY.md", pagePath)
	}
	if got, want := strings.Count(string(page), "<!-- table "), len(tables); got != want {
		t.Errorf("got %d marked tables in the page, want %d", got, want)
	}
}

// TestCommittedLinesFitTheirValues guards against committed lines that do not match the committed values, for example after a manual
// edit.
func TestCommittedLinesFitTheirValues(t *testing.T) {
	slopes, err := CommittedSlopes()
	if err != nil {
		t.Fatal(err)
	}
	for _, slope := range slopes.All() {
		got, want := slope.Line(), FitLine(slope.Sizes(), slope.Values())
		for name, pair := range map[string][2]float64{
			"intercept":   {got.Intercept(), want.Intercept()},
			"slope":       {got.Slope(), want.Slope()},
			"slope error": {got.SlopeError(), want.SlopeError()},
			"residual":    {got.Residual(), want.Residual()},
		} {
			if math.Abs(pair[0]-pair[1]) > 1e-6*(1+math.Abs(pair[1])) {
				t.Errorf("%s: got %s %g, want %g", slope.Name(), name, pair[0], pair[1])
			}
		}
	}
}

// TestFit guards against lines that are not the least-squares fit of their points.
func TestFit(t *testing.T) {
	tests := map[string]struct {
		sizes, values              []float64
		intercept, slope, slopeErr float64
	}{
		"exact line":     {sizes: []float64{1, 2, 4}, values: []float64{5, 7, 11}, intercept: 3, slope: 2},
		"constant":       {sizes: []float64{1, 2, 4}, values: []float64{6, 6, 6}, intercept: 6},
		"one size":       {sizes: []float64{2, 2}, values: []float64{1, 3}, intercept: 2},
		"no points":      {},
		"scattered":      {sizes: []float64{0, 1, 2}, values: []float64{0, 3, 0}, intercept: 1, slope: 0, slopeErr: math.Sqrt(3)},
		"falling line":   {sizes: []float64{0, 10}, values: []float64{10, 0}, intercept: 10, slope: -1},
		"rising scatter": {sizes: []float64{0, 1, 2}, values: []float64{0, 4, 2}, intercept: 1, slope: 1, slopeErr: math.Sqrt(3)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := FitLine(test.sizes, test.values)
			for what, pair := range map[string][2]float64{
				"intercept":   {got.Intercept(), test.intercept},
				"slope":       {got.Slope(), test.slope},
				"slope error": {got.SlopeError(), test.slopeErr},
			} {
				if math.Abs(pair[0]-pair[1]) > 1e-9 {
					t.Errorf("got %s %g, want %g", what, pair[0], pair[1])
				}
			}
		})
	}
}

// TestTablesOfOtherSizes guards against tables that contain NaN or infinite values at small and single-region sizes.
func TestTablesOfOtherSizes(t *testing.T) {
	tests := map[string]Size{
		"one node":    {Nodes: 1, Searchers: 1, Queries: 1, Fanout: 1, Regions: 1, Zones: 1},
		"today":       {Nodes: 8, Searchers: 100, Queries: 500, Fanout: 10, Regions: 3, Zones: 9, Changes: 10},
		"ten times":   {Nodes: 27000, Searchers: 120000, Queries: 4000000, Fanout: 200, Regions: 3, Zones: 9, Changes: 97000},
		"one zone":    {Nodes: 100, Searchers: 1000, Queries: 1000, Fanout: 100, Regions: 1, Zones: 1, Changes: 10},
		"no searcher": {Nodes: 100, Searchers: 1, Queries: 1000, Fanout: 100, Regions: 1, Zones: 3},
	}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			if err := size.Validate(); err != nil {
				t.Fatal(err)
			}
			for _, table := range committedTables(t, size) {
				text := table.Markdown()
				if strings.Contains(text, "NaN") || strings.Contains(text, "Inf") {
					t.Errorf("table %s contains NaN or Inf:\n%s", table.Name(), text)
				}
			}
		})
	}
}

// TestSizeCheck guards against accepting a size for which the tables cannot be computed.
func TestSizeCheck(t *testing.T) {
	tests := map[string]func(*Size){
		"no node":                  func(s *Size) { s.Nodes = 0 },
		"no fanout":                func(s *Size) { s.Fanout = 0 },
		"fewer zones than regions": func(s *Size) { s.Zones = 2 },
		"negative changes":         func(s *Size) { s.Changes = -1 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			size := DesignSize()
			change(&size)
			if err := size.Validate(); err == nil {
				t.Errorf("got no error for size %+v, want one", size)
			}
		})
	}
}

// TestVerdict guards against a value above its budget that is reported as fitting.
func TestVerdict(t *testing.T) {
	tests := map[string]struct {
		value, budget float64
		want          string
	}{
		"below": {value: 1, budget: 2, want: "fits"},
		"equal": {value: 2, budget: 2, want: "fits"},
		"above": {value: 3, budget: 2, want: "does not fit"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := verdict(test.value, test.budget); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestNumber guards against numbers that lose or gain digits on the page.
func TestNumber(t *testing.T) {
	tests := map[string]struct {
		value float64
		want  string
	}{
		"zero":      {value: 0, want: "0"},
		"fraction":  {value: 0.0123456, want: "0.0123"},
		"three":     {value: 3.14159, want: "3.14"},
		"hundreds":  {value: 999.4, want: "999"},
		"thousands": {value: 16200, want: "16,200"},
		"million":   {value: 1234567, want: "1,230,000"},
		"negative":  {value: -1500, want: "-1,500"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := formatNumber(test.value); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestReplace guards against a replacement that changes the text around a table, or that ignores a missing table.
func TestReplace(t *testing.T) {
	table := Table{name: "a", header: []string{"x"}, rows: [][]string{{"1"}}}
	got, err := ReplaceTables("before\n<!-- table a -->\nold\n<!-- end -->\nafter\n", []Table{table})
	if err != nil {
		t.Fatal(err)
	}
	if want := "before\n<!-- table a -->\n| x |\n| --- |\n| 1 |\n<!-- end -->\nafter\n"; got != want {
		t.Errorf("got page %q, want %q", got, want)
	}
	if _, err := ReplaceTables("no table\n", []Table{table}); err == nil {
		t.Error("got no error for a page without the table, want one")
	}
}
