// Package plans parses the operators' two lists into immutable values: the list of plans, and the list of uses, which states
// the collections that each plan may query.
package plans

import (
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Rank is a level of urgency; a lower value is more urgent.
type Rank int

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Routine
	Bulk

	// NumRanks is the number of ranks.
	NumRanks = 3
)

// Ranks returns all ranks, most urgent first.
func Ranks() [NumRanks]Rank { return [NumRanks]Rank{Urgent, Routine, Bulk} }

// String returns the rank as written in the list of plans.
func (r Rank) String() string {
	switch r {
	case Urgent:
		return "urgent"
	case Routine:
		return "routine"
	default:
		return "bulk"
	}
}

// Wire returns the rank as encoded in messages between nodes.
func (r Rank) Wire() wire.Rank {
	switch r {
	case Urgent:
		return wire.Rank_RANK_URGENT
	case Routine:
		return wire.Rank_RANK_ROUTINE
	default:
		return wire.Rank_RANK_BULK
	}
}

// RankFromWire returns the rank that a message encodes. An unspecified or unknown rank is Bulk.
func RankFromWire(r wire.Rank) Rank {
	switch r {
	case wire.Rank_RANK_URGENT:
		return Urgent
	case wire.Rank_RANK_ROUTINE:
		return Routine
	default:
		return Bulk
	}
}

// parseRank returns the rank with the given name in the list of plans, or Bulk if there is none.
func parseRank(text string) Rank {
	for _, rank := range Ranks() {
		if rank.String() == text {
			return rank
		}
	}
	return Bulk
}
