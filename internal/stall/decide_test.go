package stall

import (
	"testing"
	"time"
)

func ms(n int) int64 { return int64(time.Duration(n) * time.Millisecond) }

// TestSilent guards against closing a connection whose searcher is only slow, and against keeping a dead one.
func TestSilent(t *testing.T) {
	const limit = 250 * time.Millisecond
	tests := map[string]struct {
		pending  int64
		now      int64
		answered int64
		want     bool
	}{
		"no request":                  {idle, ms(1000), ms(900), false},
		"closed as silent":            {closedSilent, ms(1000), ms(900), false},
		"not overdue, later answered": {ms(100), ms(350), ms(200), false},
		"overdue, later answered":     {ms(100), ms(351), ms(200), true},
		"overdue, none answered":      {ms(100), ms(351), 0, false},
		"earlier answered":            {ms(100), ms(351), ms(99), false},
		"simultaneous answered":       {ms(100), ms(351), ms(100), false},
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

// TestNeedsProbe guards against a silent searcher that is never probed, and against too many probes.
func TestNeedsProbe(t *testing.T) {
	const limit = 250 * time.Millisecond
	overdue := state{opened: 1, pending: ms(100)}
	tests := map[string]struct {
		states   []state
		answered int64
		want     bool
	}{
		"no connection":                    {nil, 0, false},
		"idle":                             {[]state{{opened: 1}}, 0, false},
		"not overdue":                      {[]state{{opened: 1, pending: ms(300)}}, 0, false},
		"overdue":                          {[]state{overdue}, 0, true},
		"overdue, later answered":          {[]state{overdue}, ms(101), false},
		"all overdue":                      {[]state{overdue, {opened: 1, pending: ms(120)}}, 0, true},
		"probe pending":                    {[]state{overdue, {opened: ms(360), pending: ms(361)}}, 0, false},
		"recent request on old connection": {[]state{overdue, {opened: 1, pending: ms(361)}}, 0, true},
		"new connection without request":   {[]state{overdue, {opened: ms(360)}}, 0, true},
		"probe overdue":                    {[]state{overdue, {opened: ms(110), pending: ms(111)}}, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := needsProbe(test.states, ms(400), test.answered, limit); got != test.want {
				t.Errorf("needsProbe: got %v, want %v", got, test.want)
			}
		})
	}
}
