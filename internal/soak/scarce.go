package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

// scarceStream distinguishes the random numbers that select shortages.
const scarceStream = 3

const (
	// spareDescriptors is the number of descriptors that a node can still open during a shortage, and crowd that of the connections that come.
	spareDescriptors = 4
	crowd            = 60
	// queriers is the number of callers that send queries over shards to one node while searchers announce much.
	queriers      = 12
	queryInterval = 50 * time.Millisecond
	shortageTime  = 2 * time.Second
	// shortageBound is the time after a shortage within which each listener of the node must answer on a new connection.
	shortageBound = 2 * time.Second
	// memoryLimit is the limit on the memory of a node in its settings, in bytes.
	memoryLimit = stand.NodeMemoryMB << 20
)

// announcingReply announces a long chunk and sends little of it.
var announcingReply = stand.EndlessReply{Start: "%sTransfer-Encoding: chunked\r\n\r\n7ffff0\r\n", Repeat: "x", Pause: 20 * time.Millisecond}

// checkShortages uses up the descriptors of a node, lets searchers announce much more than they send, or sends bodies far over the operator's
// limit, by the draw of the round. The node must serve again afterwards, and no node may exceed its memory.
func (r *runner) checkShortages(ctx context.Context, random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		r.recordFault("descriptors used up")
		r.exhaustDescriptors(ctx, r.fleet.nodes[random.IntN(len(r.fleet.nodes))])
	case 1:
		r.recordFault("searchers announce much")
		r.announceMuch(ctx, r.fleet.nodes[random.IntN(len(r.fleet.nodes))])
	default:
		r.recordFault("bodies over the limit")
		r.sendLongBodies(ctx, r.fleet.nodes[random.IntN(len(r.fleet.nodes))])
	}
	for _, p := range r.fleet.nodes {
		if peak, err := stand.PeakMemory(p.pid()); err == nil && peak > memoryLimit {
			r.addViolation("memory", "%s has taken %d bytes, want at most %d", p.machine.Node, peak, memoryLimit)
		}
	}
}

// exhaustDescriptors leaves a node hardly any descriptors while connections of callers come that send nothing, and checks its listeners afterwards.
func (r *runner) exhaustDescriptors(ctx context.Context, p *process) {
	from := time.Now()
	before, err := limitDescriptors(p.pid())
	if err != nil {
		r.addViolation("start", "the descriptors of %s can't be limited: %v", p.machine.Node, err)
		return
	}
	conns := make([]net.Conn, 0, crowd)
	for range crowd {
		if conn, err := net.DialTimeout("tcp", p.callerAddress(), time.Second); err == nil {
			conns = append(conns, conn)
		}
	}
	delay.Sleep(ctx, shortageTime)
	for _, conn := range conns {
		_ = conn.Close()
	}
	if err := unix.Prlimit(p.pid(), unix.RLIMIT_NOFILE, &before, nil); err != nil {
		r.addViolation("start", "the descriptors of %s can't be freed: %v", p.machine.Node, err)
	}
	r.recordDisturbance(p, interval{from: from, to: time.Now().Add(contactTime)})
	for listener, address := range map[string]string{"callers": p.callerAddress(), "checks": p.readyAddress(), "directory": p.directoryAddress()} {
		if !answers(ctx, address) {
			r.addViolation("listeners", "the listener for %s of %s answers nothing %v after a shortage of descriptors", listener, p.machine.Node, shortageBound)
		}
	}
}

// limitDescriptors lets a process open at most spareDescriptors more descriptors than it has. It returns its limit before.
func limitDescriptors(pid int) (before unix.Rlimit, err error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return before, err
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return before, err
	}
	limited := unix.Rlimit{Cur: uint64(len(open) + spareDescriptors), Max: before.Max}
	return before, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limited, nil)
}

// answers reports whether a listener answers a request on a new connection, with any status, within shortageBound.
func answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, shortageBound)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// announceMuch lets all searchers announce long chunks for a while in which a node gets more queries.
func (r *runner) announceMuch(ctx context.Context, p *process) {
	impaired := r.fleet.activeSearchers()
	for _, s := range impaired {
		s.SetFault(func(string) stand.Fault { return announcingReply })
	}
	var callers conc.WaitGroup
	end := time.Now().Add(shortageTime)
	for range queriers {
		callers.Go(func() {
			client := stand.NewClient()
			for time.Now().Before(end) && ctx.Err() == nil {
				s := r.newExchange(p.machine.Node)
				r.gather(&s)
				r.send(client, p.callerAddress(), s)
				delay.Sleep(ctx, queryInterval)
			}
		})
	}
	callers.Wait()
	for _, s := range impaired {
		s.SetFault(func(string) stand.Fault { return stand.NoFault{} })
	}
	delay.Sleep(ctx, recoveryPhase)
}

// longBodies are the heads of requests with bodies far over the operator's limit, and longBodyBytes is what is sent of each body.
var longBodies = []string{
	"POST /a/1 HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 16000000\r\n\r\n",
	"POST /a/1 HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\nf42400\r\n",
}

const longBodyBytes = 8 << 20

// sendLongBodies sends bodies over the operator's limit to the listeners of a node, on many connections at once.
func (r *runner) sendLongBodies(ctx context.Context, p *process) {
	from := time.Now()
	listeners := map[string]string{"callers": p.callerAddress(), "checks": p.readyAddress(), "directory": p.directoryAddress()}
	var callers conc.WaitGroup
	for _, address := range listeners {
		for i := range crowd {
			callers.Go(func() {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				// The node closes the connection, so that the rest can't be sent.
				_ = conn.SetDeadline(from.Add(shortageTime))
				if _, err := conn.Write([]byte(longBodies[i%len(longBodies)])); err == nil {
					_, _ = conn.Write(make([]byte, longBodyBytes))
				}
			})
		}
	}
	callers.Wait()
	r.recordDisturbance(p, interval{from: from, to: time.Now().Add(contactTime)})
	for listener, address := range listeners {
		if !answers(ctx, address) {
			r.addViolation("listeners", "the listener for %s of %s answers nothing %v after bodies over the limit", listener, p.machine.Node, shortageBound)
		}
	}
}
