// Package expo writes a metrics registry in the Prometheus text exposition format. Histograms are written as summaries with quantile
// labels.
package expo

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix starts each metric name, so that it does not collide with the metrics of other programs.
const prefix = "fireflylanding_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics, sorted by name. It returns the first error of the writer.
func Write(w io.Writer, registry metrics.Registry) error {
	byName := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		byName[name] = metric
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		if err := writeMetric(w, sanitizeName(name), byName[name]); err != nil {
			return err
		}
	}
	return nil
}

func writeMetric(w io.Writer, name string, metric any) error {
	var err error
	switch metric := metric.(type) {
	case metrics.Counter:
		_, err = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, metric.Count())
	case metrics.Gauge:
		_, err = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, metric.Value())
	case metrics.GaugeFloat64:
		_, err = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, metric.Value())
	case metrics.Histogram:
		err = writeHistogram(w, name, metric.Snapshot())
	}
	return err
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) error {
	if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
		return err
	}
	for i, value := range h.Percentiles(quantiles) {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_count %d\n", name, h.Count())
	return err
}

// sanitizeName returns the name in a form that Prometheus accepts: with the prefix, and with an underscore in place of every character
// other than an ASCII letter, a digit or an underscore.
func sanitizeName(name string) string {
	return prefix + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
