package relay

import (
	"bytes"
	"sync"
	"testing"
)

// Guards against an attempt that sends bytes of the next request on the caller's connection, since it copies the request after the request has
// ended. The race detector sees the copy that comes too late.
func TestRequestIsCopiedBeforeItEnds(t *testing.T) {
	for range 200 {
		body := []byte("the first request")
		a := &attempt{deadline: start, cutoff: start}
		var message []byte
		var sender sync.WaitGroup
		sender.Go(func() { message, _ = a.beginSending(func() []byte { return bytes.Clone(body) }) })
		sent := a.endBy(start)
		copy(body, "the next request!")
		sender.Wait()
		if sent != (message != nil) {
			t.Fatalf("got message %q, want one only if the attempt counts as sent: %v", message, sent)
		}
		if sent && string(message) != "the first request" {
			t.Fatalf("got message %q, want the first request", message)
		}
	}
}
