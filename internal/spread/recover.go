package spread

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fireflylanding/fireflylanding/internal/delay"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	// recoveryPeers is the number of neighbours that are asked at start; recoveryTries bounds those that do not answer.
	recoveryPeers = 3
	recoveryTries = 6
	// recoveryTimeout is the time that each of them may take.
	recoveryTimeout = time.Second
	// missingDelay and missingDelayMax pace the attempts to get documents that stay missing, such as those without any valid revision.
	missingDelay    = 5 * time.Second
	missingDelayMax = 40 * time.Second

	fallbackLeast = 20 * time.Second
	fallbackMost  = 40 * time.Second
)

// recover fills an empty store: from the VM list of the own region, then from peers, and from the configuration
// service only what no peer has.
func (e *Engine) recover(ctx context.Context) {
	if !delay.For(ctx, e.random.between(0, e.settings.StartSpread)) {
		return
	}
	for _, region := range e.regionsOwnFirst() {
		if !e.readVMs(ctx, shards.VMsPrefix+region) {
			return
		}
		if len(e.fleet.view().neighbours) > 0 {
			break
		}
	}
	e.askPeers(ctx)
	e.recovered.Store(true)
	delays := backoff{least: missingDelay, most: missingDelayMax}
	for ctx.Err() == nil {
		e.readMissing(ctx)
		if !e.awaitMissing(ctx, &delays) {
			return
		}
		e.askPeers(ctx)
	}
}

func (e *Engine) regionsOwnFirst() []string {
	regions := []string{e.settings.Region}
	for _, region := range e.settings.Regions {
		if region != e.settings.Region {
			regions = append(regions, region)
		}
	}
	return regions
}

// readVMs reads a VM list until it is in force, whether from the service or through a peer that contacted this node, or unknown. It
// returns false when ctx ended.
func (e *Engine) readVMs(ctx context.Context, key string) bool {
	delays := backoff{least: failureDelay, most: failureDelayMax}
	for slices.Contains(e.keys.missing(e.store), key) {
		e.platform.read(ctx, key)
		if !slices.Contains(e.keys.missing(e.store), key) {
			break
		}
		if !delay.Until(ctx, delays.delay(e.random), e.keys.changed) {
			return false
		}
	}
	return ctx.Err() == nil
}

// askPeers pulls all wanted documents from some neighbours in turn: the first fills the store, the others correct what was behind.
// Documents that this node merely lacked are no news to its neighbours, so they are not announced.
func (e *Engine) askPeers(ctx context.Context) {
	answers := 0
	for tries, to := range e.random.shuffled(e.fleet.view().neighbours) {
		if answers == recoveryPeers || tries == recoveryTries || ctx.Err() != nil {
			return
		}
		if e.askPeer(ctx, to) {
			answers++
		}
	}
}

// askPeer pulls from one neighbour, again while the documents received name further ones.
func (e *Engine) askPeer(ctx context.Context, to shards.VM) bool {
	request := pullRequest{marks: true, timeout: recoveryTimeout, quiet: true}
	for {
		version := e.keys.currentVersion()
		request.keys = e.keys.wantedKeys()
		if !e.pull(ctx, to, request) {
			return false
		}
		if e.keys.currentVersion() == version {
			return true
		}
	}
}

// readMissing reads missing documents from the service, spread so that all nodes together stay within the call rate.
// Documents that arrive meanwhile, and those that this node watches, are not read.
func (e *Engine) readMissing(ctx context.Context) {
	for _, key := range e.random.shuffledKeys(e.keys.missing(e.store)) {
		if !e.pace(ctx) {
			return
		}
		if !slices.Contains(e.keys.missing(e.store), key) || e.watches(key, e.fleet.view()) {
			continue
		}
		e.platform.read(ctx, key)
	}
}

// pace waits for this node's turn among all nodes that may read at the same time.
func (e *Engine) pace(ctx context.Context) bool {
	nodes := e.fleet.view().size(len(e.settings.Regions))
	mean := time.Duration(nodes) * time.Second / time.Duration(e.settings.PlatformCallsPerSecond)
	return delay.For(ctx, e.random.between(mean/2, mean+mean/2))
}

// awaitMissing waits until documents are missing, and between two attempts to get them. It returns false when ctx ended.
func (e *Engine) awaitMissing(ctx context.Context, delays *backoff) bool {
	if len(e.keys.missing(e.store)) > 0 {
		return delay.For(ctx, delays.delay(e.random))
	}
	delays.reset()
	for len(e.keys.missing(e.store)) == 0 {
		select {
		case <-ctx.Done():
			return false
		case <-e.keys.changed:
		}
	}
	return true
}

// fallbackLoop reads all documents from the service while all peers are silent.
func (e *Engine) fallbackLoop(ctx context.Context) {
	reported := false
	for delay.For(ctx, e.settings.DigestInterval) {
		if !e.mustFallBack() {
			reported = false
			continue
		}
		if !reported {
			reported = true
			e.log.Log(wire.Event_EVENT_FALLBACK_READ, zap.Duration("silence", e.silence(e.clock())))
		}
		e.readAll(ctx)
		if !delay.For(ctx, e.random.between(fallbackLeast, fallbackMost)) {
			return
		}
	}
}

// mustFallBack reports whether all peers were silent for too long. At start, recover reads what is missing.
func (e *Engine) mustFallBack() bool {
	return e.recovered.Load() && e.silence(e.clock()) >= e.settings.FallbackAfter
}

func (e *Engine) readAll(ctx context.Context) {
	for _, key := range e.random.shuffledKeys(e.keys.wantedKeys()) {
		if !e.pace(ctx) || !e.mustFallBack() {
			return
		}
		if !e.watches(key, e.fleet.view()) {
			e.platform.read(ctx, key)
		}
	}
}
