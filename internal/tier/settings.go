package tier

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/pace"
	"github.com/fireflylanding/fireflylanding/internal/relay"
)

// Settings configure a node whose routes and searchers come from a source.
type Settings struct {
	// Node is the name of the VM.
	Node   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string

	// Addresses to listen on, each an IP address and port.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	MetricsAddress   string
	PeerAddress      string
	// Seeds are peer addresses of some nodes; any of them may be stale.
	Seeds        []string
	StoreAddress string

	// Cores is the number of processors. CPUCapacity is their total capacity in whole cores.
	Cores       int
	CPUCapacity float64
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may use, 0 for what the system allows it.
	MaxDescriptors int
	// ApplyWithin is the time within which a change of the source must be in force.
	ApplyWithin time.Duration
	// StopTime is the time from SIGTERM until the process is killed.
	StopTime time.Duration
	// DirectoryValid is the maximum time for which callers may cache a directory answer.
	DirectoryValid time.Duration
	// Within RetryWindow, all nodes together may send RetryShare of the requests to a service, plus RetryAllowance,
	// as retries and hedges.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdAllowance is how far the requests of a second to a cold searcher may exceed its rate. The zero value allows none beyond the rate.
	ColdAllowance pace.Allowance
}

// Validate returns an error for the first setting that cannot be used.
func (s Settings) Validate() error {
	for name, address := range map[string]string{
		"caller address":    s.CallerAddress,
		"ready address":     s.ReadyAddress,
		"directory address": s.DirectoryAddress,
		"metrics address":   s.MetricsAddress,
		"peer address":      s.PeerAddress,
		"store address":     s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrap(err, name)
		}
	}
	switch {
	case s.Node == "" || s.Zone == "" || s.Region == "":
		return errors.New("node, zone or region is not set")
	case s.Regions[s.Zone] != s.Region:
		return errors.Newf("zone %q is not listed in region %q", s.Zone, s.Region)
	case s.StopTime <= 0 || s.ApplyWithin <= 0 || s.DirectoryValid <= 0 || s.RetryWindow <= 0:
		return errors.New("stop time, apply time, directory validity and retry window must be positive")
	case s.RetryShare < 0 || s.RetryAllowance < 0 || s.MemoryBytes < 0 || s.Cores < 0 || s.MaxDescriptors < 0:
		return errors.New("retry share, retry allowance, memory, cores and descriptors must not be negative")
	case s.ColdAllowance.Overshoot < 0 || s.ColdAllowance.Slack < 0:
		return errors.New("the overshoot and the slack of warm-ups must not be negative")
	}
	return nil
}

// coldAllowance returns how far the requests of a second to a cold searcher may exceed its rate.
func (s Settings) coldAllowance() pace.Allowance {
	if s.ColdAllowance == (pace.Allowance{}) {
		return pace.DefaultAllowance
	}
	return s.ColdAllowance
}

// budget returns the budget for retries and hedges.
func (s Settings) budget() relay.Budget {
	return relay.Budget{Share: s.RetryShare, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}
