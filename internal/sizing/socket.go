package sizing

import (
	"net"
	"sync/atomic"
)

// datagramOverhead is the size of the IPv4 and UDP headers of a packet in bytes.
const datagramOverhead = 28

// traffic counts the packets sent by its sockets. On loopback, this is also the number of packets they receive in total.
type traffic struct {
	packets atomic.Int64
	bytes   atomic.Int64
}

// wireBytes returns the number of bytes sent, including headers.
func (t *traffic) wireBytes() float64 {
	return float64(t.bytes.Load() + datagramOverhead*t.packets.Load())
}

// wrap returns a socket that counts the packets sent by a UDP socket. It retains the methods that the QUIC library looks for.
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

// maxPacketBytes is the maximum size of a QUIC packet. The library passes several packets at once to the kernel, which splits them.
const maxPacketBytes = 1452

// WriteMsgUDP counts and sends one packet, or several packets that the kernel splits.
func (s *countingSocket) WriteMsgUDP(packet, control []byte, to *net.UDPAddr) (int, int, error) {
	s.count(packet)
	return s.UDPConn.WriteMsgUDP(packet, control, to)
}

func (s *countingSocket) count(packet []byte) {
	s.traffic.bytes.Add(int64(len(packet)))
	s.traffic.packets.Add(int64((len(packet) + maxPacketBytes - 1) / maxPacketBytes))
}
