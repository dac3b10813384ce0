package client

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	entriesPath = "/v1/entries"

	// Bounds of the time for which a directory answer is cached.
	minValid = 100 * time.Millisecond
	maxValid = 10 * time.Minute

	// refreshRetryInterval is the time between attempts to refresh an expired answer while no node returns a new one.
	refreshRetryInterval = time.Second
	// maxDirectoryTimeout and directoryTimeDivisor bound the time of a directory request, so that an unresponsive node leaves time
	// to ask the next. The divisor applies to the time until the deadline.
	maxDirectoryTimeout  = time.Second
	directoryTimeDivisor = 3
)

var readOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// directory is a cached answer of the directory. It is immutable.
type directory struct {
	addresses []string
	expires   time.Time
}

// directory returns the entries to use. While one goroutine refreshes an expired answer, the others continue to use it.
func (c *Client) directory(ctx context.Context, now time.Time) (*directory, error) {
	cached := c.cached.Load()
	if cached != nil && now.Before(cached.expires) {
		return cached, nil
	}
	if !c.beginRefresh(ctx, cached != nil) {
		if cached == nil {
			return nil, ctx.Err()
		}
		return cached, nil
	}
	defer func() { <-c.refreshing }()
	if newer := c.cached.Load(); newer != cached {
		return newer, nil
	}
	return c.refresh(ctx, cached)
}

// beginRefresh reports whether the calling goroutine must refresh the directory. It waits for another goroutine's refresh only if no
// answer is cached.
func (c *Client) beginRefresh(ctx context.Context, hasCached bool) bool {
	if hasCached {
		select {
		case c.refreshing <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case c.refreshing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// refresh asks the nodes in turn and prefers the answer of one that is neither alone nor resuming.
func (c *Client) refresh(ctx context.Context, expired *directory) (*directory, error) {
	var degraded *directory
	var failure error
	for _, address := range c.directoryNodes(expired) {
		answer, err := c.fetchDirectory(ctx, address)
		if err != nil {
			failure = errors.CombineErrors(failure, err)
			if ctx.Err() != nil {
				break
			}
			c.recordFailure(address, time.Now())
			continue
		}
		found := newDirectory(answer, time.Now())
		if len(found.addresses) == 0 {
			continue
		}
		if answer.GetAlone() || answer.GetResuming() {
			degraded = found
			continue
		}
		c.tokens.put(address, answer.GetTokens()...)
		c.cached.Store(found)
		return found, nil
	}
	return c.useFallback(degraded, expired, failure)
}

// useFallback caches the answer of a node that is alone or resuming, or else the expired answer, until the next attempt to refresh.
func (c *Client) useFallback(degraded, expired *directory, failure error) (*directory, error) {
	fallback := degraded
	if fallback == nil {
		fallback = expired
	}
	if fallback == nil {
		if failure == nil {
			failure = errors.New("the directory contains no entry")
		}
		return nil, failure
	}
	kept := &directory{addresses: fallback.addresses, expires: time.Now().Add(refreshRetryInterval)}
	c.cached.Store(kept)
	return kept, nil
}

// directoryNodes returns the nodes to send the directory request to: first the entries of the expired answer, then the configured
// addresses. Nodes that failed recently come last.
func (c *Client) directoryNodes(expired *directory) []string {
	var all []string
	if expired != nil {
		all = append(all, expired.addresses...)
	}
	for _, address := range c.settings.Addresses {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return c.orderByFailure(all, time.Now())
}

func (c *Client) fetchDirectory(ctx context.Context, address string) (*wire.Entries, error) {
	deadline, _ := ctx.Deadline()
	timeout := min(time.Until(deadline)/directoryTimeDivisor, maxDirectoryTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	parameters := url.Values{}
	parameters.Set("caller", c.settings.Caller)
	parameters.Set("zone", c.settings.AvailabilityZone)
	got, err := c.roundTrip(ctx, fasthttp.MethodGet, "http://"+address+entriesPath+"?"+parameters.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if got.status != fasthttp.StatusOK {
		return nil, errors.Newf("directory request to %s: status %d", address, got.status)
	}
	answer := &wire.Entries{}
	if err := readOptions.Unmarshal(got.body, answer); err != nil {
		return nil, errors.Wrapf(err, "decode directory answer of %s", address)
	}
	return answer, nil
}

func newDirectory(answer *wire.Entries, now time.Time) *directory {
	valid := min(max(answer.GetValid().AsDuration(), minValid), maxValid)
	d := &directory{expires: now.Add(valid)}
	for _, entry := range answer.GetEntries() {
		if entry.GetAddress() != "" {
			d.addresses = append(d.addresses, entry.GetAddress())
		}
	}
	return d
}
