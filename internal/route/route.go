package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Route says where the requests of a host and path prefix go, and what may be done with them.
type Route struct {
	name   string
	host   string
	prefix string
	target Target
	terms  Policy
	// group names the routes that share services with this one, directly or through others; a table sets it.
	group string
	// turn counts the requests of a split route. It starts at a random number, so that nodes do not choose in step.
	turn atomic.Uint64
}

// Policy are what may be done with the requests of a route.
type Policy struct {
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that the operator lets a request wait. Goal is the time in which an answer has its full value.
	Timeout time.Duration
	Goal    time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts is the greatest number of searchers that may get one request, for each shard.
	MaxAttempts int
}

// Target is where a route's requests go: Single, Split or Gather.
type Target interface{ target() }

// Single sends each request to one searcher of a service.
type Single struct{ Service string }

// Split spreads requests over services by weight.
type Split struct{ Shares []Share }

// Share is one service of a split.
type Share struct {
	Service string
	Weight  float64
}

// Gather sends each request to one searcher of every shard and merges the records of their replies.
type Gather struct {
	Shards []string
	// Top is the number of records in an answer, the greatest first.
	Top int
	// MinCoverage is the share of the shards that an answer must reflect.
	MinCoverage float64
}

func (Single) target() {}
func (Split) target()  {}
func (Gather) target() {}

// NewRoute returns a route. It fails on a target without services or weights.
func NewRoute(name, host, prefix string, target Target, terms Policy) (*Route, error) {
	if err := validate(target); err != nil {
		return nil, errors.Wrapf(err, "route %q", name)
	}
	r := &Route{name: name, host: host, prefix: prefix, target: target, terms: terms}
	r.turn.Store(uint64(rand.Uint32()))
	return r, nil
}

func validate(target Target) error {
	switch target := target.(type) {
	case Single:
		if target.Service == "" {
			return errors.New("no service")
		}
	case Split:
		sum := 0.0
		for _, share := range target.Shares {
			if share.Weight < 0 || share.Service == "" {
				return errors.New("a share has no service or a negative weight")
			}
			sum += share.Weight
		}
		if sum <= 0 {
			return errors.New("no share has a weight")
		}
	case Gather:
		if len(target.Shards) == 0 || target.Top < 1 {
			return errors.New("no shards or no records are asked for")
		}
	default:
		return errors.New("no target")
	}
	return nil
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host that the route serves.
func (r *Route) Host() string { return r.host }

// Target returns where requests go.
func (r *Route) Target() Target { return r.target }

// Policy returns what may be done with requests.
func (r *Route) Policy() Policy { return r.terms }

// Group names the routes of the table that share services with this one, directly or through others.
func (r *Route) Group() string { return r.group }

// Services returns the services that the route may use.
func (r *Route) Services() []string {
	switch target := r.target.(type) {
	case Single:
		return []string{target.Service}
	case Split:
		services := make([]string, len(target.Shares))
		for i, share := range target.Shares {
			services[i] = share.Service
		}
		return services
	case Gather:
		return target.Shards
	default:
		return nil
	}
}

// goldenRatio makes a sequence whose values spread evenly over [0, 1) from the first on.
const goldenRatio = 0.6180339887498949

// Next returns the service for the next request of a single or split route, and false for a route over shards.
// Successive results of a split follow the weights closely, also over few requests.
func (r *Route) Next() (string, bool) {
	switch target := r.target.(type) {
	case Single:
		return target.Service, true
	case Split:
		_, position := math.Modf(float64(r.turn.Add(1)) * goldenRatio)
		return target.at(position), true
	default:
		return "", false
	}
}

// at returns the service at a position in [0, 1) of the weights laid end to end.
func (s Split) at(position float64) string {
	sum := 0.0
	for _, share := range s.Shares {
		sum += share.Weight
	}
	rest := position * sum
	last := ""
	for _, share := range s.Shares {
		if share.Weight == 0 {
			continue
		}
		last = share.Service
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return last
}
