package fakes

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

func startTestPlatform(t *testing.T, settings PlatformSettings) *Platform {
	t.Helper()
	p, err := StartPlatform(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// TestPlatformReads guards against a fake that deviates from the protocol of reads and watches.
func TestPlatformReads(t *testing.T) {
	cases := map[string]struct {
		prepare  func(p *Platform)
		path     string
		status   int
		revision string
		body     string
	}{
		"value":                       {path: "plans", status: 200, revision: "1", body: "a"},
		"unknown key":                 {path: "nothing", status: 404},
		"empty key":                   {path: "", status: 404},
		"unchanged without a wait":    {path: "plans?after=1", status: 304, revision: "1"},
		"unchanged after a wait":      {path: "plans?after=1&wait=0.02", status: 304, revision: "1"},
		"unknown after a wait":        {path: "nothing?after=0&wait=0.02", status: 404},
		"watch on an older revision":  {path: "uses?after=1&wait=3", status: 200, revision: "2", body: "b"},
		"bad revision":                {path: "plans?after=x", status: 400},
		"bad wait":                    {path: "plans?after=1&wait=NaN", status: 400},
		"key with a slash":            {path: "vms/perth", status: 200, revision: "3", body: "c"},
		"removed":                     {prepare: func(p *Platform) { p.Remove("plans") }, path: "plans", status: 404},
		"replaced":                    {prepare: func(p *Platform) { p.Set("plans", []byte("d")) }, path: "plans", status: 200, revision: "4", body: "d"},
		"too large":                   {prepare: func(p *Platform) { p.Set("plans", make([]byte, MaxValueBytes+1)) }, path: "plans", status: 200, revision: "1", body: "a"},
		"stale value":                 {prepare: func(p *Platform) { p.Set("plans", []byte("d")); p.SetStale(3) }, path: "plans", status: 200, revision: "1", body: "a"},
		"stale before first set":      {prepare: func(p *Platform) { p.SetStale(1) }, path: "uses", status: 404},
		"no longer stale":             {prepare: func(p *Platform) { p.SetStale(1); p.SetStale(0) }, path: "uses", status: 200, revision: "2", body: "b"},
		"lagging value":               {prepare: func(p *Platform) { p.SetLag("vms/", time.Minute); p.Set("vms/perth", []byte("d")) }, path: "vms/perth", status: 200, revision: "3", body: "c"},
		"lag of another prefix":       {prepare: func(p *Platform) { p.SetLag("vms/", time.Minute); p.Set("plans", []byte("d")) }, path: "plans", status: 200, revision: "4", body: "d"},
		"longer prefix without a lag": {prepare: func(p *Platform) { p.SetLag("", time.Minute); p.SetLag("", 0); p.Set("plans", []byte("d")) }, path: "plans", status: 200, revision: "4", body: "d"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startTestPlatform(t, PlatformSettings{})
			p.Set("plans", []byte("a"))
			p.Set("uses", []byte("b"))
			p.Set("vms/perth", []byte("c"))
			if c.prepare != nil {
				c.prepare(p)
			}
			got := get(newClient(t), "http://"+p.Address()+valuesPath+c.path, callTimeout)
			if got.err != nil {
				t.Fatal(got.err)
			}
			if got.status != c.status || got.revision != c.revision {
				t.Errorf("got status %d revision %q, want %d %q", got.status, got.revision, c.status, c.revision)
			}
			if c.status == 200 && string(got.body) != c.body {
				t.Errorf("got body %q, want %q", got.body, c.body)
			}
		})
	}
}

// TestPlatformWatches guards against watches that miss a change, or that remain open when the service fails.
func TestPlatformWatches(t *testing.T) {
	cases := map[string]struct {
		key    string
		change func(p *Platform)
		status int
		body   string
		broken bool
	}{
		"set":            {key: "plans", change: func(p *Platform) { p.Set("plans", []byte("b")) }, status: 200, body: "b"},
		"first set":      {key: "index/new", change: func(p *Platform) { p.Set("index/new", []byte("b")) }, status: 200, body: "b"},
		"removed":        {key: "plans", change: func(p *Platform) { p.Remove("plans") }, status: 404},
		"lagging":        {key: "plans", change: func(p *Platform) { p.SetLag("plans", 20*time.Millisecond); p.Set("plans", []byte("b")) }, status: 200, body: "b"},
		"down":           {key: "plans", change: func(p *Platform) { p.SetDown(true) }, broken: true},
		"blocked":        {key: "plans", change: func(p *Platform) { p.SetBlocked(func(string) bool { return true }) }, broken: true},
		"other blocked":  {key: "plans", change: func(p *Platform) { p.SetBlocked(func(a string) bool { return a == "" }); p.Set("plans", []byte("b")) }, status: 200, body: "b"},
		"service closed": {key: "plans", change: func(p *Platform) { p.Close() }, broken: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startTestPlatform(t, PlatformSettings{})
			after := p.Set("plans", []byte("a"))
			url := "http://" + p.Address() + valuesPath + c.key + "?wait=30&after=" + strconv.FormatUint(after, 10)
			replies := make(chan response, 1)
			client := newClient(t)
			go func() { replies <- get(client, url, callTimeout) }()
			eventually(t, "waiting watch", func() bool { return p.WaitingWatches() == 1 })
			c.change(p)
			got := <-replies
			if (got.err != nil) != c.broken {
				t.Fatalf("got error %v, want one: %v", got.err, c.broken)
			}
			if c.broken {
				return
			}
			if got.status != c.status || string(got.body) != c.body {
				t.Errorf("got %d %q, want %d %q", got.status, got.body, c.status, c.body)
			}
		})
	}
}

// TestPlatformWatchSeesEachChange guards against watches that miss a change made immediately after an unrelated wakeup.
func TestPlatformWatchSeesEachChange(t *testing.T) {
	const (
		changes = 100
		watches = 20
	)
	p := startTestPlatform(t, PlatformSettings{}.WithCallRate(2*changes*watches))
	revision := p.Set("plans", []byte("a"))
	client := newClient(t)
	for range changes {
		url := "http://" + p.Address() + valuesPath + "plans?wait=30&after=" + strconv.FormatUint(revision, 10)
		replies := make(chan response, watches)
		for range watches {
			go func() { replies <- get(client, url, callTimeout) }()
		}
		eventually(t, "waiting watches", func() bool { return p.WaitingWatches() == watches })
		p.SetStale(0) // wakes the watches without a change of the value
		revision = p.Set("plans", []byte("b"))
		for range watches {
			if got := <-replies; got.err != nil || got.revision != strconv.FormatUint(revision, 10) {
				t.Fatalf("got revision %q, error %v, want %d", got.revision, got.err, revision)
			}
		}
	}
}

// TestPlatformClosesWatches guards against a closing service that answers waiting watches with "not modified".
func TestPlatformClosesWatches(t *testing.T) {
	const watches = 50
	p := startTestPlatform(t, PlatformSettings{})
	p.Set("plans", []byte("a"))
	replies := make(chan response, watches)
	for range watches {
		client := newClient(t)
		go func() {
			replies <- get(client, "http://"+p.Address()+valuesPath+"plans?wait=30&after=1", callTimeout)
		}()
	}
	eventually(t, "waiting watches", func() bool { return p.WaitingWatches() == watches })
	p.Close()
	for range watches {
		if got := <-replies; got.err == nil {
			t.Errorf("got status %d from a closed service, want an error", got.status)
		}
	}
}

// TestPlatformRecovers guards against a service that stays unreachable after an outage or a partition.
func TestPlatformRecovers(t *testing.T) {
	cases := map[string]struct {
		fail    func(p *Platform)
		restore func(p *Platform)
	}{
		"down":    {fail: func(p *Platform) { p.SetDown(true) }, restore: func(p *Platform) { p.SetDown(false) }},
		"blocked": {fail: func(p *Platform) { p.SetBlocked(func(string) bool { return true }) }, restore: func(p *Platform) { p.SetBlocked(nil) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startTestPlatform(t, PlatformSettings{})
			p.Set("plans", []byte("a"))
			url := "http://" + p.Address() + valuesPath + "plans"
			client := newClient(t)
			c.fail(p)
			if got := get(client, url, callTimeout); got.err == nil {
				t.Errorf("got status %d from an unreachable service, want an error", got.status)
			}
			c.restore(p)
			if got := get(client, url, callTimeout); got.err != nil || got.status != 200 {
				t.Errorf("got %d %v after the outage, want 200", got.status, got.err)
			}
		})
	}
}

// TestPlatformBlocksSome guards against a partition that blocks all clients, or none, instead of the selected ones.
func TestPlatformBlocksSome(t *testing.T) {
	cases := map[string]struct {
		localIP string
		blocked bool
	}{
		"blocked":     {localIP: "127.0.0.2", blocked: true},
		"not blocked": {localIP: "127.0.0.3"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startTestPlatform(t, PlatformSettings{})
			p.Set("plans", []byte("a"))
			client := newClient(t)
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.localIP)}}
			client.Dial = func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) }
			url := "http://" + p.Address() + valuesPath + "plans"
			if got := get(client, url, callTimeout); got.err != nil {
				t.Fatal(got.err)
			}
			p.SetBlocked(func(remote string) bool { return strings.HasPrefix(remote, "127.0.0.2:") })
			got := get(client, url, callTimeout)
			if (got.err != nil) != c.blocked {
				t.Errorf("got status %d, error %v, want an error: %v", got.status, got.err, c.blocked)
			}
		})
	}
}

// TestPlatformCallRate guards against a fake that admits more calls than the real service, or that counts a waiting watch more than
// once.
func TestPlatformCallRate(t *testing.T) {
	cases := map[string]struct {
		query   string
		calls   int
		rate    int
		refused int
		watches int
	}{
		"below the rate": {calls: 10, rate: 10},
		"above the rate": {calls: 15, rate: 10, refused: 5},
		"watches":        {query: "?after=1&wait=0.01", calls: 6, rate: 4, refused: 2, watches: 6},
		"default rate":   {calls: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := startTestPlatform(t, PlatformSettings{}.WithCallRate(c.rate))
			// A long window covers all calls of the case even on a slow machine.
			p.meter.window = time.Hour
			p.Set("plans", []byte("a"))
			client := newClient(t)
			refused := 0
			for range c.calls {
				got := get(client, "http://"+p.Address()+valuesPath+"plans"+c.query, callTimeout)
				if got.err != nil {
					t.Fatal(got.err)
				}
				if got.status == statusOverRate {
					refused++
				}
			}
			calls := p.Calls()
			if calls.Total() != c.calls || calls.Watches() != c.watches {
				t.Errorf("got %d calls and %d watches, want %d and %d", calls.Total(), calls.Watches(), c.calls, c.watches)
			}
			if refused != c.refused || calls.Refused() != c.refused {
				t.Errorf("got %d refusals and %d counted, want %d", refused, calls.Refused(), c.refused)
			}
		})
	}
}

// TestCallMeter guards against a rate limit that admits two bursts across the boundary between two seconds.
func TestCallMeter(t *testing.T) {
	const rate = 5
	cases := map[string]struct {
		at       []time.Duration
		admitted int
		peak     int
	}{
		"burst":             {at: []time.Duration{0, 0, 0, 0, 0, 0, 0}, admitted: 5, peak: 7},
		"across a second":   {at: []time.Duration{900, 900, 900, 900, 900, 1100, 1100, 1100}, admitted: 5, peak: 8},
		"after the second":  {at: []time.Duration{0, 0, 0, 0, 0, 1000, 1000}, admitted: 7, peak: 5},
		"refused uncounted": {at: []time.Duration{0, 0, 0, 0, 0, 500, 500, 1001, 1001, 1001, 1001, 1001}, admitted: 10, peak: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := callMeter{rate: rate, window: callWindow}
			start := time.Unix(1000, 0)
			admitted := 0
			for _, at := range c.at {
				if m.allow(start.Add(at*time.Millisecond), false) {
					admitted++
				}
			}
			if admitted != c.admitted || m.calls().Peak() != c.peak {
				t.Errorf("got %d admitted, peak %d, want %d, %d", admitted, m.calls().Peak(), c.admitted, c.peak)
			}
		})
	}
}
