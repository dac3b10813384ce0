package edge

import (
	"testing"
	"time"
)

// Guards against a retry delay that callers do not follow, so that they come back at once or not at all.
func TestRefusalDelay(t *testing.T) {
	tests := map[string]struct{ timeout, want time.Duration }{
		"unknown": {want: refusalRetryAfter},
		"long":    {timeout: time.Second, want: refusalRetryAfter},
		"short":   {timeout: 90 * time.Millisecond, want: 30 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := refusalDelay(test.timeout); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
