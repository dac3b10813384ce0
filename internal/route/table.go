// Package route holds the operator's routes as an immutable table: which requests go to which services, and within which limits.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of a request's head and body.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the maximum time for sending a head; IdleTimeout is the maximum time between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a group of interchangeable searchers. Each shard is a service of its own.
type Service struct {
	name     string
	maxConns int
	warmup   Warmup
}

// Warmup is how a service's searchers warm up after they start.
type Warmup struct {
	// Duration is how long a searcher is cold. PerSecond is the number of requests a second that a cold one takes from all nodes together, 0
	// without a limit.
	Duration  time.Duration
	PerSecond float64
}

// NewService returns a service, each of whose searchers accepts maxConns connections from all callers together.
func NewService(name string, maxConns int) Service {
	return Service{name: name, maxConns: maxConns}
}

// WithWarmup returns the service with a warm-up of its searchers.
func (s Service) WithWarmup(w Warmup) Service {
	s.warmup = w
	return s
}

// Warmup returns how the searchers warm up.
func (s Service) Warmup() Warmup { return s.warmup }

// Name returns the name that searchers register under.
func (s Service) Name() string { return s.name }

// MaxConns returns the number of connections that a searcher accepts from all nodes together.
func (s Service) MaxConns() int { return s.maxConns }

// Table is one immutable version of the routes.
type Table struct {
	version  uint64
	routes   []*Route
	byPrefix map[string]map[string]*Route
	services map[string]Service
	limits   Limits
	// homes holds the restrictions of the routes by host.
	homes map[string][]Homes
	// ignored lists the fields of the configuration that were not used.
	ignored []IgnoredField
}

// New returns a table. It fails if two routes have the same host and prefix, or if a route uses a service that is not listed.
func New(version uint64, routes []*Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version:  version,
		routes:   routes,
		byPrefix: make(map[string]map[string]*Route),
		services: make(map[string]Service, len(services)),
		limits:   limits,
		homes:    make(map[string][]Homes),
	}
	for _, service := range services {
		t.services[service.name] = service
	}
	for _, r := range routes {
		for _, service := range r.Services() {
			if _, ok := t.services[service]; !ok {
				return nil, errors.Newf("route %q: service %q is not listed", r.name, service)
			}
		}
		prefixes := t.byPrefix[r.host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.byPrefix[r.host] = prefixes
		}
		if _, ok := prefixes[r.prefix]; ok {
			return nil, errors.Newf("route %q: host %q and prefix %q are already used by another route", r.name, r.host, r.prefix)
		}
		prefixes[r.prefix] = r
		if r.policy.Homes.Restricted() {
			t.homes[r.host] = append(t.homes[r.host], r.policy.Homes)
		}
	}
	t.assignGroups()
	return t, nil
}

// assignGroups assigns one group to the routes that share services, directly or through other routes. The group is named after the
// alphabetically first of these services.
func (t *Table) assignGroups() {
	// parents is a union-find forest: it maps a service to another one of its group, or to itself at the root.
	parents := make(map[string]string)
	var root func(service string) string
	root = func(service string) string {
		parent, ok := parents[service]
		if !ok || parent == service {
			return service
		}
		parents[service] = root(parent)
		return parents[service]
	}
	for _, r := range t.routes {
		services := r.Services()
		for _, service := range services[1:] {
			one, other := root(services[0]), root(service)
			parents[max(one, other)] = min(one, other)
		}
	}
	for _, r := range t.routes {
		r.group = root(r.Services()[0])
	}
}

// Version returns the operator's version of the table.
func (t *Table) Version() uint64 { return t.version }

// Routes returns all routes. The caller must not modify the result.
func (t *Table) Routes() []*Route { return t.routes }

// Ignore records fields of the configuration that are not used. It must be called before the table is shared.
func (t *Table) Ignore(fields []IgnoredField) { t.ignored = append(t.ignored, fields...) }

// Ignored returns the fields of the configuration that are not used. The caller must not modify the result.
func (t *Table) Ignored() []IgnoredField { return t.ignored }

// HostAllows reports whether all routes of a host may be served in a region.
func (t *Table) HostAllows(host, region string) bool {
	return !slices.ContainsFunc(t.homes[host], func(h Homes) bool { return !h.Allow(region) })
}

// HostAllowsSome reports whether a region is a home region of some route of a host, or the host has no route with home regions.
func (t *Table) HostAllowsSome(host, region string) bool {
	homes := t.homes[host]
	return len(homes) == 0 || slices.ContainsFunc(homes, func(h Homes) bool { return h.Allow(region) })
}

// HomesOf returns the home regions that this version has for a route of another version, or those of the route itself if this version lacks it.
func (t *Table) HomesOf(r *Route) Homes {
	if t == nil {
		return r.policy.Homes
	}
	if current, ok := t.byPrefix[r.host][r.prefix]; ok {
		return current.policy.Homes
	}
	return r.policy.Homes
}

// LimitsWarmups reports whether some service limits the requests to searchers that warm up.
func (t *Table) LimitsWarmups() bool {
	for _, service := range t.services {
		if service.warmup.PerSecond > 0 {
			return true
		}
	}
	return false
}

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// ServiceNames returns the names of all services in no particular order.
func (t *Table) ServiceNames() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	return names
}

// Find returns the route of the host with the longest prefix that matches the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	prefixes := t.byPrefix[host]
	if prefixes == nil {
		return nil, false
	}
	path, _, _ = strings.Cut(path, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}
