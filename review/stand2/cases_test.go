//go:build review

package stand2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// TestGone has callers of a route that may not be repeated leave early while many come at once.
func TestGone(t *testing.T) {
	const (
		deadline = 8000 * time.Millisecond
		leave    = 500 * time.Millisecond
		share    = 0.2
		interval = time.Second / 75
		burst    = 6600 * time.Millisecond
		few      = 10
	)
	w := newWorld(t, kodasmidja)
	for i, zone := range w.zones {
		w.startSearcher(fmt.Sprintf("i-%d", i+1), "gradebook", zone, 4, 16, 120*time.Millisecond)
	}
	w.configure([]route{{"name": "grades", "host": testHost, "prefix": "/grades/", "kind": "unsafe", "timeout_ms": deadline.Milliseconds(),
		"latency_goal_ms": 1000, "priority": 2, "service": "gradebook", "max_attempts": 2}}, map[string]int{"gradebook": 25})
	w.startNodes(w.zones...)
	var c calls
	send := func(i int) {
		n := w.nodes[i%len(w.nodes)]
		after := time.Duration(0)
		if w.trouble && rand.Float64() < share {
			after = leave
		}
		c.start(func() answer {
			return w.call(n, http.MethodPost, fmt.Sprintf("/grades/%d", i), "a mark", deadline, after)
		})
	}
	every(interval, 5*time.Second, send)
	if w.trouble {
		w.log("trouble: 2.5 times as many callers for 6.6 s")
		every(interval*2/5, burst, send)
	}
	every(interval, 5*time.Second, send)
	answers := c.done()
	time.Sleep(time.Second)
	left := make(map[string]time.Time)
	for _, a := range answers {
		if !a.gone.IsZero() {
			left[a.id] = a.gone
		}
	}
	late, ran := 0, 0
	for _, s := range w.searchers {
		for _, got := range s.all() {
			if at, ok := left[got.id]; ok && got.at.Sub(at) > 500*time.Millisecond {
				late++
				if got.ran {
					ran++
				}
				w.log("late: %s reaches %s %d ms after its caller left, ran %v", got.id, s.id, got.at.Sub(at).Milliseconds(), got.ran)
			}
		}
	}
	verdict := "held"
	if late > few {
		verdict = "broken"
	}
	w.finish(verdict, "%d requests reached a searcher over 500 ms after their caller had left, %d of them ran; %d callers left, %d requests sent; answers %s",
		late, ran, len(left), len(answers), counts(answers))
}

// TestPopular has all searchers of a service crash once while they run the same harmless request, and come back after 4.5 s.
func TestPopular(t *testing.T) {
	popular(t, 4500*time.Millisecond, 30*time.Millisecond, func(board []*searcher, length time.Duration) {
		for _, s := range board {
			s.crash()
		}
		time.AfterFunc(length, func() {
			for _, s := range board {
				s.restart()
			}
		})
	})
}

// TestCutOff has two of three searchers of a service cut off from the nodes while they run the same harmless request. They live on.
func TestCutOff(t *testing.T) {
	popular(t, 5500*time.Millisecond, 20*time.Millisecond, func(board []*searcher, length time.Duration) {
		for _, s := range board[:2] {
			s.cutOff(length)
		}
	})
}

// popular plays a disruption of the searchers of a board, a page that many callers ask for at the same path. Lookups each have a path of their own and
// other searchers.
func popular(t *testing.T, length, interval time.Duration, disrupt func(board []*searcher, length time.Duration)) {
	const (
		before = 6 * time.Second
		after  = 50 * time.Second
	)
	w := newWorld(t, swanline)
	var board []*searcher
	for i, zone := range w.zones {
		board = append(board, w.startSearcher(fmt.Sprintf("b-%d", i+1), "dispatch-board", zone, 6, 24, 220*time.Millisecond))
	}
	for i := range 4 {
		w.startSearcher(fmt.Sprintf("l-%d", i+1), "rider-sizing", w.zones[i%len(w.zones)], 6, 24, 60*time.Millisecond)
	}
	policy := func(name, service string) route {
		return route{"name": name, "host": testHost, "prefix": "/" + name + "/", "kind": "safe", "timeout_ms": 3000, "latency_goal_ms": 600,
			"priority": 1, "service": service, "max_attempts": 2}
	}
	w.configure([]route{policy("board", "dispatch-board"), policy("lookup", "rider-sizing")}, map[string]int{"dispatch-board": 51, "rider-sizing": 51})
	w.startNodes(w.zones...)
	var boards, lookups calls
	send := func(i int) {
		n := w.nodes[i%len(w.nodes)]
		boards.start(func() answer { return w.call(n, http.MethodGet, "/board/open", "", 3*time.Second, 0) })
		lookups.start(func() answer { return w.call(n, http.MethodGet, fmt.Sprintf("/lookup/%d", i), "", 3*time.Second, 0) })
	}
	every(interval, before, send)
	over := time.Now().Add(length)
	if w.trouble {
		disrupt(board, length)
	}
	every(interval, length+after, send)
	served := func(answers []answer) (n int) {
		for _, a := range answers {
			if a.status == http.StatusOK {
				n++
			}
		}
		return n
	}
	b, l := boards.done(), lookups.done()
	var later []answer
	for _, a := range b {
		if a.sent.After(over) {
			later = append(later, a)
		}
	}
	verdict := "held"
	if 4*float64(served(b))/float64(len(b)) < float64(served(b)+served(l))/float64(len(b)+len(l)) {
		verdict = "broken"
	}
	w.finish(verdict, "board: %d of %d served (%s), sent after the disruption: %s; lookup: %d of %d served", served(b), len(b), counts(b), counts(later),
		served(l), len(l))
}
