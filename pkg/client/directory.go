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

	// Bounds of the time that a directory answer is kept.
	minValid = 100 * time.Millisecond
	maxValid = 10 * time.Minute

	// renewPause is the time between attempts to replace an expired answer while no node gives a new one.
	renewPause = time.Second
	// maxDirectoryTimeout and directoryTimeDivisor bound one directory request, so that a hung node leaves time for the next.
	maxDirectoryTimeout  = time.Second
	directoryTimeDivisor = 3
)

var readOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// directory is one answer of the directory. It is immutable.
type directory struct {
	addresses []string
	expires   time.Time
}

// directory returns the entries to use. While one caller renews an expired answer, the others keep using it.
func (c *Client) directory(ctx context.Context, now time.Time) (*directory, error) {
	known := c.known.Load()
	if known != nil && now.Before(known.expires) {
		return known, nil
	}
	if !c.beginRenewal(ctx, known != nil) {
		if known == nil {
			return nil, ctx.Err()
		}
		return known, nil
	}
	defer func() { <-c.renewing }()
	if newer := c.known.Load(); newer != known {
		return newer, nil
	}
	return c.renew(ctx, known)
}

// beginRenewal reports whether the caller is to renew the directory. It waits for another caller only if nothing is known.
func (c *Client) beginRenewal(ctx context.Context, known bool) bool {
	if known {
		select {
		case c.renewing <- struct{}{}:
			return true
		default:
			return false
		}
	}
	select {
	case c.renewing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// renew asks the nodes in turn and prefers one that is neither alone nor resuming.
func (c *Client) renew(ctx context.Context, known *directory) (*directory, error) {
	var doubtful *directory
	var failure error
	for _, address := range c.sources(known) {
		answer, err := c.fetch(ctx, address)
		if err != nil {
			failure = errors.CombineErrors(failure, err)
			if ctx.Err() != nil {
				break
			}
			c.fail(address, time.Now())
			continue
		}
		found := newDirectory(answer, time.Now())
		if len(found.addresses) == 0 {
			continue
		}
		if answer.GetAlone() || answer.GetResuming() {
			doubtful = found
			continue
		}
		c.tokens.put(address, answer.GetTokens()...)
		c.known.Store(found)
		return found, nil
	}
	return c.keep(doubtful, known, failure)
}

// keep falls back to the answer of a node in doubt, or else to the expired answer.
func (c *Client) keep(doubtful, known *directory, failure error) (*directory, error) {
	fallback := doubtful
	if fallback == nil {
		fallback = known
	}
	if fallback == nil {
		if failure == nil {
			failure = errors.New("the directory names no entry")
		}
		return nil, failure
	}
	kept := &directory{addresses: fallback.addresses, expires: time.Now().Add(renewPause)}
	c.known.Store(kept)
	return kept, nil
}

// sources returns the nodes to ask for the directory: the known entries, then the bootstrap addresses.
func (c *Client) sources(known *directory) []string {
	var all []string
	if known != nil {
		all = append(all, known.addresses...)
	}
	for _, address := range c.settings.Addresses {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return c.order(all, time.Now())
}

func (c *Client) fetch(ctx context.Context, address string) (*wire.Entries, error) {
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
		return nil, errors.Newf("%s answered the directory request with status %d", address, got.status)
	}
	answer := &wire.Entries{}
	if err := readOptions.Unmarshal(got.body, answer); err != nil {
		return nil, errors.Wrapf(err, "directory answer of %s", address)
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
