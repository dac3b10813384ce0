//go:build review

package review

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fireflylanding/fireflylanding/platform/stand"
)

func init() { scenarios["endless"] = endless }

const (
	// Of the searchers of all shards a share answers some requests without end for a time. The figures are those of the largest srv_grey of the
	// site file.
	inTrouble    = 0.8
	endlessShare = 0.6
	troubleTime  = 9 * time.Second
)

// restartDelay is the pause before the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// endless lets a share of the searchers answer with bytes without end. Like the platform it kills a process whose memory exceeds the limit, and
// starts it again.
func endless(w *world) {
	shardSearchers := w.addSite("safe")
	var nodeZones []string
	for i := range 8 {
		nodeZones = append(nodeZones, zones[i%len(zones)])
	}
	if !w.startNodes(nodeZones, 0) {
		return
	}
	rand.Shuffle(len(shardSearchers), func(i, j int) { shardSearchers[i], shardSearchers[j] = shardSearchers[j], shardSearchers[i] })
	bad := shardSearchers[:int(inTrouble*float64(len(shardSearchers)))]
	var users sync.WaitGroup
	done := make(chan struct{})
	kills := make(map[string]int)
	var watchers sync.WaitGroup
	for _, n := range w.nodes {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			w.limitMemory(done, n, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				kills[n.name]++
			})
		}()
	}
	begin := w.now()
	troubleAt, troubleEnd := begin+3*time.Second, begin+3*time.Second+troubleTime
	if w.trouble {
		w.note("%d of the 30 searchers of the shards answer %.0f%% of their requests with bytes without end from %.1f to %.1f s", len(bad), 100*endlessShare, troubleAt.Seconds(), troubleEnd.Seconds())
		for _, s := range bad {
			s.SetFault(func(string) stand.Fault {
				if now := w.now(); now < troubleAt || now >= troubleEnd || rand.Float64() >= endlessShare {
					return stand.NoFault{}
				}
				return stand.EndlessReply{Start: "%sTransfer-Encoding: chunked\r\n\r\n7ffff0\r\n", Repeat: "x", Pause: 20 * time.Millisecond}
			})
		}
	}
	var directories []*directory
	for _, zone := range zones {
		directories = append(directories, w.watchDirectory(done, zone))
	}
	due := 0.0
	for last, i := w.now(), 0; w.now() < begin+16*time.Second; time.Sleep(2 * time.Millisecond) {
		now := w.now()
		due += siteRate * (now - last).Seconds()
		last = now
		for ; due >= 1; due-- {
			i++
			n := directories[i%len(directories)].random()
			if n == nil {
				continue
			}
			users.Add(1)
			go func() {
				defer users.Done()
				w.ask(n, numbered(i))
			}()
		}
	}
	users.Wait()
	close(done)
	watchers.Wait()
	w.recordRequests()
	sound := w.ran(bad...)
	lost, ended := 0, 0
	for _, r := range w.requests {
		if r.broken && len(sound[r.id]) > 0 {
			lost++
			w.note("LOST: request %s was passed on to a sound searcher: %s", r.id, r.outcome)
		}
	}
	for _, n := range kills {
		ended += n
	}
	for name, n := range kills {
		w.note("%s exceeded its memory %d times", name, n)
	}
	text := fmt.Sprintf("%d processes exceeded their memory, %d times; %d requests that were passed on to sound searchers got no answer", len(kills), ended, lost)
	if lost > 3 {
		w.finish(1, "%s", text)
		return
	}
	w.finish(0, "%s", text)
}

// ask sends one request on a kept connection to a node, or on a new one.
func (w *world) ask(n *node, k kind) {
	r := w.begin(n, k)
	c, err := w.kept.take(n)
	if err != nil {
		w.end(r, 0, "no connection: %v", err)
		return
	}
	if !w.send(c, r, http.MethodGet, k.path, "", k.deadline) {
		_ = c.conn.Close()
		return
	}
	w.kept.put(n, c)
}

// limitMemory kills a node when its anonymous memory exceeds the limit and starts it again, until done.
func (w *world) limitMemory(done <-chan struct{}, n *node, exceeded func()) {
	peak := int64(0)
	for {
		select {
		case <-done:
			w.note("%s: at most %d MB", n.name, peak>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		bytes := w.memory(n)
		peak = max(peak, bytes)
		if bytes <= memoryLimit {
			continue
		}
		w.note("%s takes %d MB, limit %d MB", n.name, bytes>>20, memoryLimit>>20)
		w.signal(n, "KILL")
		exceeded()
		time.Sleep(restartDelay)
		w.say("start %s 0", n.name)
		time.Sleep(200 * time.Millisecond)
	}
}

// memory returns the anonymous memory of a node in bytes, 0 if it does not run.
func (w *world) memory(n *node) int64 {
	folder := os.Getenv("REVIEW_DIR")
	pid, err := os.ReadFile(filepath.Join(folder, n.name+".pid"))
	if err != nil {
		return 0
	}
	status, err := os.ReadFile(filepath.Join("/proc", strings.TrimSpace(string(pid)), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}
