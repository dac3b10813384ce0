package soak

import (
	"net"
	"sync"
	"time"
)

// LinkFault is what a proxy does to its connections: Pass, Delay, Silence or DropReplies.
type LinkFault interface{ linkFault() }

// Pass forwards bytes immediately.
type Pass struct{}

// Delay forwards bytes after a fixed delay.
type Delay struct{ By time.Duration }

// Silence reads bytes from the connections that are open now and forwards none; new connections are not affected.
type Silence struct{}

// DropReplies forwards requests and drops replies, also on new connections.
type DropReplies struct{}

func (Pass) linkFault()        {}
func (Delay) linkFault()       {}
func (Silence) linkFault()     {}
func (DropReplies) linkFault() {}

// proxy forwards TCP connections to a target and applies a fault to them on request. It is safe for concurrent use.
type proxy struct {
	at     string
	target string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	fault    LinkFault
	links    map[*link]struct{}
	// cutOff returns the id of the process that is cut off; it is nil if none is.
	cutOff func() int
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn
	// silent drops all bytes in both directions. Once set, it stays set until the link closes.
	silent bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{at: listener.Addr().String(), listener: listener, target: target, fault: Pass{}, links: make(map[*link]struct{})}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.at }

// setFault changes the fault. Silence applies to the links that are open now, permanently; the other faults apply to all links until the
// next of them is set.
func (p *proxy) setFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := f.(Silence); ok {
		for l := range p.links {
			l.silent = true
		}
		return
	}
	p.fault = f
}

// cutCaller silences the open links of a process, whose sockets are given, and resets those that it opens from now on.
func (p *proxy) cutCaller(held map[string]bool, pid func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = pid
	for l := range p.links {
		l.silent = l.silent || owns(held, l.caller)
	}
}

// endCut ends the cut for new links.
func (p *proxy) endCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutOff = nil
}

// resetLinks closes the open links with a TCP reset.
func (p *proxy) resetLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, conn := range []net.Conn{l.caller, l.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				// On a closed connection this returns an error, and there is nothing left to reset.
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.resetLinks()
}

// refuse resets the open links and refuses new ones for a while.
func (p *proxy) refuse(length time.Duration) {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.resetLinks()
	time.AfterFunc(length, p.listenAgain)
}

func (p *proxy) listenAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	listener, err := net.Listen("tcp", p.at)
	if err != nil {
		// Another process has the port now; the searcher stays cut off.
		return
	}
	if p.closed {
		_ = listener.Close()
		return
	}
	p.listener = listener
	go p.accept(listener)
}

func (p *proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

func (p *proxy) connect(caller net.Conn) {
	p.mu.Lock()
	cutOff := p.cutOff
	p.mu.Unlock()
	if cutOff != nil && owns(heldSockets(cutOff()), caller) {
		if tcp, ok := caller.(*net.TCPConn); ok {
			// On a closed connection this returns an error, and there is nothing left to reset.
			_ = tcp.SetLinger(0)
		}
		_ = caller.Close()
		return
	}
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(l, target, caller, false) })
	both.Go(func() { p.copy(l, caller, target, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy forwards bytes until either end closes. reply is set for the direction from the target to the caller.
func (p *proxy) copy(l *link, to, from net.Conn, reply bool) {
	// When one end closes, both directions end.
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.forwards(l, reply) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// forwards waits for the delay, if any, and reports whether the bytes are forwarded.
func (p *proxy) forwards(l *link, reply bool) bool {
	p.mu.Lock()
	fault, silent := p.fault, l.silent
	p.mu.Unlock()
	switch t := fault.(type) {
	case Delay:
		time.Sleep(t.By)
	case DropReplies:
		return !reply && !silent
	}
	return !silent
}
