package sizing

import (
	"net"
	"sync/atomic"
)

// datagramOverhead is the IPv4 and UDP headers of a packet, in bytes.
const datagramOverhead = 28

// traffic counts the packets that some sockets send. On loopback, what all sockets send is what all receive.
type traffic struct {
	packets atomic.Int64
	bytes   atomic.Int64
}

// wireBytes returns the bytes sent with headers.
func (t *traffic) wireBytes() float64 {
	return float64(t.bytes.Load() + datagramOverhead*t.packets.Load())
}

// wrap counts what a UDP socket sends. The result keeps the methods that the QUIC library looks for.
func (t *traffic) wrap(conn net.PacketConn) net.PacketConn {
	if udp, ok := conn.(*net.UDPConn); ok {
		return &countingSocket{UDPConn: udp, traffic: t}
	}
	return conn
}

type countingSocket struct {
	*net.UDPConn
	traffic *traffic
}

// WriteTo counts and sends a packet.
func (s *countingSocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	s.count(packet)
	return s.UDPConn.WriteTo(packet, to)
}

// maxPacketBytes is the greatest QUIC packet; the library passes several at once to the kernel, which splits them.
const maxPacketBytes = 1452

// WriteMsgUDP counts and sends one packet, or several that the kernel splits.
func (s *countingSocket) WriteMsgUDP(packet, control []byte, to *net.UDPAddr) (int, int, error) {
	s.count(packet)
	return s.UDPConn.WriteMsgUDP(packet, control, to)
}

func (s *countingSocket) count(packet []byte) {
	s.traffic.bytes.Add(int64(len(packet)))
	s.traffic.packets.Add(int64((len(packet) + maxPacketBytes - 1) / maxPacketBytes))
}
