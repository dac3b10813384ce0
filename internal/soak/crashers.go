package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	// crasherPrefix begins the ids of the requests that crash each searcher that runs them.
	crasherPrefix = "c4a5"
	// crasherStream distinguishes the random numbers of the callers that repeat such requests.
	crasherStream = 2
	// crasherInterval is the mean time between two repetitions of such a request.
	crasherInterval = 400 * time.Millisecond
	// lapseTime is the time from a crash to the end of the searcher's registration, and reviveTime that from then to the start of the next process.
	lapseTime  = 1200 * time.Millisecond
	reviveTime = 300 * time.Millisecond
	// contactTime is the time from the third crash of a request, or from the end of a node's disturbance, in which nodes learn of it.
	contactTime = 5 * time.Second
	// maxLateRetries is the number of retries that may reach searchers after that.
	maxLateRetries = 3
)

// isCrasher reports whether a request with an id crashes each searcher that runs it.
func isCrasher(id string) bool { return strings.HasPrefix(id, crasherPrefix) }

// crasherKinds are the kinds of requests that crash searchers, each of which one caller repeats.
var crasherKinds = []func(r *runner) exchange{
	func(*runner) exchange {
		return exchange{request: stand.Request{Method: http.MethodGet, Path: "/safe/crasher"}}
	},
	func(*runner) exchange {
		return exchange{request: stand.Request{Method: http.MethodPost, Path: "/unsafe/crasher", Body: "order"}, nonIdempotent: true}
	},
	func(r *runner) exchange {
		return exchange{request: stand.Request{Method: http.MethodGet, Path: "/gather/crasher"}, shards: r.shards, topK: 5, minCoverage: 0.6}
	},
}

// runCrasher sends a crashing request to random nodes until ctx ends.
func (r *runner) runCrasher(ctx context.Context, kind int) {
	client := stand.NewClient()
	random := rand.New(rand.NewPCG(r.settings.Seed, uint64(kind)<<32|crasherStream))
	for number := 0; ctx.Err() == nil; number++ {
		node := r.fleet.nodes[random.IntN(len(r.fleet.nodes))]
		s := crasherKinds[kind](r)
		s.crasher, s.node = true, node.machine.Node
		s.request.ID, s.request.Host, s.request.Timeout = fmt.Sprintf("%s%04x%08x", crasherPrefix, kind, number), host, callerTimeout
		r.send(client, node.callerAddress(), s)
		delay.Sleep(ctx, crasherInterval/2+time.Duration(random.Int64N(int64(crasherInterval))))
	}
}

// revive ends the registration of a searcher that has crashed, and starts the next process.
func (r *runner) revive(s *proxiedSearcher) {
	f := r.fleet
	time.Sleep(lapseTime)
	f.store.Unregister(s.Searcher)
	time.Sleep(reviveTime)
	f.mu.Lock()
	done := s.leaving || f.closed
	s.leaving = true
	f.mu.Unlock()
	if done {
		return
	}
	// The store may have come back from a copy meanwhile.
	f.store.Unregister(s.Searcher)
	if _, err := f.addSearcher(s.Service(), s.zone, 2*time.Millisecond); err != nil {
		r.addViolation("start", "a searcher did not start after a crash: %v", err)
	}
}

// disturbance is a time in which a single node need not know what the others know.
type disturbance struct {
	node   string
	during interval
}

func (r *runner) recordDisturbance(p *process, during interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.disturbances = append(r.evidence.disturbances, disturbance{node: p.machine.Node, during: during})
}

// checkCrashers counts the retries of crashing requests that reached searchers after nodes must have known of them.
func checkCrashers(e evidence, exchangeByID map[string]exchange, report reportFunc) {
	runs := make(map[string][]run)
	for _, r := range e.runs {
		if s := exchangeByID[r.ID]; s.crasher {
			runs[s.request.Path] = append(runs[s.request.Path], r)
		}
	}
	for path, crashes := range runs {
		if len(crashes) < 3 {
			continue
		}
		slices.SortFunc(crashes, func(a, b run) int { return a.StartTime.Compare(b.StartTime) })
		known := crashes[2].StartTime.Add(contactTime)
		var late []string
		for _, r := range crashes {
			if s := exchangeByID[r.ID]; s.sentAt.After(known) && e.inTouch(s.node, s.sentAt) && !slices.Contains(late, r.ID) {
				late = append(late, r.ID)
			}
		}
		if len(late) > maxLateRetries {
			report("crash", "%s crashed %d searchers, in %d retries later than %v after the third: %v", path, len(crashes), len(late), contactTime, late)
		}
	}
}

// inTouch reports whether neither the fleet nor the node was disturbed.
func (e evidence) inTouch(node string, at time.Time) bool {
	quiet := slices.ContainsFunc(e.quiet, func(i interval) bool { return i.contains(at) })
	return quiet && !slices.ContainsFunc(e.disturbances, func(d disturbance) bool { return d.node == node && d.during.contains(at) })
}
