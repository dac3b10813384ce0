package sizing

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/fireflylanding/fireflylanding/internal/certs"
	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/peer"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// linkSettle is the time after the handshakes until connections send only keep-alives.
	linkSettle = 3 * time.Second
	// linkWindow is the observation time of idle connections. Keep-alives are sent every second.
	linkWindow = 6 * time.Second
)

// linkCounts are the numbers of connections of the measured node.
var linkCounts = []float64{8, 16, 32, 64, 128, 256}

// silentHandler returns empty replies and ignores all other messages.
type silentHandler struct{}

func (silentHandler) Batch(context.Context, *wire.Batch, func(*wire.BatchReply) error) {}
func (silentHandler) Cancel(context.Context, *wire.Cancel)                             {}
func (silentHandler) Forward(context.Context, *wire.Forward) *wire.Answer              { return &wire.Answer{} }
func (silentHandler) Digest(context.Context, *wire.Digest) *wire.Digest                { return &wire.Digest{} }
func (silentHandler) Push(context.Context, *wire.Push)                                 {}
func (silentHandler) Pull(context.Context, *wire.Pull) *wire.Push                      { return &wire.Push{} }

// endpoint is a running transport with its address.
type endpoint struct {
	transport *peer.Transport
	address   shards.VM
}

// star is a star topology of transports: the first is the hub, which connects to all others.
type star struct {
	traffic traffic
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	all     []endpoint
	sockets []net.PacketConn
}

func newStar(ctx context.Context, spokes int) (*star, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &star{cancel: cancel}
	keys, err := certs.NewDevelopment(events.Discard(), time.Now)
	if err != nil {
		return s, err
	}
	for range spokes + 1 {
		var socket net.PacketConn
		if socket, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return s, err
		}
		var transport *peer.Transport
		transport, err = peer.New(s.traffic.wrap(socket), keys.ServerConfig(), keys.ClientConfig(), events.Discard(), metrics.NewRegistry())
		if err != nil {
			return s, err
		}
		s.sockets = append(s.sockets, socket)
		s.all = append(s.all, endpoint{transport: transport, address: shards.NewVM("", "", "", "", socket.LocalAddr().String())})
		s.tasks.Go(func() { transport.Serve(ctx, silentHandler{}) })
	}
	return s, nil
}

func (s *star) close() {
	s.cancel()
	for i, e := range s.all {
		_ = e.transport.Close()
		_ = s.sockets[i].Close()
	}
	s.tasks.Wait()
}

// connect opens a connection from the hub to each other transport.
func (s *star) connect(ctx context.Context) error {
	for _, spoke := range s.all[1:] {
		if _, err := s.all[0].transport.Digest(ctx, spoke.address, &wire.Digest{}); err != nil {
			return err
		}
	}
	return nil
}

// linkCost is the measured cost of all connections of a star.
type linkCost struct {
	memory    float64
	handshake float64
	cpu       float64
	idleBytes float64
	idleCPU   float64
}

func measureStar(ctx context.Context, spokes int) (linkCost, error) {
	var result linkCost
	s, err := newStar(ctx, spokes)
	defer s.close()
	if err != nil {
		return result, err
	}
	before, beforeCPU := heapBytes(), processCPU()
	if err = s.connect(ctx); err != nil {
		return result, err
	}
	result.cpu = float64(processCPU()-beforeCPU) / microsecond
	result.handshake = s.traffic.wireBytes()
	if !delay.Sleep(ctx, linkSettle) {
		return result, ctx.Err()
	}
	result.memory = heapBytes() - before
	beforeBytes := s.traffic.wireBytes()
	beforeCPU = processCPU()
	if !delay.Sleep(ctx, linkWindow) {
		return result, ctx.Err()
	}
	result.idleBytes = (s.traffic.wireBytes() - beforeBytes) / linkWindow.Seconds()
	result.idleCPU = float64(processCPU()-beforeCPU) / microsecond / linkWindow.Seconds()
	return result, nil
}

// measureLinks measures the cost of connections between nodes, including both ends.
func measureLinks(ctx context.Context) ([]Slope, error) {
	values := make([][]float64, 5)
	for _, count := range linkCounts {
		l, err := measureStar(ctx, int(count))
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{l.memory, l.handshake, l.cpu, l.idleBytes, l.idleCPU} {
			values[i] = append(values[i], value)
		}
	}
	return []Slope{
		NewSlope("link_memory", "memory of both ends of a connection", "B", "connection", linkCounts, values[0]),
		NewSlope("link_handshake_bytes", "bytes of a handshake and one digest, both directions", "B", "connection", linkCounts, values[1]),
		NewSlope("link_handshake_cpu", "CPU of a handshake and one digest, both ends", "µs", "connection", linkCounts, values[2]),
		NewSlope("link_idle_bytes", "bytes of an idle connection in a second, both directions", "B/s", "connection", linkCounts, values[3]),
		NewSlope("link_idle_cpu", "CPU of an idle connection in a second, both ends", "µs/s", "connection", linkCounts, values[4]),
	}, nil
}
