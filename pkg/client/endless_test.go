package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/broken"
	"github.com/fireflylanding/fireflylanding/pkg/client"
)

// Guards against answers without an end that take the memory of the caller, or the time of questions to other entries.
func TestEndlessAnswers(t *testing.T) {
	const (
		questions = 40
		// maxGrowth is the greatest growth of the heap with its garbage: four times what answers in reading may take.
		maxGrowth = 128 << 20
	)
	for name, endless := range broken.Endless(16 << 20) {
		t.Run(name, func(t *testing.T) {
			c, faulty := newRawEntry(t)
			faulty.setQuery(func(string) broken.Answer { return endless })
			sound, _ := newRawEntry(t)
			stop := broken.PeakHeap()
			var asked conc.WaitGroup
			for range questions {
				asked.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
					defer cancel()
					if _, err := c.Ask(ctx, client.NewQuestion("p", "c", "q")); client.AsRefusal(err) == nil {
						t.Errorf("got error %v, want a refusal", err)
					}
				})
			}
			for range questions {
				if _, err := sound.Ask(t.Context(), client.NewQuestion("p", "c", "q")); err != nil {
					t.Errorf("got error %v of another client, want none", err)
				}
			}
			asked.Wait()
			if got := stop(); got > maxGrowth {
				t.Errorf("got %d MB of heap, want at most %d", got>>20, maxGrowth>>20)
			}
			faulty.awaitClosed(t)
		})
	}
}
