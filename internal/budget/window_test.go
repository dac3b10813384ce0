package budget

import (
	"testing"
	"time"
)

// TestWindowBoundsExtraAttempts guards against more extra attempts in a window than the share of first attempts plus the
// allowance.
func TestWindowBoundsExtraAttempts(t *testing.T) {
	tests := map[string]struct {
		firsts    int
		share     float64
		allowance float64
		want      int
	}{
		"nothing earned":      {firsts: 0, share: 0.2, allowance: 0, want: 0},
		"allowance only":      {firsts: 0, share: 0.2, allowance: 5, want: 5},
		"share of firsts":     {firsts: 100, share: 0.2, allowance: 0, want: 20},
		"share and allowance": {firsts: 100, share: 0.2, allowance: 5, want: 25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow(10 * time.Second)
			now := time.Unix(1_700_000_000, 0)
			for range test.firsts {
				w.RecordFirst(now)
			}
			got := 0
			for range 200 {
				if w.TryExtra(now.Add(3*time.Second), test.share, test.allowance) {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d extra attempts, want %d", got, test.want)
			}
		})
	}
}

// TestWindowForgets guards against extra attempts that old first attempts pay for, and against extra attempts that never
// leave the window.
func TestWindowForgets(t *testing.T) {
	w := NewWindow(10 * time.Second)
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		w.RecordFirst(now)
	}
	if got := w.TryExtra(now.Add(11*time.Second), 0.2, 0); got {
		t.Errorf("extra attempt after the first attempts left the window: got %v, want false", got)
	}
	if got := w.TryExtra(now.Add(11*time.Second), 0, 1); !got {
		t.Errorf("first extra attempt within the allowance: got %v, want true", got)
	}
	if got := w.TryExtra(now.Add(12*time.Second), 0, 1); got {
		t.Errorf("second extra attempt in one window: got %v, want false", got)
	}
	if got := w.TryExtra(now.Add(22*time.Second), 0, 1); !got {
		t.Errorf("extra attempt in the next window: got %v, want true", got)
	}
}

// TestWindowWhenTimeStepsBack guards against extra attempts beyond the limit when a node's clock steps back.
func TestWindowWhenTimeStepsBack(t *testing.T) {
	w := NewWindow(10 * time.Second)
	now := time.Unix(1_700_000_000, 0)
	w.RecordFirst(now)
	got := 0
	for i := range 20 {
		if w.TryExtra(now.Add(time.Duration(5-i)*time.Second), 0, 5) {
			got++
		}
	}
	if got != 5 {
		t.Errorf("got %d extra attempts, want the allowance of 5", got)
	}
}
