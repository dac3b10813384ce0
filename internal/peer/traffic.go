package peer

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// kind is the kind of a message between nodes. A request and its reply have the same kind.
type kind int

const (
	kindOther kind = iota
	kindBatch
	kindCancel
	kindForward
	kindDigest
	kindPush
	kindPull
	numKinds
)

var kindNames = [numKinds]string{"other", "batch", "cancel", "forward", "digest", "push", "pull"}

// kindOf returns the kind of a message. The reply to a pull is a push on the wire and counts as a pull, since it is its cost.
func kindOf(message proto.Message) kind {
	switch m := message.(type) {
	case *wire.PeerRequest:
		switch m.WhichBody() {
		case wire.PeerRequest_Batch_case:
			return kindBatch
		case wire.PeerRequest_Cancel_case:
			return kindCancel
		case wire.PeerRequest_Forward_case:
			return kindForward
		case wire.PeerRequest_Digest_case:
			return kindDigest
		case wire.PeerRequest_Push_case:
			return kindPush
		case wire.PeerRequest_Pull_case:
			return kindPull
		}
	case *wire.PeerReply:
		switch {
		case m.HasBatch():
			return kindBatch
		case m.HasAnswer():
			return kindForward
		case m.HasDigest():
			return kindDigest
		case m.HasPush():
			return kindPull
		}
	}
	return kindOther
}

// traffic counts the bytes of messages in one direction, in total and by kind. Handshakes and framing of packets are not included.
type traffic struct {
	total  metrics.Counter
	byKind [numKinds]metrics.Counter
}

func newTraffic(prefix string, registry metrics.Registry) traffic {
	t := traffic{total: metrics.NewRegisteredCounter(prefix+"_bytes", registry)}
	for k, name := range kindNames {
		t.byKind[k] = metrics.NewRegisteredCounter(prefix+"_bytes."+name, registry)
	}
	return t
}

func (t traffic) add(message proto.Message, bytes int64) {
	t.total.Inc(bytes)
	t.byKind[kindOf(message)].Inc(bytes)
}
