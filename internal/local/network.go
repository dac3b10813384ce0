package local

import (
	"net"
	"slices"
	"sync"
	"time"
)

// LinkRule is what happens to packets from one node to another.
type LinkRule struct {
	// Drop loses all packets.
	Drop bool
	// Delay is the one-way latency.
	Delay time.Duration
}

// direction names the sender and the receiver of packets.
type direction struct {
	from string
	to   string
}

// Network injects latency and loss between the nodes of one process. It is safe for concurrent use.
type Network struct {
	mu    sync.RWMutex
	rules map[direction]LinkRule
	// names finds a node by its UDP address.
	names map[string]string
}

// NewNetwork returns a network without latency and loss.
func NewNetwork() *Network {
	return &Network{rules: make(map[direction]LinkRule), names: make(map[string]string)}
}

// SetRule gives packets from one node to another a rule.
func (n *Network) SetRule(from, to string, rule LinkRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[direction{from: from, to: to}] = rule
}

// Partition drops all packets between two sets of nodes, in both directions.
func (n *Network) Partition(side, other []string) {
	n.drop(side, other, true)
}

// Heal ends a Cut.
func (n *Network) Heal(side, other []string) {
	n.drop(side, other, false)
}

func (n *Network) drop(side, other []string, drop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range side {
		for _, b := range other {
			for _, d := range []direction{{from: a, to: b}, {from: b, to: a}} {
				rule := n.rules[d]
				rule.Drop = drop
				n.rules[d] = rule
			}
		}
	}
}

// socket wraps the UDP socket of a node.
func (n *Network) socket(name string, conn net.PacketConn) net.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[conn.LocalAddr().String()] = name
	return &socket{PacketConn: conn, name: name, network: n}
}

func (n *Network) rule(from, address string) LinkRule {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.rules[direction{from: from, to: n.names[address]}]
}

// socket applies the rules to what a node sends.
type socket struct {
	net.PacketConn
	name    string
	network *Network
}

// SetReadBuffer is asked for by the QUIC library.
func (s *socket) SetReadBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer is asked for by the QUIC library.
func (s *socket) SetWriteBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// WriteTo sends, delays or drops a packet. A dropped packet looks sent, as on a real network.
func (s *socket) WriteTo(packet []byte, to net.Addr) (int, error) {
	rule := s.network.rule(s.name, to.String())
	switch {
	case rule.Drop:
		return len(packet), nil
	case rule.Delay > 0:
		late := slices.Clone(packet)
		time.AfterFunc(rule.Delay, func() { _, _ = s.PacketConn.WriteTo(late, to) })
		return len(packet), nil
	default:
		return s.PacketConn.WriteTo(packet, to)
	}
}
