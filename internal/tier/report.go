package tier

import (
	"time"

	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/roster"
)

// statusPath serves the status report of a node.
const statusPath = "/v1/status"

// Report is the status report of a node for operators. Times are in milliseconds.
type Report struct {
	Node   string `json:"node"`
	Region string `json:"region"`
	Zone   string `json:"availability_zone"`
	Phase  string `json:"phase"`
	// RoutesVersion is 0 before the first version.
	RoutesVersion uint64 `json:"routes_version"`
	Routes        int    `json:"routes"`
	// StoreAge is the time since the store was last known to have nothing newer. StoreRemovalHold is the time for which removed searchers stay
	// in use.
	StoreRevision    uint64 `json:"store_revision"`
	StoreEra         uint64 `json:"store_era"`
	StoreAge         int64  `json:"store_age_ms"`
	StoreRemovalHold int64  `json:"store_doubt_ms"`
	ReadsStore       bool   `json:"reads_store"`
	// EvacuatedZones are the availability zones whose searchers get no new requests.
	EvacuatedZones []string `json:"evacuated_availability_zones"`
	InFlight       int      `json:"requests_in_flight"`
	// SearchersReached is the share of the searchers that the node reaches, absent while it has no recent evidence.
	SearchersReached *float64 `json:"searchers_reached_share,omitempty"`
	Connections      int      `json:"caller_connections"`
	// Limits are the limits on queries in flight by group of routes.
	Limits    map[string]relay.LimitReport `json:"limits"`
	Searchers []relay.SearcherReport       `json:"searchers"`
	Nodes     []NodeReport                 `json:"nodes"`
}

// NodeReport is what a node knows of another node or of itself.
type NodeReport struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"availability_zone"`
	Phase  string `json:"phase"`
	// Live is set when the node is ready and not silent, and Active when callers are directed to it.
	Live   bool `json:"live"`
	Active bool `json:"active"`
	// Load is the number of cores that its requests use.
	Load float64 `json:"load_cores"`
}

// Report returns the status of the node at now.
func (t *Tier) Report(now time.Time) Report {
	self, position := t.roster.Self(), t.follower.Position(now)
	report := Report{
		Node: self.ID, Region: self.Region, Zone: self.Zone, Phase: self.Phase.String(),
		StoreRevision: position.Revision.Number(), StoreEra: position.Revision.Era(), StoreAge: position.Age.Milliseconds(), StoreRemovalHold: position.RemovalHold.Milliseconds(),
		ReadsStore: t.isReader(), EvacuatedZones: t.follower.Evacuated(), InFlight: t.engine.InFlight(), Connections: t.edge.Connections(),
		Limits: t.engine.Limits(), Searchers: t.engine.Searchers(now), Nodes: t.nodeReports(now),
	}
	if reached := t.engine.Reach(); reached.Known() {
		share := reached.Share()
		report.SearchersReached = &share
	}
	if table := t.follower.Table(); table != nil {
		report.RoutesVersion, report.Routes = table.Version(), len(table.Routes())
	}
	return report
}

func (t *Tier) nodeReports(now time.Time) []NodeReport {
	live, active := idsOf(t.roster.Live(now)), idsOf(t.roster.Active(now))
	var reports []NodeReport
	for _, s := range t.roster.Members() {
		reports = append(reports, NodeReport{
			ID: s.ID, Region: s.Region, Zone: s.Zone, Phase: s.Phase.String(), Live: live[s.ID], Active: active[s.ID], Load: s.Load,
		})
	}
	return reports
}

func idsOf(states []roster.State) map[string]bool {
	ids := make(map[string]bool, len(states))
	for _, s := range states {
		ids[s.ID] = true
	}
	return ids
}
