package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report is the outcome of a run of the tool.
type Report struct {
	Results    []*Result   `json:"results"`
	Throughput *Throughput `json:"throughput,omitempty"`
	Targets    []Target    `json:"targets"`
}

// Violations returns the number of violated promises over all results.
func (r *Report) Violations() int {
	sum := 0
	for _, result := range r.Results {
		sum += len(result.Violations)
	}
	return sum
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	for _, result := range r.Results {
		if err := result.write(w); err != nil {
			return err
		}
	}
	if r.Throughput != nil {
		r.Throughput.write(w)
	}
	return r.writeTargets(w)
}

func (r *Result) write(w io.Writer) error {
	fmt.Fprintf(w, "%s, %s, seed %d: %d answers checked, %d promises violated, sent late by p99 %.1f ms\n", r.Scenario, r.Variant, r.Seed, r.Checked, len(r.Violations), r.LagP99)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "window\trank\toffered/s\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\twhole\trefused\tfailed\t")
	for _, window := range r.Windows {
		for _, rank := range window.Ranks {
			fmt.Fprintf(table, "%s\t%s\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.1f%%\t%.1f%%\t\n", window.Name, rank.Rank, rank.Offered, rank.Goodput,
				rank.P50, rank.P99, rank.P999, 100*rank.Coverage, 100*rank.Complete, 100*rank.Refused, 100*rank.Failed)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, window := range r.Windows {
		window.writeLoad(w)
	}
	for i, v := range r.Violations {
		if i == shownViolations {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  violated %s: %s\n", v.Promise, v.Detail)
	}
	fmt.Fprintln(w)
	return nil
}

// shownViolations is the maximum number of violations that the tables list for each result.
const shownViolations = 10

func (w *WindowResult) writeLoad(out io.Writer) {
	fmt.Fprintf(out, "  %s: attempts +%.2f%% (hedges %.2f%%), runs %.3f of needed; CPU %.0f us and %.0f objects per sub-query, whole process\n", w.Name, 100*w.Extra(),
		100*w.Hedged(), w.Upstream(), w.CPUPerSubQuery, w.ObjectsPerSubQuery)
	for _, p := range w.Plans {
		fmt.Fprintf(out, "    %s: offered %.0f/s, goodput %.0f/s, due %.0f/s (%+.1f%%)\n", p.Plan, p.Offered, p.Goodput, p.Due, 100*(ratio(p.Goodput, p.Due)-1))
	}
	if len(w.Refusals) > 0 {
		fmt.Fprintf(out, "    refusals: %s\n", counts(w.Refusals))
	}
	if len(w.Missing) > 0 {
		fmt.Fprintf(out, "    missing shards: %s\n", counts(w.Missing))
	}
}

func counts(byReason map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byReason)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, byReason[name]))
	}
	return strings.Join(parts, ", ")
}

func (r *Report) writeTargets(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\twanted\tmeasured\t")
	for _, t := range r.Targets {
		verdict := "missed"
		if t.Met {
			verdict = "met"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", t.Name, t.Wanted, t.Measured, verdict)
	}
	return table.Flush()
}
