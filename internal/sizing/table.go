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

// Name returns the name that the page marks the table with.
func (t Table) Name() string { return t.name }

// Markdown returns the table as a Markdown table.
func (t Table) Markdown() string {
	var b strings.Builder
	row := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	row(t.header)
	row(slicesOf("---", len(t.header)))
	for _, cells := range t.rows {
		row(cells)
	}
	return b.String()
}

func slicesOf(text string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = text
	}
	return all
}

func (t *Table) add(cells ...string) { t.rows = append(t.rows, cells) }

// opening and closing are the lines around a table in the page.
func opening(name string) string { return "<!-- table " + name + " -->\n" }

const closing = "<!-- end -->\n"

// ReplaceTables returns the page with the tables between their marks replaced. The error names a table without marks.
func ReplaceTables(page string, tables []Table) (string, error) {
	for _, table := range tables {
		before, rest, ok := strings.Cut(page, opening(table.name))
		if !ok {
			return "", fmt.Errorf("the page has no mark of table %s", table.name)
		}
		_, after, ok := strings.Cut(rest, closing)
		if !ok {
			return "", fmt.Errorf("table %s of the page has no end", table.name)
		}
		page = before + opening(table.name) + table.Markdown() + closing + after
	}
	return page, nil
}

// number prints three significant digits, and whole numbers above 1,000 with commas.
func number(value float64) string {
	if value < 0 {
		return "-" + number(-value)
	}
	if value < 999.5 {
		return strconv.FormatFloat(round3(value), 'f', -1, 64)
	}
	digits := strconv.FormatFloat(round3(value), 'f', 0, 64)
	var b strings.Builder
	for i, digit := range digits {
		if i > 0 && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(digit)
	}
	return b.String()
}

func round3(value float64) float64 {
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

func bytesText(value float64) string {
	switch {
	case value >= megabyte:
		return number(value/megabyte) + " MB"
	case value >= kilobyte:
		return number(value/kilobyte) + " KB"
	default:
		return number(value) + " B"
	}
}

// timeText prints a time given in microseconds.
func timeText(us float64) string {
	switch {
	case us >= 1e6:
		return number(us/1e6) + " s"
	case us >= 1e3:
		return number(us/1e3) + " ms"
	default:
		return number(us) + " µs"
	}
}

// percent prints a share.
func percent(share float64) string { return number(100*share) + "%" }

// verdict compares a figure with a budget.
func verdict(value, budget float64) string {
	if value <= budget {
		return "fits"
	}
	return "does not fit"
}
