package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/platform/stand"
)

const (
	// popularPath is the path that many callers request.
	popularPath     = "/safe/popular"
	popularInterval = 25 * time.Millisecond
	// popularStream distinguishes the random numbers of these callers and of the losses of their searchers.
	popularStream = 5
	// lossInterval is the time between losses that follow each other, cutTime that for which searchers are cut off.
	lossInterval = 400 * time.Millisecond
	cutTime      = 1500 * time.Millisecond
	// minPopularShare is the share of the popular requests that are served in quiet phases, relative to that of the other requests of their route.
	minPopularShare = 0.75
)

// losses are what happens to the searchers of the popular request.
var losses = []struct {
	name  string
	cut   bool
	pause time.Duration
	// spared is the number of searchers that nothing happens to.
	spared int
}{
	{name: "searchers of a service crash together"},
	{name: "searchers of a service crash one after the other", pause: lossInterval},
	{name: "some searchers of a service crash together", spared: 1},
	{name: "searchers of a service cut off together", cut: true},
	{name: "searchers of a service cut off one after the other", cut: true, pause: lossInterval},
	{name: "some searchers of a service cut off together", cut: true, spared: 1},
}

// runPopular sends the popular request to random nodes until ctx ends.
func (r *runner) runPopular(ctx context.Context) {
	client, random := stand.NewClient(), rand.New(rand.NewPCG(r.settings.Seed, popularStream<<32))
	for ctx.Err() == nil {
		node := r.fleet.nodes[random.IntN(len(r.fleet.nodes))]
		s := r.newExchange(node.machine.Node)
		s.request.Path = popularPath
		r.send(client, node.callerAddress(), s)
		delay.Sleep(ctx, popularInterval)
	}
}

// losePopularSearchers lets some loss, or none, happen to the searchers that run the popular request.
func (r *runner) losePopularSearchers(ctx context.Context) {
	i := r.popularRandom.IntN(2 * len(losses))
	if i >= len(losses) {
		return
	}
	loss := losses[i]
	r.recordFault(loss.name)
	var searchers []*proxiedSearcher
	for _, s := range r.fleet.activeSearchers() {
		if s.Service() == r.routedService {
			searchers = append(searchers, s)
		}
	}
	for _, s := range searchers[min(loss.spared, len(searchers)):] {
		if loss.cut {
			s.proxy.refuse(cutTime)
		} else {
			s.Close()
		}
		delay.Sleep(ctx, loss.pause)
	}
}

// checkPopular compares the popular request with the other requests of its route.
func checkPopular(e evidence, report reportFunc) {
	var popular, others struct{ sent, served float64 }
	for _, s := range e.exchanges {
		if s.crasher || !strings.HasPrefix(s.request.Path, "/safe/") || !e.inTouch(s.node, s.sentAt) {
			continue
		}
		count := &others
		if s.request.Path == popularPath {
			count = &popular
		}
		count.sent++
		if s.err == nil && s.answer.Status == http.StatusOK {
			count.served++
		}
	}
	if popular.served*others.sent < minPopularShare*others.served*popular.sent {
		report("popular", "%v of %v popular requests were served, and %v of %v others", popular.served, popular.sent, others.served, others.sent)
	}
}
