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

// SearcherSettings configures a Searcher. Start from NewSearcherSettings.
type SearcherSettings struct {
	id           string
	address      string
	slots        int
	connections  int
	connectCost  time.Duration
	serviceTime  ServiceTime
	seed         uint64
	maxQueue     int
	holdings     holdings
	coldFactor   float64
	warmUp       time.Duration
	crashMarker  string
	restartAfter time.Duration
	runLog       int
}

// NewSearcherSettings returns the settings of a searcher on a free loopback port with 2 slots, 25 connections, a queue of 64, a
// fixed service time of 2 ms, no connect cost, no cold start and no index.
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

// ID returns the searcher's name.
func (s SearcherSettings) ID() string { return s.id }

// Slots returns the number of sub-requests that run at once.
func (s SearcherSettings) Slots() int { return s.slots }

// Connections returns the number of connections that the searcher accepts.
func (s SearcherSettings) Connections() int { return s.connections }

// WithAddress returns the settings with a listen address.
func (s SearcherSettings) WithAddress(address string) SearcherSettings {
	s.address = address
	return s
}

// WithSlots returns the settings with the number of sub-requests that run at once.
func (s SearcherSettings) WithSlots(slots int) SearcherSettings {
	s.slots = slots
	return s
}

// WithConnections returns the settings with the number of connections beyond which new ones are closed at once, and with the
// time that a new connection takes before its first request is served. That time runs from the accept, also without a request.
func (s SearcherSettings) WithConnections(limit int, cost time.Duration) SearcherSettings {
	s.connections = limit
	s.connectCost = cost
	return s
}

// WithServiceTime returns the settings with the distribution of service times and the seed that they are drawn from.
func (s SearcherSettings) WithServiceTime(distribution ServiceTime, seed uint64) SearcherSettings {
	s.serviceTime = distribution
	s.seed = seed
	return s
}

// WithQueue returns the settings with the number of waiting sub-requests beyond which the searcher sheds.
func (s SearcherSettings) WithQueue(limit int) SearcherSettings {
	s.maxQueue = limit
	return s
}

// WithIndex returns the settings with further shards of an index snapshot.
func (s SearcherSettings) WithIndex(collection string, snapshot uint64, shards ...int) SearcherSettings {
	s.holdings = s.holdings.with(collection, snapshot, shards)
	return s
}

// WithColdStart returns the settings with a factor on service times at the start that falls linearly to 1 over the warm-up.
func (s SearcherSettings) WithColdStart(factor float64, warmUp time.Duration) SearcherSettings {
	s.coldFactor = factor
	s.warmUp = warmUp
	return s
}

// WithCrash returns the settings with a marker: a sub-request whose query contains it crashes the searcher when it takes a slot.
// The searcher restarts on the same port after the delay, or never if the delay is 0.
func (s SearcherSettings) WithCrash(marker string, restartAfter time.Duration) SearcherSettings {
	s.crashMarker = marker
	s.restartAfter = restartAfter
	return s
}

// WithRunLog returns the settings with the number of idempotent and of non-idempotent runs that the run log keeps.
func (s SearcherSettings) WithRunLog(limit int) SearcherSettings {
	s.runLog = limit
	return s
}
