package local

import (
	"net"
	"testing"
	"time"
)

// TestNetworkRules guards against partitions and delays that do not take effect or do not end. Other tests rely on them.
func TestNetworkRules(t *testing.T) {
	network := NewNetwork()
	sockets := make(map[string]net.PacketConn)
	for _, name := range []string{"a", "b"} {
		conn, err := net.ListenPacket("udp", loopback)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		sockets[name] = network.wrapSocket(name, conn)
	}
	const delay = 50 * time.Millisecond
	tests := []struct {
		name    string
		change  func()
		wantMin time.Duration
		lost    bool
	}{
		{name: "no rule", change: func() {}},
		{name: "delay", change: func() { network.SetRule("a", "b", LinkRule{Delay: delay}) }, wantMin: delay},
		{name: "partition", change: func() { network.Partition([]string{"b"}, []string{"a"}) }, lost: true},
		{name: "healed keeps the delay", change: func() { network.Heal([]string{"a"}, []string{"b"}) }, wantMin: delay},
	}
	for _, test := range tests {
		test.change()
		start := time.Now()
		if _, err := sockets["a"].WriteTo([]byte(test.name), sockets["b"].LocalAddr()); err != nil {
			t.Fatal(err)
		}
		wait := 5 * time.Second
		if test.lost {
			wait = 2 * delay
		}
		_ = sockets["b"].SetReadDeadline(start.Add(wait))
		buffer := make([]byte, 64)
		n, _, err := sockets["b"].ReadFrom(buffer)
		if (err != nil) != test.lost {
			t.Fatalf("%s: got %v, want lost %v", test.name, err, test.lost)
		}
		if elapsed := time.Since(start); !test.lost && (string(buffer[:n]) != test.name || elapsed < test.wantMin) {
			t.Errorf("%s: got %q after %v, want it after at least %v", test.name, buffer[:n], elapsed, test.wantMin)
		}
	}
}
