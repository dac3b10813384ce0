package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// rowOrders is the row of the non-idempotent queries. Each takes two round trips, so they are not counted in the urgent rank.
const rowOrders = "orders"

func rowNames() []string {
	var names []string
	for _, rank := range plans.Ranks() {
		names = append(names, rank.String())
	}
	return append(names, rowOrders)
}

// CustomerReport is the result of a trial of a customer's fleet.
type CustomerReport struct {
	Customer string
	Seed     uint64
	// Checked is the number of answers that were checked.
	Checked int
	Phases  []PhaseResult
	Summary string
}

// PhaseResult is the result of one phase.
type PhaseResult struct {
	Name string
	Rows []CustomerRow
	// Primary covers the idempotent queries of the customer's primary plans that are urgent.
	Primary RankResult
	// Needed is the number of first attempts, Sent that of all attempts.
	Needed int64
	Sent   int64
	// Reasons holds the nodes' counts of refusals and further attempts by reason.
	Reasons    map[string]int
	Violations []Violation
	// LagP99 is the p99 of the delay with which the tool sent queries, in milliseconds. Latencies include the delay.
	LagP99 float64
}

// CustomerRow is the result of the queries of one rank, or of the non-idempotent queries.
type CustomerRow struct {
	RankResult
	// Refusals counts refused queries by reason, Missing counts missing shards by reason.
	Refusals map[string]int
	Missing  map[string]int
}

// customerTally accumulates the records of a row.
type customerTally struct {
	*tally
	refusals map[string]int
	missing  map[string]int
}

func newCustomerTally() *customerTally {
	return &customerTally{tally: newTally(), refusals: make(map[string]int), missing: make(map[string]int)}
}

func (c *customerTally) addAll(records []record) {
	for i := range records {
		r := &records[i]
		if r.repeated {
			continue
		}
		c.add(r)
		if r.answer == nil {
			c.refusals["no answer"]++
			continue
		}
		if r.answer.GetRun() != wire.RunState_RUN_STATE_RUN {
			c.refusals[reason.Name(r.answer.GetReason())]++
		}
		for _, missing := range r.answer.GetCoverage().GetMissing() {
			c.missing[reason.Name(missing.GetReason())]++
		}
	}
}

func (c *customerTally) row(name string, seconds float64) CustomerRow {
	result := c.rank(plans.Urgent, seconds)
	result.Rank = name
	return CustomerRow{RankResult: result, Refusals: c.refusals, Missing: c.missing}
}

// Violations returns the number of violated promises over all phases.
func (r *CustomerReport) Violations() int {
	sum := 0
	for _, p := range r.Phases {
		sum += len(p.Violations)
	}
	return sum
}

// WriteTable writes a table for each phase and the summary line.
func (r *CustomerReport) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %d answers checked, %d promises violated\n", r.Customer, r.Seed, r.Checked, r.Violations())
	for _, p := range r.Phases {
		if err := p.write(w); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "\n%s\n", r.Summary)
	return nil
}

func (p PhaseResult) write(w io.Writer) error {
	extra := 100 * ratio(float64(p.Sent-p.Needed), float64(p.Needed))
	hedged := 100 * ratio(float64(p.Reasons[reason.Name(wire.Reason_REASON_HEDGE)]), float64(p.Needed))
	fmt.Fprintf(w, "\n%s: extra attempts +%.2f%% (hedges %.2f%%) of %d, %d promises violated, sent late by p99 %.1f ms\n", p.Name, extra, hedged, p.Needed, len(p.Violations), p.LagP99)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "rank\toffered/s\tp50 ms\tp99 ms\tp99.9 ms\twhole\tcoverage\trefused\tfailed\t")
	for _, row := range p.Rows {
		fmt.Fprintf(table, "%s\t%.0f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.1f%%\t%.1f%%\t\n", row.Rank, row.Offered, row.P50, row.P99, row.P999, 100*row.Complete,
			100*row.Coverage, 100*row.Refused, 100*row.Failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, row := range p.Rows {
		if len(row.Refusals) > 0 {
			fmt.Fprintf(w, "  %s refusals: %s\n", row.Rank, counts(row.Refusals))
		}
		if len(row.Missing) > 0 {
			fmt.Fprintf(w, "  %s missing shards: %s\n", row.Rank, counts(row.Missing))
		}
	}
	if len(p.Reasons) > 0 {
		fmt.Fprintf(w, "  counted by the nodes: %s\n", counts(p.Reasons))
	}
	for i, v := range p.Violations {
		if i == shownViolations {
			fmt.Fprintf(w, "  and %d more\n", len(p.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  violated %s: %s\n", v.Promise, v.Detail)
	}
	return nil
}
