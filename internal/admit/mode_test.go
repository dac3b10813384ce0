package admit

import (
	"testing"
	"time"
)

// TestListedLearnsNothing guards against a Listed mode, the baseline of load tests, that adapts its rate to feedback.
func TestListedLearnsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		mode RateMode
		want bool
	}{
		"default": {mode: nil, want: true},
		"listed":  {mode: Listed{}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := New(Settings{RateMode: test.mode})
			for range 2 * minReplies {
				now = now.Add(time.Second)
				a.Feedback(now, "c", "p", 2, true)
				a.FeedbackForQuery(now, now, "c", "p", 2, true)
			}
			if _, got := a.Rate("c", "p"); got != test.want {
				t.Errorf("got an adaptive rate %v, want %v", got, test.want)
			}
		})
	}
}
