package spread

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// counter counts calls of one kind, their failures and their bytes.
type counter struct {
	calls    metrics.Counter
	failures metrics.Counter
	bytesOut metrics.Counter
	bytesIn  metrics.Counter
}

func newCounter(registry metrics.Registry, kind string) counter {
	name := func(what string) string { return "spread." + kind + "." + what }
	return counter{
		calls:    metrics.GetOrRegisterCounter(name("calls"), registry),
		failures: metrics.GetOrRegisterCounter(name("failures"), registry),
		bytesOut: metrics.GetOrRegisterCounter(name("bytes_out"), registry),
		bytesIn:  metrics.GetOrRegisterCounter(name("bytes_in"), registry),
	}
}

// sent counts a call and its request.
func (c counter) sent(message proto.Message) {
	c.calls.Inc(1)
	c.bytesOut.Inc(int64(proto.Size(message)))
}

// answered counts the result of a call and the bytes of its reply.
func (c counter) answered(message proto.Message, err error) {
	if err != nil {
		c.failures.Inc(1)
		return
	}
	c.bytesIn.Inc(int64(proto.Size(message)))
}

// served counts a call that this node served for another node.
func (c counter) served(request, reply proto.Message) {
	c.calls.Inc(1)
	c.bytesIn.Inc(int64(proto.Size(request)))
	if reply != nil {
		c.bytesOut.Inc(int64(proto.Size(reply)))
	}
}

// counters counts calls and bytes by kind.
type counters struct {
	digest, push, pull                   counter
	servedDigest, servedPush, servedPull counter
	read, watch                          counter
}

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		digest:       newCounter(registry, "digest"),
		push:         newCounter(registry, "push"),
		pull:         newCounter(registry, "pull"),
		servedDigest: newCounter(registry, "served_digest"),
		servedPush:   newCounter(registry, "served_push"),
		servedPull:   newCounter(registry, "served_pull"),
		read:         newCounter(registry, "platform_read"),
		watch:        newCounter(registry, "platform_watch"),
	}
}
