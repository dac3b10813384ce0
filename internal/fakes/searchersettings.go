package fakes

import (
	"time"
)

const (
	defaultSlots       = 2
	defaultConnections = 25
	defaultMaxQueue    = 64
	defaultRunLog      = 4096
	defaultServiceTime = 2 * time.Millisecond
)

// SearcherSettings configures a Searcher. Use NewSearcherSettings to create one.
type SearcherSettings struct {
	id           string
	address      string
	slots        int
	connections  int
	connectDelay time.Duration
	serviceTime  ServiceTime
	seed         uint64
	maxQueue     int
	loaded       shardSet
	coldFactor   float64
	warmUp       time.Duration
	crashMarker  string
	restartAfter time.Duration
	runLog       int
}

// NewSearcherSettings returns the settings of a searcher on a free loopback port with 2 slots, 25 connections, a queue of 64, a
// fixed service time of 2 ms, no connection delay, no cold start and no shards.
func NewSearcherSettings(id string) SearcherSettings {
	return SearcherSettings{
		id:          id,
		address:     loopback,
		slots:       defaultSlots,
		connections: defaultConnections,
		serviceTime: Fixed{Time: defaultServiceTime},
		maxQueue:    defaultMaxQueue,
		runLog:      defaultRunLog,
	}
}

// ID returns the searcher's id.
func (s SearcherSettings) ID() string { return s.id }

// Slots returns the number of sub-requests that run concurrently.
func (s SearcherSettings) Slots() int { return s.slots }

// Connections returns the connection limit.
func (s SearcherSettings) Connections() int { return s.connections }

// WithAddress returns the settings with a listen address.
func (s SearcherSettings) WithAddress(address string) SearcherSettings {
	s.address = address
	return s
}

// WithSlots returns the settings with the number of sub-requests that run concurrently.
func (s SearcherSettings) WithSlots(slots int) SearcherSettings {
	s.slots = slots
	return s
}

// WithConnections returns the settings with the connection limit, beyond which new connections are closed immediately, and with the
// delay before a new connection serves its first request. The delay runs from the accept, even without a request.
func (s SearcherSettings) WithConnections(limit int, delay time.Duration) SearcherSettings {
	s.connections = limit
	s.connectDelay = delay
	return s
}

// WithServiceTime returns the settings with the service time distribution and its random seed.
func (s SearcherSettings) WithServiceTime(distribution ServiceTime, seed uint64) SearcherSettings {
	s.serviceTime = distribution
	s.seed = seed
	return s
}

// WithQueue returns the settings with the maximum number of waiting sub-requests, beyond which the searcher sheds.
func (s SearcherSettings) WithQueue(limit int) SearcherSettings {
	s.maxQueue = limit
	return s
}

// WithIndex returns the settings with additional shards of an index snapshot.
func (s SearcherSettings) WithIndex(collection string, snapshot uint64, shards ...int) SearcherSettings {
	s.loaded = s.loaded.with(collection, snapshot, shards)
	return s
}

// WithColdStart returns the settings with a service time multiplier that falls linearly from factor to 1 over the warm-up.
func (s SearcherSettings) WithColdStart(factor float64, warmUp time.Duration) SearcherSettings {
	s.coldFactor = factor
	s.warmUp = warmUp
	return s
}

// WithCrash returns the settings with a crash marker: a sub-request whose query contains it crashes the searcher when it acquires a
// slot. The searcher restarts on the same port after the delay, or never if the delay is 0.
func (s SearcherSettings) WithCrash(marker string, restartAfter time.Duration) SearcherSettings {
	s.crashMarker = marker
	s.restartAfter = restartAfter
	return s
}

// WithRunLog returns the settings with the capacity of the run log, which applies separately to idempotent and to non-idempotent runs.
func (s SearcherSettings) WithRunLog(limit int) SearcherSettings {
	s.runLog = limit
	return s
}
