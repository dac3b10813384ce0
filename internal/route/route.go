package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Route maps the requests of a host and path prefix to services, with the policy for running them.
type Route struct {
	name   string
	host   string
	prefix string
	target Target
	policy Policy
	// group identifies the routes that share services with this one, directly or through other routes. The table sets it.
	group string
	// sequence counts the requests of a split route. It starts at a random number so that nodes do not choose services in lockstep.
	sequence atomic.Uint64
}

// Policy says how the requests of a route may be run.
type Policy struct {
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that the operator lets a request wait. Goal is the latency within which an answer has its full value.
	Timeout time.Duration
	Goal    time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// MaxAttempts is the maximum number of searchers, per shard, that may run one request.
	MaxAttempts int
	// Homes are the regions whose searchers may run a request.
	Homes Homes
}

// Target is the destination of a route's requests: Single, Split or Gather.
type Target interface{ target() }

// Single sends each request to one searcher of a service.
type Single struct{ Service string }

// Split distributes requests over services by weight.
type Split struct{ Shares []Share }

// Share is one service of a split with its weight.
type Share struct {
	Service string
	Weight  float64
}

// Gather sends each request to one searcher of every shard and merges the records of their replies.
type Gather struct {
	Shards []string
	// Top is the number of records in an answer; the greatest are kept, in descending order.
	Top int
	// MinCoverage is the fraction of the shards that an answer must include.
	MinCoverage float64
}

func (Single) target() {}
func (Split) target()  {}
func (Gather) target() {}

// NewRoute returns a route. It fails if the target is incomplete, for example without services or weights.
func NewRoute(name, host, prefix string, target Target, policy Policy) (*Route, error) {
	if err := validateTarget(target); err != nil {
		return nil, errors.Wrapf(err, "route %q", name)
	}
	r := &Route{name: name, host: host, prefix: prefix, target: target, policy: policy}
	r.sequence.Store(uint64(rand.Uint32()))
	return r, nil
}

func validateTarget(target Target) error {
	switch target := target.(type) {
	case Single:
		if target.Service == "" {
			return errors.New("service is missing")
		}
	case Split:
		sum := 0.0
		for _, share := range target.Shares {
			if share.Weight < 0 || share.Service == "" {
				return errors.New("a split share has no service or a negative weight")
			}
			sum += share.Weight
		}
		if sum <= 0 {
			return errors.New("no split share has a positive weight")
		}
	case Gather:
		if len(target.Shards) == 0 || target.Top < 1 {
			return errors.New("a gather target needs at least one shard and one record")
		}
	default:
		return errors.New("target is missing")
	}
	return nil
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host that the route serves.
func (r *Route) Host() string { return r.host }

// Target returns the destination of the route's requests.
func (r *Route) Target() Target { return r.target }

// Policy returns the policy for the route's requests.
func (r *Route) Policy() Policy { return r.policy }

// Group identifies the routes of the table that share services with this one, directly or through other routes.
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

// goldenRatio is the step of a sequence modulo 1 whose values are evenly spread over [0, 1) from the first one on.
const goldenRatio = 0.6180339887498949

// Next returns the service for the next request of a single or split route, and false for a route over shards. Successive results of a
// split follow the weights closely, even over few requests.
func (r *Route) Next() (string, bool) {
	switch target := r.target.(type) {
	case Single:
		return target.Service, true
	case Split:
		_, position := math.Modf(float64(r.sequence.Add(1)) * goldenRatio)
		return target.pick(position), true
	default:
		return "", false
	}
}

// pick returns the service at a position in [0, 1) of the cumulative weights.
func (s Split) pick(position float64) string {
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
