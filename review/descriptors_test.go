//go:build review

package review

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["descriptors"] = descriptors }

const (
	// burstFactor and burstTime are the largest burst of all traffic.
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	// removeGap is the pause between two stops of roll_term.
	removeGap = 2 * time.Second
	// socketLimit is what 4,100 descriptors leave for sockets, and the few other descriptors of a node.
	socketLimit = 3900 + 10
)

// descriptors removes the machines of a site but one, in turn, and lets a burst come to that one. Each user sends one request on a connection of
// its own, which stays open until the node's idle limit closes it. Afterwards all users leave, and a few come back.
func descriptors(w *world) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*socketLimit {
		w.finish(2, "the callers need %d descriptors, the limit is %d", 2*socketLimit, limit.Cur)
		return
	}
	w.addSite("safe")
	var nodeZones []string
	for i := range 8 {
		nodeZones = append(nodeZones, zones[i%len(zones)])
	}
	if !w.startNodes(nodeZones, socketLimit) {
		return
	}
	last := w.nodes[0]
	done := make(chan struct{})
	var directories []*directory
	for _, zone := range zones {
		directories = append(directories, w.watchDirectory(done, zone))
	}
	var users sync.WaitGroup
	leave := make(chan struct{})
	refused := 0
	var mu sync.Mutex
	visit := func(n *node, i int) {
		users.Add(1)
		go func() {
			defer users.Done()
			k := numbered(i)
			c, err := connect(n)
			if err != nil {
				mu.Lock()
				refused++
				mu.Unlock()
				return
			}
			defer c.conn.Close()
			if !w.send(c, w.begin(n, k), http.MethodGet, k.path, "", k.deadline) {
				return
			}
			// A browser keeps the connection until the server closes it.
			closed := make(chan struct{})
			go func() {
				_ = c.conn.SetDeadline(time.Time{})
				_, _ = c.reader.ReadByte()
				close(closed)
			}()
			select {
			case <-closed:
			case <-leave:
			}
		}()
	}
	begin := w.now()
	const arrivals = 35 * time.Second
	removeAt, burstAt, inspectAt := begin+2*time.Second, begin+30*time.Second, begin
	remaining := w.nodes[1:]
	due := 0.0
	for before, i := w.now(), 0; w.now() < begin+arrivals; time.Sleep(2 * time.Millisecond) {
		now := w.now()
		rate := siteRate
		if w.trouble && now >= burstAt && now < burstAt+burstTime {
			rate *= burstFactor
		}
		due += rate * (now - before).Seconds()
		before = now
		for ; due >= 1; due-- {
			i++
			if n := directories[i%len(directories)].random(); n != nil {
				visit(n, i)
			}
		}
		if w.trouble && len(remaining) > 0 && now >= removeAt {
			remaining[0].removed.Store(true)
			w.signal(remaining[0], "TERM")
			remaining, removeAt = remaining[1:], removeAt+removeGap
		}
		if now >= inspectAt {
			inspectAt += time.Second
			w.say("inspect %s", last.name)
		}
	}
	w.note("all users leave; %d connections were refused", refused)
	close(leave)
	close(done)
	users.Wait()
	w.say("inspect %s", last.name)
	// Beyond the time in which a pressed node counts as slowed.
	time.Sleep(2 * contact)
	w.say("inspect %s", last.name)
	w.note("readiness check of %s: status %d", last.name, w.ready(last))
	named, _ := w.resolve(zones[0])
	w.note("the directory names %d nodes", len(named))
	unanswered, asked := w.comeBack(last)
	w.recordRequests()
	if 2*unanswered > asked {
		w.finish(1, "%d of %d requests have no answer half a second after the timeout of their route", unanswered, asked)
		return
	}
	w.finish(0, "%d of %d requests have no answer half a second after the timeout of their route", unanswered, asked)
}

// comeBack sends some requests to a node, each on a new connection, and returns how many had no answer half a second after their route's
// timeout.
func (w *world) comeBack(n *node) (unanswered, asked int) {
	const requests = 40
	var callers sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		asked++
		callers.Add(1)
		go func() {
			defer callers.Done()
			r := w.begin(n, archiveSearch)
			c, err := connect(n)
			if err != nil {
				w.end(r, 0, "no connection: %v", err)
				return
			}
			defer c.conn.Close()
			w.send(c, r, http.MethodGet, archiveSearch.path, "", archiveSearch.deadline+500*time.Millisecond)
			if r.status == 0 && r.endedAt-r.sentAt >= archiveSearch.deadline+500*time.Millisecond {
				mu.Lock()
				unanswered++
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return unanswered, asked
}
