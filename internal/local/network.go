package local

import (
	"net"
	"slices"
	"sync"
	"time"
)

// LinkRule determines the treatment of packets from one node to another.
type LinkRule struct {
	// Drop discards all packets.
	Drop bool
	// Delay is the one-way latency.
	Delay time.Duration
}

// link identifies the sender and the receiver of packets.
type link struct {
	from string
	to   string
}

// Network emulates latency and packet loss between the nodes of one process. It is safe for concurrent use.
type Network struct {
	mu    sync.RWMutex
	rules map[link]LinkRule
	// nodesByAddress maps UDP addresses to node ids.
	nodesByAddress map[string]string
}

// NewNetwork returns a network without latency and loss.
func NewNetwork() *Network {
	return &Network{rules: make(map[link]LinkRule), nodesByAddress: make(map[string]string)}
}

// SetRule sets the rule for packets from one node to another.
func (n *Network) SetRule(from, to string, rule LinkRule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[link{from: from, to: to}] = rule
}

// Partition drops all packets between two sets of nodes in both directions.
func (n *Network) Partition(side, other []string) {
	n.setDrop(side, other, true)
}

// Heal ends a partition between two sets of nodes. Delays remain.
func (n *Network) Heal(side, other []string) {
	n.setDrop(side, other, false)
}

func (n *Network) setDrop(side, other []string, drop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range side {
		for _, b := range other {
			for _, d := range []link{{from: a, to: b}, {from: b, to: a}} {
				rule := n.rules[d]
				rule.Drop = drop
				n.rules[d] = rule
			}
		}
	}
}

// wrapSocket wraps the UDP socket of a node.
func (n *Network) wrapSocket(name string, conn net.PacketConn) net.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodesByAddress[conn.LocalAddr().String()] = name
	return &emulatedSocket{PacketConn: conn, name: name, network: n}
}

func (n *Network) rule(from, address string) LinkRule {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.rules[link{from: from, to: n.nodesByAddress[address]}]
}

// emulatedSocket applies the rules of a network to the packets that a node sends.
type emulatedSocket struct {
	net.PacketConn
	name    string
	network *Network
}

// SetReadBuffer sets the size of the socket buffer. The QUIC library calls it if the socket has it.
func (s *emulatedSocket) SetReadBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the socket buffer. The QUIC library calls it if the socket has it.
func (s *emulatedSocket) SetWriteBuffer(bytes int) error {
	return s.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// WriteTo sends, delays or drops a packet. A dropped packet is reported as sent, as on a real network.
func (s *emulatedSocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	rule := s.network.rule(s.name, to.String())
	switch {
	case rule.Drop:
		return len(packet), nil
	case rule.Delay > 0:
		delayed := slices.Clone(packet)
		time.AfterFunc(rule.Delay, func() { _, _ = s.PacketConn.WriteTo(delayed, to) })
		return len(packet), nil
	default:
		return s.PacketConn.WriteTo(packet, to)
	}
}
