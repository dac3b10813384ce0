package soak

import (
	"net"
	"sync"
	"time"
)

// LinkFault is what a proxy does to connections: Pass, Delay, Silence or CutOneWay.
type LinkFault interface{ linkFault() }

// Pass passes bytes on at once.
type Pass struct{}

// Delay passes bytes on later.
type Delay struct{ By time.Duration }

// Silence takes bytes and passes none on; new connections work.
type Silence struct{}

// DropReplies passes requests on and drops replies, also of new connections.
type DropReplies struct{}

func (Pass) linkFault()        {}
func (Delay) linkFault()       {}
func (Silence) linkFault()     {}
func (DropReplies) linkFault() {}

// proxy passes TCP connections on to a target and troubles them on request. It is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault LinkFault
	links map[*link]struct{}
}

// link is one connection through a proxy.
type link struct {
	caller, target net.Conn
	// silent is set for the rest of the link's life.
	silent bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, fault: Pass{}, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault changes the trouble. Silence holds for the links that are open now, for good; the others hold for all links until the next call.
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

// resetLinks resets the open links.
func (p *proxy) resetLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		for _, conn := range []net.Conn{l.caller, l.target} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				// A closed connection resets nothing any more.
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetLinks()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

func (p *proxy) connect(caller net.Conn) {
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

// copy passes bytes on until either end closes. Reply is set for the way back.
func (p *proxy) copy(l *link, to, from net.Conn, reply bool) {
	// Either end's close ends both ways.
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

// forwards waits out a delay and reports whether bytes go on.
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
