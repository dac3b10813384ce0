package expo

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Guards against metric names that collectors reject, and against omitted metrics.
func TestWrite(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("reasons.over_rate", registry).Inc(3)
	metrics.NewRegisteredGauge("store age-ms", registry).Update(7)
	metrics.NewRegisteredGaugeFloat64("load", registry).Update(0.5)
	metrics.NewRegisteredHistogram("latency_us.a/b", registry, metrics.NewUniformSample(10)).Update(42)
	var out strings.Builder
	if err := Write(&out, registry); err != nil {
		t.Fatal(err)
	}
	want := `# TYPE fireflylanding_latency_us_a_b summary
fireflylanding_latency_us_a_b{quantile="0.5"} 42
fireflylanding_latency_us_a_b{quantile="0.95"} 42
fireflylanding_latency_us_a_b{quantile="0.99"} 42
fireflylanding_latency_us_a_b_count 1
# TYPE fireflylanding_load gauge
fireflylanding_load 0.5
# TYPE fireflylanding_reasons_over_rate counter
fireflylanding_reasons_over_rate 3
# TYPE fireflylanding_store_age_ms gauge
fireflylanding_store_age_ms 7
`
	if got := out.String(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
