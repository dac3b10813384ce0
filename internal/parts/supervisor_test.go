package parts

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/events"
)

// Guards against a part that ends unnoticed, and against a planned stop that counts as a failure.
func TestSupervisor(t *testing.T) {
	broken := errors.New("broken")
	tests := map[string]struct {
		run func() error
		// stopFirst is set if the node shuts down before the part ends, timeout if the context of the stop ends by its deadline then.
		stopFirst bool
		timeout   bool
		want      string
	}{
		"error":              {run: func() error { return broken }, want: "peers: broken"},
		"return":             {run: func() error { return nil }, want: "peers: the part returned"},
		"panic":              {run: func() error { panic("no table") }, want: "no table"},
		"planned stop":       {run: func() error { return nil }, stopFirst: true},
		"error after a stop": {run: func() error { return broken }, stopFirst: true},
		"stop by a deadline": {run: func() error { return nil }, stopFirst: true, timeout: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			stop, cancel := context.WithCancel(context.Background())
			defer cancel()
			var group conc.WaitGroup
			if test.timeout {
				stop, cancel = context.WithTimeout(context.Background(), time.Microsecond)
				defer cancel()
			}
			s, ended := New(stop, events.Discard())
			if test.stopFirst {
				if !test.timeout {
					cancel()
				}
				<-ended.Done()
				if err := s.Stop(); err != nil {
					t.Errorf("got error %v of a planned stop, want none", err)
				}
			}
			s.Serve(&group, "peers", test.run)
			group.Wait()
			select {
			case <-ended.Done():
			case <-time.After(5 * time.Second):
				t.Fatal("the node goes on")
			}
			err := s.Stop()
			if got, want := err != nil, test.want != ""; got != want {
				t.Fatalf("got error %v, want one %v", err, want)
			}
			if err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %q, want it to name %q", err, test.want)
			}
		})
	}
}
