package intake

import "testing"

// Guards against searchers that work for queries that are late or unanswered, callers without an answer, callers that wait for a refusal, and
// urgent queries that suffer from a flood of others; and against any refusal or delay in calm. The best fixed limits give a useful share of
// 0.75 to 0.83 in the floods: shards whose searchers pause take part of the rest.
func TestPlays(t *testing.T) {
	tests := map[string]struct {
		useful float64
		// inTime is the least share in time by class.
		inTime map[string]float64
	}{
		"calm payroll":             {useful: 0.99, inTime: map[string]float64{"staff": 0.995, "name": 0.995, "payslip": 0.995}},
		"calm payroll half slow":   {useful: 0.99, inTime: map[string]float64{"staff": 0.995, "name": 0.985, "payslip": 0.995}},
		"calm exercises":           {useful: 0.99, inTime: map[string]float64{"browse": 0.995, "hint": 0.995, "grade": 0.995}},
		"payroll all x2":           {useful: 0.98, inTime: map[string]float64{"staff": 0.99, "name": 0.98, "payslip": 0.99}},
		"payroll name x20":         {useful: 0.95, inTime: map[string]float64{"staff": 0.99}},
		"payroll all x8":           {useful: 0.74},
		"payroll all x8 eager":     {useful: 0.7},
		"payroll all x8 shedding":  {useful: 0.75},
		"payroll all x20":          {useful: 0.75},
		"payroll all x5 half slow": {useful: 0.58},
		"exercises browse x20":     {useful: 0.68, inTime: map[string]float64{"hint": 0.95}},
		"exercises all x20":        {useful: 0.68, inTime: map[string]float64{"hint": 0.8}},
	}
	all := loads()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := all[name]()
			tallies := p.run(newLimited)
			t.Log(p)
			if got := p.usefulShare(); got < test.useful {
				t.Errorf("got useful share %.3f, want at least %.3f", got, test.useful)
			}
			for class, least := range test.inTime {
				if got := share(tallies[class].inTime(), tallies[class].callers); got < least {
					t.Errorf("got %.3f of %s in time, want at least %.3f", got, class, least)
				}
			}
			for class, tally := range tallies {
				if got := share(tally.unanswered, tally.callers); got > 0.02 {
					t.Errorf("got %.3f of %s without an answer, want at most 0.02", got, class)
				}
				if got := share(tally.refusedWaiting, tally.callers); got > 0.01 {
					t.Errorf("got %.3f of %s refused after a quarter of the goal, want at most 0.01", got, class)
				}
			}
		})
	}
}
