// Package proof tests the promises in section 1.1 of the design with real nodes in front of stand-ins of the searchers and of the
// configuration service, while failures are injected.
package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/fireflylanding/fireflylanding/internal/fakes"
	"github.com/fireflylanding/fireflylanding/internal/local"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/status"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const (
	lamps  = "lamps"
	orders = "orders"

	urgentPlan = "urgent"
	bulkPlan   = "bulk"

	// crashMarker in a query crashes each searcher that runs it.
	crashMarker = "crash-marker"

	directoryValid = 300 * time.Millisecond
	digestInterval = 100 * time.Millisecond
	// waitTimeout bounds each wait for a condition that has no bound of its own.
	waitTimeout = 20 * time.Second
	// restartAfter is the time after which a crashed searcher restarts.
	restartAfter = 300 * time.Millisecond
)

// fleetOptions are the options of a test's fleet; the zero value selects the defaults.
type fleetOptions struct {
	nodesPerRegion int
	serviceTime    time.Duration
	platform       fakes.PlatformSettings
	settings       func(*wire.Settings)
}

// fleetSettings returns the settings of a fleet in three regions. It has a collection for searches, with a replica of each
// shard in each region, and one for non-idempotent requests.
func fleetSettings(options fleetOptions) fakes.FleetSettings {
	service := options.serviceTime
	if service == 0 {
		service = 2 * time.Millisecond
	}
	searcher := fakes.NewSearcherSettings("").
		WithServiceTime(fakes.Fixed{Time: service}, 1).
		WithConnections(50, 0).
		WithCrash(crashMarker, restartAfter)
	list := []plans.Plan{
		plans.NewPlan(urgentPlan, "proof", plans.Urgent, 1, plans.Coverage{}),
		plans.NewPlan(bulkPlan, "proof", plans.Bulk, 1, plans.Tail{}),
	}
	var uses []plans.Use
	for _, plan := range list {
		for _, collection := range []string{lamps, orders} {
			uses = append(uses, plans.NewUse(plan.Name(), collection, 100000, 10000))
		}
	}
	return fakes.NewFleetSettings(
		fakes.NewRegion("north", "north-a", "north-b"),
		fakes.NewRegion("south", "south-a", "south-b"),
		fakes.NewRegion("west", "west-a", "west-b")).
		WithPlatform(options.platform).
		WithCollections(
			fakes.NewCollectionSettings(lamps, 4, 3).WithSearcher(searcher),
			fakes.NewCollectionSettings(orders, 2, 2).WithSearcher(searcher)).
		WithPlans(list...).
		WithUses(uses...)
}

// startFleet starts stand-ins and nodes in this process and stops them at the end of the test.
func startFleet(t *testing.T, options fleetOptions) *local.Fleet {
	t.Helper()
	searchers, err := fakes.StartFleet(fleetSettings(options))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(searchers.Close)
	f := local.New(searchers, local.Options{EmulateNetwork: true, AdjustSettings: func(s *wire.Settings) {
		s.GetDirectory().SetValid(durationpb.New(directoryValid))
		s.GetPeers().SetDigestInterval(durationpb.New(digestInterval))
		s.GetLimits().SetDefaultDeadline(durationpb.New(2 * time.Second))
		if options.settings != nil {
			options.settings(s)
		}
	}})
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := f.StartPerRegion(ctx, max(1, options.nodesPerRegion)); err != nil {
		t.Fatal(err)
	}
	await(t, waitTimeout, "all nodes to discover each other", func() bool {
		for _, n := range f.Nodes() {
			if len(n.Node().View().Entries()) != len(f.Nodes()) {
				return false
			}
		}
		return true
	})
	return f
}

// await waits until a condition holds and fails the test if it does not hold within the time.
func await(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := local.Wait(ctx, condition); err != nil {
		t.Fatalf("timed out waiting for %s within %v", what, within)
	}
}

// caller sends each request exactly once, on a connection of its own, so that the HTTP client never repeats a request.
type caller struct {
	http *http.Client
}

func newCaller(timeout time.Duration) *caller {
	return &caller{http: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// reply is the response of an entry.
type reply struct {
	status int
	answer *wire.Answer
}

// ask sends a query to an entry. It returns an error if there is no answer.
func (c *caller) ask(ctx context.Context, address string, query *wire.Query) (reply, error) {
	body, err := protojson.Marshal(query)
	if err != nil {
		return reply{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/query", bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	code, text, err := c.do(request)
	if err != nil {
		return reply{}, err
	}
	answer := &wire.Answer{}
	if err := protojson.Unmarshal(text, answer); err != nil {
		return reply{}, fmt.Errorf("status %d, body %q: %w", code, text, err)
	}
	return reply{status: code, answer: answer}, nil
}

func (c *caller) do(request *http.Request) (int, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// entries queries the directory of a node.
func (c *caller) entries(ctx context.Context, address string) (*wire.Entries, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?caller=proof&zone="+url.QueryEscape("north-a"), nil)
	if err != nil {
		return nil, err
	}
	code, text, err := c.do(request)
	if err != nil {
		return nil, err
	}
	if code != http.StatusOK {
		return nil, fmt.Errorf("status %d, body %q", code, text)
	}
	entries := &wire.Entries{}
	return entries, protojson.Unmarshal(text, entries)
}

// report returns the status page of a node.
func (c *caller) report(ctx context.Context, admin string) (status.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/v1/status", nil)
	if err != nil {
		return status.Report{}, err
	}
	_, text, err := c.do(request)
	if err != nil {
		return status.Report{}, err
	}
	var report status.Report
	return report, json.Unmarshal(text, &report)
}

// searchQuery returns an idempotent query for the collection lamps.
func searchQuery(text string, deadline time.Duration) *wire.Query {
	return wire.Query_builder{Plan: urgentPlan, Collection: lamps, Query: text, Deadline: durationpb.New(deadline)}.Build()
}

// orderRequest returns a non-idempotent request for the collection orders.
func orderRequest(text, token string, deadline time.Duration) *wire.Query {
	return wire.Query_builder{Plan: urgentPlan, Collection: orders, Query: text, Key: text, NonIdempotent: true, Token: token,
		Deadline: durationpb.New(deadline)}.Build()
}
