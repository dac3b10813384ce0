//go:build review

package review

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["hangup"] = hangup }

// numCallers is about half of the consumers of a small deployment.
const numCallers = 60

// hangup stops a node that serves callers and tells it during the stop that its settings file has changed.
func hangup(w *world) {
	w.addSite("safe")
	if !w.startNodes([]string{zones[0], zones[0]}, 0) {
		return
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range numCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			k := archiveSearch
			if i%2 == 0 {
				k = orderLookup
			}
			w.keepAsking(done, i%4 == 0, i%3 > 0, k)
		}()
	}
	time.Sleep(2 * time.Second)
	stopped := w.nodes[0]
	w.signal(stopped, "TERM")
	stopAt := w.now()
	if w.trouble {
		time.Sleep(200 * time.Millisecond)
		w.signal(stopped, "HUP")
	}
	// The stop time is 6 s.
	time.Sleep(stopAt + 7*time.Second - w.now())
	close(done)
	callers.Wait()
	w.recordRequests()
	runs := w.ran()
	lost := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		if r.node == stopped.name && r.broken && r.endedAt < stopAt+7*time.Second && len(runs[r.id]) > 0 {
			lost++
			w.note("LOST: request %s was passed on to a searcher and its connection ended: %s", r.id, r.outcome)
		}
	}
	if lost > 0 {
		w.finish(1, "%d requests that were passed on to searchers got no answer during the planned stop", lost)
		return
	}
	w.finish(0, "no request was cut off")
}

// keepAsking sends requests one after the other until done. Like a consumer it connects to a random address of the directory's answer, which
// it keeps for its validity time or, if patient, for three times as long, and excludes addresses that have failed it meanwhile. It keeps its
// connection, or opens a new one for each request.
func (w *world) keepAsking(done <-chan struct{}, patient, reconnects bool, k kind) {
	var c *caller
	var at *node
	var addresses []*node
	var expires time.Time
	failed := make(map[*node]bool)
	for {
		select {
		case <-done:
			if c != nil {
				_ = c.conn.Close()
			}
			return
		default:
		}
		if time.Now().After(expires) || len(addresses) == len(failed) {
			if found, validity := w.resolve(zones[0]); len(found) > 0 {
				if patient {
					validity *= 3
				}
				addresses, expires = found, time.Now().Add(validity)
				clear(failed)
			}
		}
		if c == nil {
			at = choose(addresses, failed)
			var err error
			if at != nil {
				c, err = connect(at)
			}
			if at == nil || err != nil {
				c = nil
				failed[at] = true
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		if !w.send(c, w.begin(at, k), http.MethodGet, k.path, "", k.deadline) || reconnects {
			_ = c.conn.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// choose returns a random address that has not failed, or nil.
func choose(addresses []*node, failed map[*node]bool) *node {
	var left []*node
	for _, n := range addresses {
		if !failed[n] {
			left = append(left, n)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left[rand.IntN(len(left))]
}
