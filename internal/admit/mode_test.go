package admit

import (
	"testing"
	"time"
)

// TestListedLearnsNothing guards against a comparison without learned rates that in fact sheds load.
func TestListedLearnsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		rates RateMode
		want  bool
	}{
		"default": {rates: nil, want: true},
		"listed":  {rates: Listed{}, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := New(Settings{RateMode: test.rates})
			for range 2 * leastReplies {
				now = now.Add(time.Second)
				a.Feedback(now, "c", "p", 2, true)
				a.FeedbackForQuery(now, now, "c", "p", 2, true)
			}
			if _, got := a.Rate("c", "p"); got != test.want {
				t.Errorf("got a learned rate %v, want %v", got, test.want)
			}
		})
	}
}
