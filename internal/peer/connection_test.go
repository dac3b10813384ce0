package peer

import (
	"context"
	"testing"
)

// Guards against a new connection for each caller whose time ran out: under overload nodes opened a connection a hundred times in a few
// seconds.
func TestExpiredCallerKeepsConnection(t *testing.T) {
	from, to := start(t, echo{}), start(t, echo{})
	conn, err := from.connect(t.Context(), to.Address())
	if err != nil {
		t.Fatal(err)
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	// The choice between an open connection and an expired context is random, so one attempt may not reach the connection.
	for range 64 {
		if _, _, err := from.open(expired, to.Address()); err == nil {
			t.Fatal("got a stream for an expired caller, want an error")
		}
	}
	again, err := from.connect(t.Context(), to.Address())
	if err != nil {
		t.Fatal(err)
	}
	if again != conn {
		t.Error("got another connection after expired callers, want the same")
	}
}
