package tier

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/relay"
)

// Settings of a node whose routes and searchers come from a source.
type Settings struct {
	// Node is the name of the VM.
	Node   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string

	// Addresses to listen on: IP address and port.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	MetricsAddress   string
	PeerAddress      string
	// Seeds are peer addresses of some nodes; any of them may be stale.
	Seeds        []string
	StoreAddress string

	// Cores is the number of processors, Power their sum in whole cores.
	Cores       int
	CPUCapacity float64
	MemoryBytes int64
	// ApplyWithin is the time in which a change of the source must be in force.
	ApplyWithin time.Duration
	// StopTime is the time from SIGTERM until the process is killed.
	StopTime time.Duration
	// DirectoryValid is the longest time that callers keep an answer of the directory.
	DirectoryValid time.Duration
	// All nodes together may send ExtraShare of the requests to a service, plus ExtraAllowance, as repeats within ExtraWindow.
	RetryShare     float64
	RetryAllowance float64
	RetryWindow    time.Duration
}

// Validate reports the first setting that cannot be used.
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
		return errors.New("node, zone or region is missing")
	case s.Regions[s.Zone] != s.Region:
		return errors.Newf("zone %q is not listed in region %q", s.Zone, s.Region)
	case s.StopTime <= 0 || s.ApplyWithin <= 0 || s.DirectoryValid <= 0 || s.RetryWindow <= 0:
		return errors.New("a time is not positive")
	case s.RetryShare < 0 || s.RetryAllowance < 0 || s.MemoryBytes < 0 || s.Cores < 0:
		return errors.New("a bound is negative")
	}
	return nil
}

// budget returns the bound on repeats.
func (s Settings) budget() relay.Budget {
	return relay.Budget{Share: s.RetryShare, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}
