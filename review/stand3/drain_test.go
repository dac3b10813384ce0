//go:build review3

package stand3

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func init() { cases["drain"] = runDrain }

// runDrain removes the entries of searchers while two machines of a zone are partitioned from the store, and checks what the third machine of the
// zone sends to them later than drain_ms.
func runDrain(w *world) {
	const (
		drain  = 3 * time.Second
		cutFor = 4 * time.Second
		rounds = 8
		shards = 15
		// A searcher serves on for drain_ms and a little longer: those of orders exit soon after, the others later.
		orderExit, shardExit = drain + 300*time.Millisecond, drain + 1500*time.Millisecond
	)
	zones := map[string]string{"attica-a": "attica", "makedonia-a": "makedonia", "kriti-a": "kriti"}
	w.addNodes(zones, map[string]int{"attica-a": 3, "makedonia-a": 2, "kriti-a": 2}, 0.4)
	// The two machines of attica that read the store for their region come first in the order of the hashes of the names.
	attica := slices.Clone(w.nodes)
	attica = slices.DeleteFunc(attica, func(n *node) bool { return n.zone != "attica-a" })
	slices.SortFunc(attica, func(a, b *node) int {
		if xxhash.Sum64String(a.name) < xxhash.Sum64String(b.name) {
			return -1
		}
		return 1
	})
	cutNodes, watched := attica[:2], attica[2]
	// The directory names the largest machines of a zone first. Sizes are those of the grown site.
	watched.cpuShare = 0.8
	w.writeSettings(zones)

	var services []string
	searchers := make(map[string][]*searcher)
	started := 0
	add := func(service, zone string, slots, queue int, work time.Duration) *searcher {
		started++
		s := w.startSearcher(fmt.Sprintf("i-%s-%d", service, started), service, zone, slots, queue, work)
		searchers[service] = append(searchers[service], s)
		s.register("ready")
		return s
	}
	for i := range shards {
		service := fmt.Sprintf("shard%02d", i)
		services = append(services, service)
		for zone := range zones {
			add(service, zone, 4, 12, 5*time.Millisecond)
		}
	}
	services = append(services, "orders")
	for range 4 {
		add("orders", "attica-a", 6, 12, 120*time.Millisecond)
	}
	putConfig := func() {
		w.version++
		w.putConfig([]map[string]any{
			{"name": "browse", "host": "browse.example", "prefix": "/browse/", "kind": "safe", "timeout_ms": 800, "latency_goal_ms": 150, "max_attempts": 2, "priority": 1,
				"gather": services[:shards], "top_k": 10, "min_coverage": 0.85},
			{"name": "orders", "host": "browse.example", "prefix": "/orders/", "kind": "unsafe", "timeout_ms": 2500, "latency_goal_ms": 800, "max_attempts": 2, "priority": 2,
				"service": "orders"},
		}, services, 25)
	}
	putConfig()
	// The third machine of attica is the spare one of the site; it is added when the others run.
	spare := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == "front-attica-a-3" })]
	for _, n := range w.nodes {
		if n != spare {
			n.start()
		}
	}
	w.awaitReady(slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n == spare })...)
	spare.start()
	w.awaitReady(spare)
	w.note("all machines are ready; %s and %s are to be cut off, %s is watched", cutNodes[0].name, cutNodes[1].name, watched.name)
	stop := make(chan struct{})
	browse := &consumer{w: w, host: "browse.example", path: "/browse/", method: "GET", zone: "attica-a", region: "attica", deadline: 800 * time.Millisecond}
	order := &consumer{w: w, host: "browse.example", path: "/orders/", method: "POST", zone: "attica-a", region: "attica", deadline: 2500 * time.Millisecond}
	go browse.run(58, stop)
	go order.run(14.5, stop)
	time.Sleep(8 * time.Second)

	type removal struct {
		s  *searcher
		at time.Time
	}
	var removals []removal
	for round := range rounds {
		// A change that all machines see, as at the end of any earlier change.
		putConfig()
		time.Sleep(50 * time.Millisecond)
		if w.trouble {
			for _, n := range cutNodes {
				n.storeLink.setCut(true)
			}
			w.note("round %d: %s and %s are partitioned from the store for %v", round, cutNodes[0].name, cutNodes[1].name, cutFor)
		}
		cutAt := time.Now()
		time.Sleep(50 * time.Millisecond)
		leave := []*searcher{searchers["orders"][0]}
		searchers["orders"] = searchers["orders"][1:]
		for i := range 3 {
			service := services[(round*3+i)%shards]
			leave = append(leave, searchers[service][0])
			searchers[service] = searchers[service][1:]
		}
		w.mu.Lock()
		for _, s := range leave {
			w.watched[s.id] = true
		}
		w.mu.Unlock()
		for _, s := range leave {
			w.store.Remove(s.key())
			at := time.Now()
			removals = append(removals, removal{s, at})
			lifetime := shardExit
			if s.service == "orders" {
				lifetime = orderExit
			}
			w.note("round %d: the entry of %s is removed; it serves on for %v", round, s.id, lifetime)
			time.AfterFunc(time.Until(at.Add(lifetime)), s.exit)
		}
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		for _, n := range cutNodes {
			n.storeLink.setCut(false)
		}
		// New searchers take the places of those that left.
		for _, s := range leave {
			add(s.service, s.zone, s.slots, s.queue, s.work)
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	time.Sleep(3 * time.Second)

	w.mu.Lock()
	late, lost := 0, 0
	byNode := make(map[string]int)
	var lines []string
	for _, r := range w.requests {
		for _, a := range r.runs {
			for _, gone := range removals {
				if a.searcher != gone.s.id || a.at.Before(gone.at.Add(drain)) {
					continue
				}
				byNode[r.node]++
				// The machines that were cut off are not in touch.
				if r.node == cutNodes[0].name || r.node == cutNodes[1].name {
					continue
				}
				late++
				note := ""
				if r.path == "/orders/" && r.result != "200" {
					lost++
					note = "; the consumer got " + r.result
				}
				lines = append(lines, fmt.Sprintf("request %s by %s reached %s %.3f s after its removal was acknowledged (%s)%s", r.id, r.node, a.searcher, a.at.Sub(gone.at).Seconds(), a.state, note))
			}
		}
	}
	w.mu.Unlock()
	slices.Sort(lines)
	for _, line := range lines[:min(len(lines), 25)] {
		w.note("%s", line)
	}
	w.note("requests that reached a searcher later than %v after the acknowledgement, by machine: %v", drain, byNode)
	w.note("DRAIN: %d by machines in touch, %d of them unsafe requests that were lost", late, lost)
	if late > 0 {
		w.end(exitBroken)
	}
	w.end(exitHeld)
}

// putConfig writes a configuration to the store.
func (w *world) putConfig(routes []map[string]any, services []string, maxConns int) {
	var items []map[string]any
	for _, service := range services {
		items = append(items, map[string]any{"name": service, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false})
	}
	w.store.PutJSON("op/config", map[string]any{"version": w.version, "routes": routes, "services": items,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}
