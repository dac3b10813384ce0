package broken

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Answer is what a Server sends in answer to a request.
type Answer struct {
	// Message is sent as it is. If Closes is set, the connection is closed after it.
	Message string
	Closes  bool
	// Extra is sent on the idle connection, extraDelay after Message. It answers no request.
	Extra string
	// Repeat is sent after Message again and again until the client closes the connection.
	Repeat string
	// Watched marks the connection for Server.Watched.
	Watched bool
}

const (
	// extraDelay lets a client read the message before the extra bytes arrive.
	extraDelay   = 20 * time.Millisecond
	extraTimeout = 5 * time.Second
)

// Server is a stand-in of an HTTP server that answers each request with bytes that a test chooses. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   func(request *fasthttp.Request) Answer
	tasks    sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections, and whether they are watched. extras counts the extra bytes that were sent.
	conns  map[net.Conn]bool
	extras int
	closed bool
}

// Start starts a server on a loopback port. Calls of answer run concurrently.
func Start(answer func(request *fasthttp.Request) Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, answer: answer, conns: make(map[net.Conn]bool)}
	s.tasks.Go(s.accept)
	return s, nil
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Watched returns the number of open connections that have carried a watched answer.
func (s *Server) Watched() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, watched := range s.conns {
		if watched {
			n++
		}
	}
	return n
}

// AwaitExtra waits until extra bytes were sent n times, and reports whether they were within extraTimeout.
func (s *Server) AwaitExtra(n int) bool {
	for end := time.Now().Add(extraTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		sent := s.extras
		s.mu.Unlock()
		if sent >= n {
			return true
		}
	}
	return false
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	// Errors do not matter, since nothing is used after this.
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			_ = conn.Close()
		} else {
			s.conns[conn] = false
			s.tasks.Go(func() { s.serve(conn) })
		}
		s.mu.Unlock()
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request := &fasthttp.Request{}
		if err := request.Read(reader); err != nil {
			return
		}
		answer := s.answer(request)
		if answer.Watched {
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
		}
		if _, err := conn.Write([]byte(answer.Message)); err != nil || answer.Closes {
			return
		}
		if answer.Repeat != "" {
			writeEndless(conn, []byte(answer.Repeat))
			return
		}
		if answer.Extra == "" {
			continue
		}
		time.Sleep(extraDelay)
		if _, err := conn.Write([]byte(answer.Extra)); err != nil {
			return
		}
		s.mu.Lock()
		s.extras++
		s.mu.Unlock()
	}
}

func writeEndless(conn net.Conn, repeat []byte) {
	for {
		if _, err := conn.Write(repeat); err != nil {
			return
		}
	}
}

// Sound returns a sound response with a status and a body.
func Sound(status, fields, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + fields + length(body) + "\r\n" + body
}
