// Package expo writes a registry of metrics as the text that common collectors read: one line for each value, with quantiles of
// histograms as labels.
package expo

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix begins each name, so that names of several programs do not meet.
const prefix = "fireflylanding_"

var quantiles = []float64{0.5, 0.95, 0.99}

// Write writes all metrics in the order of their names. Its error is that of the writer.
func Write(w io.Writer, registry metrics.Registry) error {
	byName := make(map[string]any)
	var names []string
	registry.Each(func(name string, metric any) {
		byName[name] = metric
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		if err := write(w, clean(name), byName[name]); err != nil {
			return err
		}
	}
	return nil
}

func write(w io.Writer, name string, metric any) error {
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

// clean turns a name into one that collectors accept.
func clean(name string) string {
	return prefix + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
