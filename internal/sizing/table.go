package sizing

import (
	"fmt"
	"strconv"
	"strings"
)

// Table is a table of docs/CAPACITY.md.
type Table struct {
	name   string
	header []string
	rows   [][]string
}

// Name returns the name in the marks of the table on the page.
func (t Table) Name() string { return t.name }

// Markdown returns the table in Markdown.
func (t Table) Markdown() string {
	var b strings.Builder
	row := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	row(t.header)
	row(repeatCell("---", len(t.header)))
	for _, cells := range t.rows {
		row(cells)
	}
	return b.String()
}

func repeatCell(text string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = text
	}
	return all
}

func (t *Table) add(cells ...string) { t.rows = append(t.rows, cells) }

// startMark and endMark are the lines around a table on the page.
func startMark(name string) string { return "<!-- table " + name + " -->\n" }

const endMark = "<!-- end -->\n"

// ReplaceTables returns the page with the tables between their marks replaced. The error names a table whose marks are missing.
func ReplaceTables(page string, tables []Table) (string, error) {
	for _, table := range tables {
		before, rest, ok := strings.Cut(page, startMark(table.name))
		if !ok {
			return "", fmt.Errorf("page has no start mark for table %s", table.name)
		}
		_, after, ok := strings.Cut(rest, endMark)
		if !ok {
			return "", fmt.Errorf("page has no end mark for table %s", table.name)
		}
		page = before + startMark(table.name) + table.Markdown() + endMark + after
	}
	return page, nil
}

// formatNumber formats a number with three significant digits, and numbers from 1,000 without decimals and with thousands separators.
func formatNumber(value float64) string {
	if value < 0 {
		return "-" + formatNumber(-value)
	}
	if value < 999.5 {
		return strconv.FormatFloat(roundSignificant(value), 'f', -1, 64)
	}
	digits := strconv.FormatFloat(roundSignificant(value), 'f', 0, 64)
	var b strings.Builder
	for i, digit := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(digit)
	}
	return b.String()
}

func roundSignificant(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', 3, 64), 64)
	if err != nil {
		return value
	}
	return rounded
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)

func formatBytes(value float64) string {
	switch {
	case value >= megabyte:
		return formatNumber(value/megabyte) + " MB"
	case value >= kilobyte:
		return formatNumber(value/kilobyte) + " KB"
	default:
		return formatNumber(value) + " B"
	}
}

// formatMicroseconds formats a duration given in microseconds.
func formatMicroseconds(us float64) string {
	switch {
	case us >= 1e6:
		return formatNumber(us/1e6) + " s"
	case us >= 1e3:
		return formatNumber(us/1e3) + " ms"
	default:
		return formatNumber(us) + " µs"
	}
}

// formatPercent formats a fraction as a percentage.
func formatPercent(share float64) string { return formatNumber(100*share) + "%" }

// verdict reports whether a value fits within a budget.
func verdict(value, budget float64) string {
	if value <= budget {
		return "fits"
	}
	return "does not fit"
}
