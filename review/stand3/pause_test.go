//go:build review3

package stand3

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["pause"] = runPause }

// runPause lets a searcher turn requests away with 503 and Retry-After, and then go dark until its entry has lapsed. It is back as the same process.
// The case checks which requests reach it in the time for which it wanted none. It has room for three requests then, and crashes under more.
func runPause(w *world) {
	const (
		pause = 20 * time.Second
		// settle is the time after the answer from which on the rule counts, allowed the requests that it allows.
		settle  = 500 * time.Millisecond
		allowed = 2
		beat    = 1200 * time.Millisecond
		dark    = 4500 * time.Millisecond
		// room is the number of requests for which the searcher in need has memory.
		room = 3
	)
	for bound, value := range map[string]any{"contact_ms": 6000, "ack_ms": 10000, "catch_up_s": 6, "drain_ms": 5000, "config_apply_ms": 5000, "max_skew_ms": 20000, "retry_slack": 204,
		"warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 15} {
		w.bounds[bound] = value
	}
	zones := map[string]string{"rvk-a": "reykjavik", "aey-a": "akureyri", "egs-a": "egilsstadir"}
	w.addNodes(zones, map[string]int{"rvk-a": 2}, 0.4)
	var searchers []*searcher
	for i, zone := range []string{"rvk-a", "rvk-a", "rvk-a", "rvk-a", "aey-a", "aey-a", "aey-a", "aey-a", "egs-a", "egs-a", "egs-a"} {
		s := w.startSearcher(fmt.Sprintf("i-grades-%d", i), "grades", zone, 4, 12, 120*time.Millisecond)
		s.register("ready")
		searchers = append(searchers, s)
	}
	w.version = 1
	w.putConfig([]map[string]any{
		{"name": "grades", "host": "grades.example", "prefix": "/grades/", "kind": "unsafe", "timeout_ms": 8000, "latency_goal_ms": 1000, "max_attempts": 2, "priority": 0,
			"service": "grades"},
	}, []string{"grades"}, 550)
	for _, n := range w.nodes {
		n.start()
	}
	w.awaitReady(w.nodes...)
	stop := make(chan struct{})
	order := &consumer{w: w, host: "grades.example", path: "/grades/", method: "POST", zone: "rvk-a", region: "reykjavik", deadline: 8 * time.Second}
	go order.run(200, stop)
	time.Sleep(7 * time.Second)

	needy := searchers[0]
	// asked is when the searcher last asked a machine for a pause.
	var mu sync.Mutex
	asked := make(map[string]time.Time)
	until := time.Now().Add(time.Second)
	needy.setReject(func(id string) (string, bool) {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if now.After(until) {
			return "", false
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if r, ok := w.requests[id]; ok {
			asked[r.node] = now
		}
		return fmt.Sprint(pause.Seconds()), true
	})
	w.note("%s turns requests away with 503 and Retry-After: %v for 1 s", needy.id, pause.Seconds())
	time.Sleep(1500 * time.Millisecond)
	needy.maxHeld.Store(room)
	if w.trouble {
		w.note("%s goes dark for %v", needy.id, dark)
		needy.setDark(true)
		darkAt := time.Now()
		time.Sleep(3 * beat)
		w.store.Remove(needy.key())
		w.note("its entry lapses after three intervals of silence")
		time.Sleep(time.Until(darkAt.Add(dark)))
		needy.setDark(false)
		needy.register("ready")
		w.note("%s is back and registers again: the same process under the same id", needy.id)
	} else {
		time.Sleep(dark)
	}
	time.Sleep(pause)
	close(stop)
	time.Sleep(time.Second)

	w.mu.Lock()
	mu.Lock()
	counts := make(map[string]int)
	lost := 0
	var lines []string
	for _, r := range w.requests {
		at, ok := asked[r.node]
		for _, a := range r.runs {
			if ok && a.searcher == needy.id && a.at.After(at.Add(settle)) && a.at.Before(at.Add(pause)) {
				counts[r.node]++
				if r.result != "200" {
					lost++
				}
				lines = append(lines, fmt.Sprintf("%s reached %s %.3f s after it had asked %s for no requests for %v (%s)", r.id, a.searcher, a.at.Sub(at).Seconds(), r.node, pause, a.state))
			}
		}
	}
	mu.Unlock()
	w.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines[:min(len(lines), 12)] {
		w.note("%s", line)
	}
	w.note("asked for a pause: %d machines; requests in the pause by machine: %v, %d are allowed; %d unsafe ones of them were lost", len(asked), counts, allowed, lost)
	if len(asked) == 0 {
		w.giveUp("no machine was asked for a pause")
	}
	for _, n := range counts {
		if n > allowed {
			w.end(exitBroken)
		}
	}
	w.end(exitHeld)
}
