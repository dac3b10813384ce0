package node

import (
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/status"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Guards against a node that accepts work it cannot serve, refuses work while the directory may still list it, or reports a wrong
// state.
func TestPhases(t *testing.T) {
	tests := map[string]struct {
		phase        int32
		wantRefusal  wire.Reason
		wantState    status.State
		wantStopping bool
	}{
		"starting": {phaseStarting, wire.Reason_REASON_NOT_READY, status.Starting, false},
		"ready":    {phaseReady, wire.Reason_REASON_UNSPECIFIED, status.Ready, false},
		"resuming": {phaseResuming, wire.Reason_REASON_NOT_READY, status.Resuming, false},
		"leaving":  {phaseLeaving, wire.Reason_REASON_UNSPECIFIED, status.Stopping, true},
		"refusing": {phaseRefusing, wire.Reason_REASON_STOPPING, status.Stopping, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p phase
			p.set(test.phase)
			got := wire.Reason_REASON_UNSPECIFIED
			if refusal := p.refusal(); refusal != nil {
				got = refusal.Reason()
			}
			if got != test.wantRefusal || p.state() != test.wantState || p.stopping() != test.wantStopping {
				t.Errorf("got %v, %v, stopping %v; want %v, %v, %v", got, p.state(), p.stopping(), test.wantRefusal, test.wantState, test.wantStopping)
			}
			// A pause must not return a stopping node to service.
			p.transition(phaseReady, phaseResuming)
			p.transition(phaseResuming, phaseReady)
			if p.stopping() != test.wantStopping {
				t.Errorf("after a pause: got stopping %v, want %v", p.stopping(), test.wantStopping)
			}
		})
	}
}

// Guards against a resumed process that serves requests from stale views before its next tick detects the pause.
func TestGateNoticesPauseBeforeTick(t *testing.T) {
	lastTick := time.Unix(1000, 0)
	tests := map[string]struct {
		tickedAt time.Time
		now      time.Time
		want     wire.Reason
	}{
		"before the first tick": {now: lastTick},
		"between ticks":         {tickedAt: lastTick, now: lastTick.Add(tickInterval)},
		"after a pause":         {tickedAt: lastTick, now: lastTick.Add(time.Hour), want: wire.Reason_REASON_NOT_READY},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{clock: func() time.Time { return test.now }}
			n.phase.set(phaseReady)
			if !test.tickedAt.IsZero() {
				n.tickedAt.Store(test.tickedAt.UnixNano())
			}
			got := wire.Reason_REASON_UNSPECIFIED
			if refusal := n.gate(); refusal != nil {
				got = refusal.Reason()
			}
			if got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
