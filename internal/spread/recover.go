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
	// bootstrapPeers is the number of neighbours whose answer to a pull is awaited at start; bootstrapAttempts limits how many are tried.
	bootstrapPeers    = 3
	bootstrapAttempts = 6
	// bootstrapTimeout is the timeout of one such pull.
	bootstrapTimeout = time.Second
	// missingRetryDelay and missingRetryDelayMax bound the backoff between attempts to fetch documents that stay missing, such as those
	// without any valid revision.
	missingRetryDelay    = 5 * time.Second
	missingRetryDelayMax = 40 * time.Second

	// fallbackIntervalMin and fallbackIntervalMax bound the random pause between two rounds of fallback reads.
	fallbackIntervalMin = 20 * time.Second
	fallbackIntervalMax = 40 * time.Second
)

// bootstrap fills an empty store. It reads the VM list of this node's region, or further ones if that lists no neighbours, pulls the
// documents from neighbours, and reads from the configuration service only what no peer has.
func (e *Engine) bootstrap(ctx context.Context) {
	if !delay.Sleep(ctx, e.random.between(0, e.settings.StartSpread)) {
		return
	}
	for _, region := range e.regionsOwnFirst() {
		if !e.readVMs(ctx, shards.VMsPrefix+region) {
			return
		}
		if len(e.topology.view().neighbours) > 0 {
			break
		}
	}
	e.pullFromPeers(ctx)
	e.bootstrapped.Store(true)
	delays := backoff{initial: missingRetryDelay, limit: missingRetryDelayMax}
	for ctx.Err() == nil {
		e.readMissing(ctx)
		if !e.waitForMissing(ctx, &delays) {
			return
		}
		e.pullFromPeers(ctx)
	}
}

// regionsOwnFirst returns all regions, beginning with the one of this node.
func (e *Engine) regionsOwnFirst() []string {
	regions := []string{e.settings.Region}
	for _, region := range e.settings.Regions {
		if region != e.settings.Region {
			regions = append(regions, region)
		}
	}
	return regions
}

// readVMs reads a VM list with backoff until the list is in force, either from the service or through a push from a peer, or until the
// service reports the key as unknown. It returns false if ctx is done.
func (e *Engine) readVMs(ctx context.Context, key string) bool {
	delays := backoff{initial: failureDelay, limit: failureDelayMax}
	for slices.Contains(e.keys.missing(e.store), key) {
		e.platform.read(ctx, key)
		if !slices.Contains(e.keys.missing(e.store), key) {
			break
		}
		if !delay.Wait(ctx, delays.delay(e.random), e.keys.changed) {
			return false
		}
	}
	return ctx.Err() == nil
}

// pullFromPeers pulls all wanted documents from bootstrapPeers neighbours one after the other: the first fills the store, the others
// supply revisions in which the first was behind. The documents are not announced, since the neighbours already have them.
func (e *Engine) pullFromPeers(ctx context.Context) {
	answered := 0
	for attempts, to := range e.random.shuffled(e.topology.view().neighbours) {
		if answered == bootstrapPeers || attempts == bootstrapAttempts || ctx.Err() != nil {
			return
		}
		if e.pullFromPeer(ctx, to) {
			answered++
		}
	}
}

// pullFromPeer pulls all wanted documents from one neighbour, and repeats the pull as long as received documents refer to further keys.
func (e *Engine) pullFromPeer(ctx context.Context, to shards.VM) bool {
	request := pullRequest{withQuarantine: true, timeout: bootstrapTimeout, suppressAnnounce: true}
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

// readMissing reads missing documents from the service, paced so that all nodes together stay within the call rate. It skips documents
// that arrive in the meantime and those that this node watches.
func (e *Engine) readMissing(ctx context.Context) {
	for _, key := range e.random.shuffledKeys(e.keys.missing(e.store)) {
		if !e.paceRead(ctx) {
			return
		}
		if !slices.Contains(e.keys.missing(e.store), key) || e.watches(key, e.topology.view()) {
			continue
		}
		e.platform.read(ctx, key)
	}
}

// paceRead delays a direct read so that all nodes, if they read at the same time, together make about PlatformCallsPerSecond calls. It
// returns false if ctx is done.
func (e *Engine) paceRead(ctx context.Context) bool {
	nodes := e.topology.view().estimatedNodes(len(e.settings.Regions))
	mean := time.Duration(nodes) * time.Second / time.Duration(e.settings.PlatformCallsPerSecond)
	return delay.Sleep(ctx, e.random.between(mean/2, mean+mean/2))
}

// waitForMissing returns when documents are missing: after a backoff delay if some still are, or else as soon as one becomes
// missing. It returns false if ctx is done.
func (e *Engine) waitForMissing(ctx context.Context, delays *backoff) bool {
	if len(e.keys.missing(e.store)) > 0 {
		return delay.Sleep(ctx, delays.delay(e.random))
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

// fallbackLoop reads all documents from the service while no peer is heard.
func (e *Engine) fallbackLoop(ctx context.Context) {
	reported := false
	for delay.Sleep(ctx, e.settings.DigestInterval) {
		if !e.shouldFallBack() {
			reported = false
			continue
		}
		if !reported {
			reported = true
			e.log.Log(wire.Event_EVENT_FALLBACK_READ, zap.Duration("silence", e.silence(e.clock())))
		}
		e.readAll(ctx)
		if !delay.Sleep(ctx, e.random.between(fallbackIntervalMin, fallbackIntervalMax)) {
			return
		}
	}
}

// shouldFallBack reports whether no peer was heard for FallbackAfter. It returns false until bootstrapping is done, since bootstrap itself
// reads what is missing.
func (e *Engine) shouldFallBack() bool {
	return e.bootstrapped.Load() && e.silence(e.clock()) >= e.settings.FallbackAfter
}

func (e *Engine) readAll(ctx context.Context) {
	for _, key := range e.random.shuffledKeys(e.keys.wantedKeys()) {
		if !e.paceRead(ctx) || !e.shouldFallBack() {
			return
		}
		if !e.watches(key, e.topology.view()) {
			e.platform.read(ctx, key)
		}
	}
}
