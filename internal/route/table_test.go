package route

import (
	"math"
	"testing"
	"time"
)

func mustRoute(t *testing.T, name, prefix string, target Target) *Route {
	t.Helper()
	r, err := NewRoute(name, "host", prefix, target, Policy{Idempotent: true, Timeout: time.Second, Goal: time.Second, MaxAttempts: 2})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a request that takes a route with a shorter prefix than the longest one that matches, a route of another host, or a route
// whose prefix matches only part of a path segment.
func TestFind(t *testing.T) {
	service := Single{Service: "s"}
	routes := []*Route{mustRoute(t, "short", "/a/", service), mustRoute(t, "long", "/a/b/", service), mustRoute(t, "other", "/c/", service)}
	table, err := New(1, routes, []Service{NewService("s", 10)}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		host string
		path string
		want string
	}{
		"short prefix":               {host: "host", path: "/a/x", want: "short"},
		"long prefix":                {host: "host", path: "/a/b/x", want: "long"},
		"the prefix itself":          {host: "host", path: "/a/b/", want: "long"},
		"prefix without its slash":   {host: "host", path: "/a/b", want: "short"},
		"deep path":                  {host: "host", path: "/a/b/c/d/e", want: "long"},
		"slashes in the query":       {host: "host", path: "/a/x?y=/a/b/", want: "short"},
		"query right after a prefix": {host: "host", path: "/a/b/?x", want: "long"},
		"no route":                   {host: "host", path: "/d/x"},
		"part of a path segment":     {host: "host", path: "/ab/x"},
		"another host":               {host: "elsewhere", path: "/a/x"},
		"empty path":                 {host: "host", path: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found, ok := table.Find(test.host, test.path)
			got := ""
			if ok {
				got = found.Name()
			}
			if got != test.want {
				t.Errorf("got route %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a table in force that names an unknown service, or that has two routes of the same host and prefix. Nothing would decide
// between the two, so that it would be arbitrary which one a request takes.
func TestTableRefuses(t *testing.T) {
	services := []Service{NewService("s", 10)}
	tests := map[string][]*Route{
		"unknown service": {mustRoute(t, "r", "/a/", Single{Service: "other"})},
		"unknown shard":   {mustRoute(t, "r", "/a/", Gather{Shards: []string{"s", "other"}, Top: 1, MinCoverage: 0.5})},
		"same prefix":     {mustRoute(t, "r", "/a/", Single{Service: "s"}), mustRoute(t, "q", "/a/", Single{Service: "s"})},
	}
	for name, routes := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(1, routes, services, Limits{}); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// Guards against a route without a usable target, whose requests could not be sent anywhere or would return no records.
func TestRouteRefuses(t *testing.T) {
	tests := map[string]Target{
		"no service": Single{},
		"no weight":  Split{Shares: []Share{{Service: "s"}}},
		"no shards":  Gather{Top: 1},
		"no records": Gather{Shards: []string{"s"}},
		"no target":  nil,
	}
	for name, target := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := NewRoute("r", "host", "/a/", target, Policy{}); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// Guards against shares of a split that deviate from the weights, also over few requests.
func TestSplitFollowsWeights(t *testing.T) {
	tests := map[string]struct {
		weights  []float64
		requests int
		within   float64
	}{
		"even":        {weights: []float64{1, 1}, requests: 60, within: 0.04},
		"uneven":      {weights: []float64{9, 1}, requests: 300, within: 0.02},
		"three":       {weights: []float64{5, 3, 2}, requests: 300, within: 0.02},
		"one is zero": {weights: []float64{1, 0, 3}, requests: 300, within: 0.02},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var shares []Share
			sum := 0.0
			for i, weight := range test.weights {
				shares = append(shares, Share{Service: string(rune('a' + i)), Weight: weight})
				sum += weight
			}
			r := mustRoute(t, "r", "/a/", Split{Shares: shares})
			counts := make(map[string]int)
			for range test.requests {
				service, ok := r.Next()
				if !ok {
					t.Fatal("got no service, want one")
				}
				counts[service]++
			}
			for _, share := range shares {
				got, want := float64(counts[share.Service])/float64(test.requests), share.Weight/sum
				if math.Abs(got-want) > test.within || (want == 0 && got > 0) {
					t.Errorf("share of %s: got %.3f, want %.3f", share.Service, got, want)
				}
			}
		})
	}
}

// Guards against routes that load the same shards, directly or through other routes, but are not in one group and so not limited together,
// and against unrelated routes that are.
func TestGroups(t *testing.T) {
	gather := func(name string, shards ...string) *Route {
		r, err := NewRoute(name, "h", "/"+name+"/", Gather{Shards: shards, Top: 1}, Policy{})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	a, b, c, d := gather("a", "s3", "s1"), gather("b", "s2", "s3"), gather("c", "s4"), gather("d", "s2")
	var services []Service
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		services = append(services, NewService(name, 1))
	}
	if _, err := New(1, []*Route{a, b, c, d}, services, Limits{}); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Route{a, b, d} {
		if got := r.Group(); got != "s1" {
			t.Errorf("%s: got group %q, want s1", r.Name(), got)
		}
	}
	if got := c.Group(); got != "s4" {
		t.Errorf("c: got group %q, want s4", got)
	}
}
