package tier

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/relay"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// placementPath serves the explanation where a request would go.
const placementPath = "/v1/placement"

// PlacementReport explains where a request would go if it reached this node now.
type PlacementReport struct {
	Node   string `json:"node"`
	Region string `json:"region"`
	Zone   string `json:"availability_zone"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	// Ready is set while the directory names this node. Stranded is set while other nodes reach far more searchers.
	Ready    bool `json:"ready"`
	Stranded bool `json:"stranded"`
	// RoutesVersion is 0 before the first version. EvacuatedZones are the availability zones whose searchers get no new requests.
	RoutesVersion  uint64   `json:"routes_version"`
	EvacuatedZones []string `json:"evacuated_availability_zones"`
	// Refusal is why the node would refuse the request at once, empty if it would not.
	Refusal string `json:"refusal,omitempty"`
	// Placement is nil if no route serves the request.
	Placement *relay.PlacementReport `json:"placement,omitempty"`
}

// Placement explains where a request for a path of a host would go at now. timeout is how long its caller waits, 0 if it does not say. It
// changes no state.
func (t *Tier) Placement(now time.Time, host, path string, timeout time.Duration) PlacementReport {
	self := t.roster.Self()
	report := PlacementReport{
		Node: self.ID, Region: self.Region, Zone: self.Zone, Host: host, Path: path, Ready: t.Ready(), Stranded: t.engine.Stranded(),
		EvacuatedZones: t.follower.Evacuated(),
	}
	if refusal := t.checkServing(); refusal != nil {
		report.Refusal = reason.Name(refusal.Reason())
	}
	table := t.follower.Table()
	if table == nil {
		return report
	}
	report.RoutesVersion = table.Version()
	found, ok := table.Find(host, path)
	if !ok {
		if report.Refusal == "" {
			report.Refusal = reason.Name(wire.Reason_REASON_ROUTE_UNKNOWN)
		}
		return report
	}
	placement := t.engine.Placement(now, found, timeout)
	report.Placement = &placement
	if report.Refusal == "" {
		report.Refusal = placement.Refusal
	}
	return report
}

// maxTimeoutBits bounds the timeout in milliseconds that a query may state.
const maxTimeoutBits = 32

func (t *Tier) servePlacement(c fiber.Ctx) error {
	host, path := c.Query("host"), c.Query("path")
	if host == "" || path == "" {
		return c.Status(fiber.StatusBadRequest).SendString("host or path is missing")
	}
	timeout, err := strconv.ParseUint(c.Query("timeout_ms", "0"), 10, maxTimeoutBits)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("timeout_ms is not a number of milliseconds")
	}
	return c.JSON(t.Placement(t.clock(), host, path, time.Duration(timeout)*time.Millisecond))
}
