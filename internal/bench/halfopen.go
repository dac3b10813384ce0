package bench

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// trickleInterval is the interval at which a half-open caller sends the next byte of its request.
const trickleInterval = 200 * time.Millisecond

// HalfOpen opens connections to each entry on which callers send a request byte by byte and never complete it.
type HalfOpen struct{ Connections int }

func (HalfOpen) fault() {}

// halfOpen holds the connections of half-open callers.
type halfOpen struct {
	conns []net.Conn
	stop  chan struct{}
	tasks conc.WaitGroup
}

// openHalfOpen opens a number of half-open connections to each address. On an error it closes those that it opened before.
func openHalfOpen(addresses []string, connections int) (*halfOpen, error) {
	h := &halfOpen{stop: make(chan struct{})}
	for _, address := range addresses {
		for range connections {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				h.close()
				return nil, err
			}
			h.conns = append(h.conns, conn)
			h.tasks.Go(func() { h.send(conn) })
		}
	}
	return h, nil
}

// send writes the start of a request and then one byte at a time, until the entry closes the connection or close is called.
func (h *halfOpen) send(conn net.Conn) {
	if _, err := conn.Write([]byte("POST /v1/query HTTP/1.1\r\nHost: entry\r\nContent-Length: 1000\r\n\r\n{")); err != nil {
		return
	}
	ticker := time.NewTicker(trickleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			if _, err := conn.Write([]byte(" ")); err != nil {
				return
			}
		}
	}
}

func (h *halfOpen) close() {
	close(h.stop)
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.tasks.Wait()
}
