package stall

import (
	"testing"
	"time"
)

func ms(n int) int64 { return int64(time.Duration(n) * time.Millisecond) }

// TestSilent guards against closing a connection whose searcher is merely slow, and against keeping one that is dead.
func TestSilent(t *testing.T) {
	const limit = 250 * time.Millisecond
	tests := map[string]struct {
		pending  int64
		now      int64
		answered int64
		want     bool
	}{
		"no request":                {idle, ms(1000), ms(900), false},
		"condemned":                 {condemned, ms(1000), ms(900), false},
		"young with witness":        {ms(100), ms(350), ms(200), false},
		"overdue with witness":      {ms(100), ms(351), ms(200), true},
		"overdue without witness":   {ms(100), ms(351), 0, false},
		"witness was written first": {ms(100), ms(351), ms(99), false},
		"witness written together":  {ms(100), ms(351), ms(100), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := silent(state{pending: test.pending}, test.now, test.answered, limit)
			if got != test.want {
				t.Errorf("silent: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestNeedsProbe guards against a silent searcher that is never probed and against a flood of probes.
func TestNeedsProbe(t *testing.T) {
	const limit = 250 * time.Millisecond
	overdue := state{opened: 1, pending: ms(100)}
	tests := map[string]struct {
		states   []state
		answered int64
		want     bool
	}{
		"no connection":               {nil, 0, false},
		"idle":                        {[]state{{opened: 1}}, 0, false},
		"young":                       {[]state{{opened: 1, pending: ms(300)}}, 0, false},
		"overdue":                     {[]state{overdue}, 0, true},
		"overdue with witness":        {[]state{overdue}, ms(101), false},
		"all overdue":                 {[]state{overdue, {opened: 1, pending: ms(120)}}, 0, true},
		"probe under way":             {[]state{overdue, {opened: ms(360), pending: ms(361)}}, 0, false},
		"young request on old one":    {[]state{overdue, {opened: 1, pending: ms(361)}}, 0, true},
		"new connection without work": {[]state{overdue, {opened: ms(360)}}, 0, true},
		"probe overdue":               {[]state{overdue, {opened: ms(110), pending: ms(111)}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := needsProbe(test.states, ms(400), test.answered, limit); got != test.want {
				t.Errorf("needsProbe: got %v, want %v", got, test.want)
			}
		})
	}
}
