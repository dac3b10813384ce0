package bench

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// groupShards is the number of consecutive shards that have the same owners.
const groupShards = 8

// Fault is a fault or a change of the fleet: Slow, Crash, Leave, Silence, Republish, Retire, Restart or HalfOpen.
type Fault interface{ fault() }

// Slow multiplies the service time of the first searcher of each shard group.
type Slow struct{ Factor float64 }

// Crash stops one replica of every second shard.
type Crash struct{}

// Leave drains one replica of each shard, which is a third of the searchers. Half of these announce it themselves, the other
// half are marked as leaving in the VM list.
type Leave struct{}

// Silence makes a number of connections to each replica of the first shard stop responding.
type Silence struct{ Connections int }

// Republish publishes a new index snapshot with its own number of shards.
type Republish struct {
	Snapshot uint64
	Shards   int
}

// Retire withdraws an index snapshot.
type Retire struct{ Snapshot uint64 }

// Restart restarts one replica of each shard, which then has a cold start.
type Restart struct{}

func (Slow) fault()      {}
func (Crash) fault()     {}
func (Leave) fault()     {}
func (Silence) fault()   {}
func (Republish) fault() {}
func (Retire) fault()    {}
func (Restart) fault()   {}

// scheduledFault is a fault with its time, as an offset from the start of the trial, from a section [fault NAME].
type scheduledFault struct {
	at    time.Duration
	fault Fault
}

// faultSection holds the keys of a section [fault NAME].
type faultSection struct {
	At          time.Duration `ini:"at"`
	Kind        string        `ini:"kind"`
	Factor      float64       `ini:"factor"`
	Connections int           `ini:"connections"`
	Snapshot    uint64        `ini:"snapshot"`
	Shards      int           `ini:"shards"`
}

func newScheduledFault(section *ini.Section) (scheduledFault, error) {
	s := faultSection{Factor: 10, Connections: 1}
	if err := mapStrict(section, &s); err != nil {
		return scheduledFault{}, err
	}
	kinds := map[string]Fault{
		"slow":      Slow{Factor: s.Factor},
		"crash":     Crash{},
		"leave":     Leave{},
		"silence":   Silence{Connections: s.Connections},
		"republish": Republish{Snapshot: s.Snapshot, Shards: s.Shards},
		"retire":    Retire{Snapshot: s.Snapshot},
		"restart":   Restart{},
		"half-open": HalfOpen{Connections: s.Connections},
	}
	fault, ok := kinds[s.Kind]
	if !ok {
		return scheduledFault{}, errors.Newf("unknown kind %q", s.Kind)
	}
	return scheduledFault{at: s.At, fault: fault}, nil
}

// inject injects a fault. The searcher with number n is replica n%replicas of shard n/replicas in the first snapshot.
func (t *trial) inject(f Fault) error {
	all := t.searchers.Searchers(collection)
	switch f := f.(type) {
	case Slow:
		for n := 0; n < len(all); n += groupShards * replicas {
			all[n].SetSlowdown(f.Factor)
		}
	case Crash:
		for shard := 0; shard < firstShards; shard += 2 {
			all[shard*replicas+shard/2%replicas].Crash()
		}
	case Leave:
		return t.leave()
	case Silence:
		for _, s := range all[:replicas] {
			s.SilenceConnections(f.Connections)
		}
	case Republish:
		t.shardCounts[f.Snapshot] = f.Shards
		return t.searchers.PublishSnapshot(collection, f.Snapshot, f.Shards)
	case HalfOpen:
		var err error
		t.halfOpen, err = openHalfOpen(t.nodes.Addresses(), f.Connections)
		return err
	case Retire:
		return t.searchers.RetireSnapshot(collection, f.Snapshot)
	case Restart:
		for shard := range firstShards {
			if err := all[shard*replicas+shard%replicas].Restart(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *trial) leave() error {
	all := t.searchers.Searchers(collection)
	for shard := range firstShards {
		s := all[shard*replicas+shard%replicas]
		t.leavingSince[s.ID()] = time.Now()
		if shard%2 == 0 {
			s.Leave()
			continue
		}
		if err := t.searchers.MarkLeaving(s.ID()); err != nil {
			return err
		}
	}
	return nil
}

// schedule returns the faults of the scenario, ordered by time.
func (s *Scenario) schedule() []scheduledFault {
	ordered := slices.Clone(s.faults)
	slices.SortStableFunc(ordered, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return ordered
}
