package bench

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

const (
	barWidth   = 12
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
)

// Plot writes a bar chart of the p99 of each rank by scenario, variant and window. The extension of the file (.svg or .png) selects the
// format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "p99 by rank"
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	var names []string
	bars := make([]plotter.Values, plans.NumRanks)
	for _, result := range r.Results {
		for _, w := range result.Windows {
			names = append(names, fmt.Sprintf("%s\n%s\n%s", result.Scenario, result.Variant, w.Name))
			for _, rank := range plans.Ranks() {
				bars[rank] = append(bars[rank], w.Rank(rank).P99)
			}
		}
	}
	for _, rank := range plans.Ranks() {
		chart, err := plotter.NewBarChart(bars[rank], vg.Points(barWidth))
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(int(rank))
		chart.Offset = vg.Points(barWidth * float64(int(rank)-1))
		p.Add(chart)
		p.Legend.Add(rank.String(), chart)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}
