package hedge

import "testing"

// TestNeverSendsNoHedge guards against a Never mode, the baseline of load tests, that sends hedges.
func TestNeverSendsNoHedge(t *testing.T) {
	for name, test := range map[string]struct {
		mode Mode
		want bool
	}{
		"default": {mode: nil, want: true},
		"never":   {mode: Never{}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(Settings{Mode: test.mode})
			h.Sent(10 * hedgeCost)
			if got := h.Allow(0); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
