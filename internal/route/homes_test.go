package route

import "testing"

// Guards against a restriction without any valid name, or to a region that no searcher is known to be in, that allows regions after all.
func TestHomes(t *testing.T) {
	tests := map[string]struct {
		homes  Homes
		region string
		want   bool
	}{
		"no restriction":                    {region: "attica", want: true},
		"no restriction, unknown region":    {want: true},
		"home":                              {homes: NewHomes("kriti", "attica"), region: "attica", want: true},
		"elsewhere":                         {homes: NewHomes("kriti"), region: "attica"},
		"no valid name":                     {homes: NewHomes(), region: "attica"},
		"searcher in an unknown zone":       {homes: NewHomes("attica")},
		"empty name, unknown region":        {homes: NewHomes("")},
		"empty name beside a home, at home": {homes: NewHomes("", "attica"), region: "attica", want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.homes.Allow(test.region); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// homeTable returns a table with a route of the host h for each restriction, and an unrestricted one of another host.
func homeTable(t *testing.T, homes ...Homes) *Table {
	t.Helper()
	routes := []*Route{testRoute(t, "other", "o", "/", Single{Service: "s"}, Policy{})}
	for i, h := range homes {
		name := string(rune('a' + i))
		routes = append(routes, testRoute(t, name, "h", "/"+name+"/", Single{Service: "s"}, Policy{Homes: h}))
	}
	table, err := New(1, routes, []Service{NewService("s", 1)}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func testRoute(t *testing.T, name, host, prefix string, target Target, policy Policy) *Route {
	t.Helper()
	r, err := NewRoute(name, host, prefix, target, policy)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against directories that send callers of a host away from the home regions of its routes, and against those that restrict other
// hosts.
func TestHostAllows(t *testing.T) {
	attica, both := NewHomes("attica"), NewHomes("attica", "kriti")
	tests := map[string]struct {
		homes  []Homes
		host   string
		region string
		// want tells whether all routes of the host may be served in the region, wantSome whether some restricted one may.
		want, wantSome bool
	}{
		"home of the only route":    {homes: []Homes{attica}, host: "h", region: "attica", want: true, wantSome: true},
		"elsewhere":                 {homes: []Homes{attica}, host: "h", region: "kriti"},
		"home of all routes":        {homes: []Homes{attica, both}, host: "h", region: "attica", want: true, wantSome: true},
		"home of one of two routes": {homes: []Homes{attica, both}, host: "h", region: "kriti", wantSome: true},
		"beside an unrestricted":    {homes: []Homes{{}, attica}, host: "h", region: "kriti"},
		"unrestricted":              {homes: []Homes{{}}, host: "h", region: "kriti", want: true, wantSome: true},
		"another host":              {homes: []Homes{attica}, host: "o", region: "kriti", want: true, wantSome: true},
		"unknown host":              {homes: []Homes{attica}, host: "x", region: "kriti", want: true, wantSome: true},
		"no valid name":             {homes: []Homes{NewHomes()}, host: "h", region: "attica"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := homeTable(t, test.homes...)
			if got := table.HostAllows(test.host, test.region); got != test.want {
				t.Errorf("all routes: got %v, want %v", got, test.want)
			}
			if got := table.HostAllowsSome(test.host, test.region); got != test.wantSome {
				t.Errorf("some route: got %v, want %v", got, test.wantSome)
			}
		})
	}
}

// Guards against a request that is still sent out of the home regions which its route got while the request was waiting.
func TestHomesInForce(t *testing.T) {
	attica := NewHomes("attica")
	earlier := homeTable(t, Homes{})
	old, _ := earlier.Find("h", "/a/")
	tests := map[string]struct {
		table *Table
		want  bool
	}{
		"same version":                {table: earlier, want: true},
		"restricted since":            {table: homeTable(t, attica)},
		"route removed since":         {table: homeTable(t), want: true},
		"route beside it restricted":  {table: homeTable(t, Homes{}, attica), want: true},
		"no version of the table yet": {want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.table.HomesOf(old).Allow("kriti"); got != test.want {
				t.Errorf("another region allowed: got %v, want %v", got, test.want)
			}
		})
	}
}
