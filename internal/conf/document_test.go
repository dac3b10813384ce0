package conf_test

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// location is where a fault is.
type location struct {
	file, section, key string
}

// checkFaults checks that the error is conf.Faults at exactly the given locations, and that its text contains the problem.
func checkFaults(t *testing.T, err error, want []location, wantProblem string) {
	t.Helper()
	var faults conf.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want faults at %v", err, want)
	}
	var got []location
	for _, fault := range faults {
		got = append(got, location{file: fault.File(), section: fault.Section(), key: fault.Key()})
	}
	if !slices.Equal(got, want) {
		t.Errorf("locations: got %v, want %v (%v)", got, want, err)
	}
	if !strings.Contains(err.Error(), wantProblem) {
		t.Errorf("got %q, want it to contain %q", err, wantProblem)
	}
}

// Guards against a canonical form whose meaning differs from that of the document.
func TestSplit(t *testing.T) {
	tests := map[string]struct {
		text string
		want map[string]string
	}{
		"empty":                   {text: "", want: map[string]string{}},
		"comments only":           {text: "# a\n; b\n", want: map[string]string{}},
		"empty section":           {text: "[a]\n", want: map[string]string{"a": ""}},
		"keys sorted":             {text: "[a]\nrank = bulk\ncustomer=N\n", want: map[string]string{"a": "customer = N\nrank = bulk\n"}},
		"colon as delimiter":      {text: "[a]\nrank : bulk\n", want: map[string]string{"a": "rank = bulk\n"}},
		"colon in a value":        {text: "[a]\naddress = 10.0.0.1:80\n", want: map[string]string{"a": "address = 10.0.0.1:80\n"}},
		"inline comment":          {text: "[a]\nrank = bulk ; nightly\n", want: map[string]string{"a": "rank = bulk\n"}},
		"quoted value":            {text: "[a]\ncustomer = \"two words\"\n", want: map[string]string{"a": "customer = two words\n"}},
		"no inheritance":          {text: "[a]\nrank = bulk\n[a.b]\ncustomer = N\n", want: map[string]string{"a": "rank = bulk\n", "a.b": "customer = N\n"}},
		"reference not expanded":  {text: "[a]\ncustomer = %(rank)s\nrank = bulk\n", want: map[string]string{"a": "customer = %(rank)s\nrank = bulk\n"}},
		"windows line ends":       {text: "[a]\r\nrank = bulk\r\n", want: map[string]string{"a": "rank = bulk\n"}},
		"slash and space in name": {text: "[shard 1/0]\nsearchers = s1, s2\n", want: map[string]string{"shard 1/0": "searchers = s1, s2\n"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := conf.Split("plans", []byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			if !maps.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against faulty documents that are accepted, and against faults without their location.
func TestSplitFaults(t *testing.T) {
	const lost = "would be lost"
	tests := map[string]struct {
		text        string
		want        []location
		wantProblem string
	}{
		"not INI":                      {text: "[a]\nrank\n", want: []location{{"plans", "", ""}}, wantProblem: "plans: key-value delimiter not found: rank"},
		"section not closed":           {text: "[a\n", want: []location{{"plans", "", ""}}, wantProblem: "unclosed section"},
		"section without name":         {text: "[]\n", want: []location{{"plans", "", ""}}, wantProblem: "empty section name"},
		"section twice":                {text: "[a]\n[b]\n[a]\n", want: []location{{"plans", "a", ""}}, wantProblem: "section appears twice"},
		"key twice":                    {text: "[a]\nrank = bulk\nrank = urgent\n", want: []location{{"plans", "a", "rank"}}, wantProblem: "key appears twice"},
		"key twice, same value":        {text: "[a]\nrank = bulk\nrank = bulk\n", want: []location{{"plans", "a", "rank"}}, wantProblem: "key appears twice"},
		"key twice, first empty":       {text: "[a]\nrank =\nrank = bulk\n", want: []location{{"plans", "a", "rank"}}, wantProblem: "key appears twice"},
		"key before the first section": {text: "rank = bulk\n[a]\n", want: []location{{"plans", "DEFAULT", "rank"}}, wantProblem: "outside of all sections"},
		"space around section name":    {text: "[ a ]\n", want: []location{{"plans", " a ", ""}}, wantProblem: "begins or ends with a space"},
		"comment sign in quotes":       {text: "[a]\ncustomer = \"x # y\"\n", want: []location{{"plans", "a", "customer"}}, wantProblem: lost},
		"line break in a value":        {text: "[a]\ncustomer = \"\"\"x\nrank = urgent\"\"\"\n", want: []location{{"plans", "a", "customer"}}, wantProblem: lost},
		"backslash at the end":         {text: "[a]\ncustomer = `x\\`\nrank = bulk\n", want: []location{{"plans", "a", "customer"}}, wantProblem: lost},
		"delimiter in a quoted key":    {text: "[a]\n\"rank = urgent\" = x\n", want: []location{{"plans", "a", "rank = urgent"}}, wantProblem: lost},
		"numbered key":                 {text: "[a]\n- = x\n", want: []location{{"plans", "a", "#1"}}, wantProblem: lost},
		"space kept by quotes":         {text: "[a]\ncustomer = \" N\"\n", want: []location{{"plans", "a", "customer"}}, wantProblem: lost},
		"several, in order":            {text: "[b]\n[a]\nrank = 1\nrank = 2\n[b]\n", want: []location{{"plans", "a", "rank"}, {"plans", "b", ""}}, wantProblem: "twice"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := conf.Split("plans", []byte(test.text))
			checkFaults(t, err, test.want, test.wantProblem)
		})
	}
}

// Guards against invalid values that are accepted, and against faults that do not state the key.
func TestDecodeFaults(t *testing.T) {
	tests := map[string]struct {
		body        string
		wantKeys    []string
		wantProblem string
	}{
		"required key missing": {body: "rank = bulk\n", wantKeys: []string{"customer"}, wantProblem: "required key is missing (customer that the plan belongs to)"},
		"required key empty":   {body: "customer =\nrank = bulk\n", wantKeys: []string{"customer"}, wantProblem: "required key is missing"},
		"not one of":           {body: "customer = N\nrank = Urgent\n", wantKeys: []string{"rank"}, wantProblem: `"Urgent" is not one of urgent, routine, bulk`},
		"unknown key":          {body: "customer = N\nrank = bulk\nwheight = 2\n", wantKeys: []string{"wheight"}, wantProblem: "unknown key"},
		"not a whole number":   {body: "customer = N\nrank = bulk\nweight = 1.5\n", wantKeys: []string{"weight"}, wantProblem: `"1.5" is not a whole number`},
		"beyond 32 bits":       {body: "customer = N\nrank = bulk\nweight = 4294967297\n", wantKeys: []string{"weight"}, wantProblem: "is not a whole number"},
		"below the minimum":    {body: "customer = N\nrank = bulk\nweight = 0\n", wantKeys: []string{"weight"}, wantProblem: "0 is below the minimum 1"},
		"above the maximum":    {body: "customer = N\nrank = bulk\nweight = 1001\n", wantKeys: []string{"weight"}, wantProblem: "1001 is above the maximum 1000"},
		"several, in order":    {body: "weight = 0\nrank = x\nage = 3\n", wantKeys: []string{"age", "customer", "rank", "weight"}, wantProblem: "unknown key"},
		"not INI":              {body: "customer\n", wantKeys: []string{""}, wantProblem: "key-value delimiter not found"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var want []location
			for _, key := range test.wantKeys {
				want = append(want, location{"plans", "care", key})
			}
			err := conf.Decode("plans", "care", test.body, &wire.PlanSection{})
			checkFaults(t, err, want, test.wantProblem)
		})
	}
}

// Guards against wrong parsing of the kinds of values that plans do not have: fractional numbers and lists.
func TestDecodeOtherKinds(t *testing.T) {
	tests := map[string]struct {
		body        string
		wantProblem string
	}{
		"rate":             {body: "queries_per_second = 0.25\n"},
		"rate is a word":   {body: "queries_per_second = many\n", wantProblem: `"many" is not a number`},
		"rate is NaN":      {body: "queries_per_second = NaN\n", wantProblem: `"NaN" is not a number`},
		"rate is infinite": {body: "queries_per_second = +Inf\n", wantProblem: "+Inf is above the maximum 1000000"},
		"rate below zero":  {body: "queries_per_second = -0.1\n", wantProblem: "-0.1 is below the minimum 0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := conf.Decode("uses", "care/care-desk", test.body, &wire.UseSection{})
			if test.wantProblem == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			checkFaults(t, err, []location{{"uses", "care/care-desk", "queries_per_second"}}, test.wantProblem)
		})
	}
	shard := &wire.ShardSection{}
	if err := conf.Decode("index/x", "shard 1/0", "searchers = s1 ,s2\n", shard); err != nil {
		t.Fatal(err)
	}
	if got, want := shard.GetSearchers(), []string{"s1", "s2"}; !slices.Equal(got, want) {
		t.Errorf("list: got %q, want %q", got, want)
	}
	err := conf.Decode("index/x", "shard 1/0", "searchers = s1,,s2\n", &wire.ShardSection{})
	checkFaults(t, err, []location{{"index/x", "shard 1/0", "searchers"}}, "list has an empty item")
}

const completeSettings = `
[node]
id = n1
region = r1
availability_zone = z1
regions = r1, r2
caller_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
admin_address = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[peers]
development_keys = true
[limits]
default_deadline = 250ms
`

// Guards against defaults that differ from the schema, and against values that are set in the wrong field.
func TestLoad(t *testing.T) {
	settings, err := conf.Load("node.ini", []byte(completeSettings))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ got, want any }{
		"given text":       {settings.GetNode().GetId(), "n1"},
		"given bool":       {settings.GetPeers().GetDevelopmentKeys(), true},
		"given duration":   {settings.GetLimits().GetDefaultDeadline().AsDuration(), 250 * time.Millisecond},
		"default duration": {settings.GetDirectory().GetValid().AsDuration(), 30 * time.Second},
		"default number":   {settings.GetLimits().GetMaxRequestBytes(), uint32(65536)},
		"default text":     {settings.GetLog().GetLevel(), "info"},
		"no default":       {settings.GetPeers().GetCertFile(), ""},
	}
	for name, test := range tests {
		if test.got != test.want {
			t.Errorf("%s: got %v, want %v", name, test.got, test.want)
		}
	}
}

// Guards against faulty settings that are accepted at the start of a node.
func TestLoadFaults(t *testing.T) {
	tests := map[string]struct {
		replace     []string
		want        []location
		wantProblem string
	}{
		"unknown section":   {replace: []string{"[limits]", "[limit]"}, want: []location{{"node.ini", "limit", ""}}, wantProblem: "unknown section"},
		"section missing":   {replace: []string{"[platform]\naddress = 127.0.0.1:4\n", ""}, want: []location{{"node.ini", "platform", "address"}}, wantProblem: "required key is missing"},
		"not a duration":    {replace: []string{"250ms", "250"}, want: []location{{"node.ini", "limits", "default_deadline"}}, wantProblem: `"250" is not a duration such as 250ms or 30s`},
		"duration too long": {replace: []string{"250ms", "1h"}, want: []location{{"node.ini", "limits", "default_deadline"}}, wantProblem: "1h is above the maximum 5m"},
		"not a bool":        {replace: []string{"true", "yes"}, want: []location{{"node.ini", "peers", "development_keys"}}, wantProblem: `"yes" is not true or false`},
		"two sections":      {replace: []string{"true", "yes", "id = n1", "ids = n1"}, want: []location{{"node.ini", "node", "id"}, {"node.ini", "node", "ids"}, {"node.ini", "peers", "development_keys"}}, wantProblem: "unknown key"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.NewReplacer(test.replace...).Replace(completeSettings)
			_, err := conf.Load("node.ini", []byte(text))
			checkFaults(t, err, test.want, test.wantProblem)
		})
	}
}

// Guards against a text of a fault that lacks its location.
func TestFaultString(t *testing.T) {
	tests := map[string]struct {
		fault conf.Fault
		want  string
	}{
		"key":     {fault: conf.NewFault("plans", "care", "rank", "bad"), want: "plans: [care] rank: bad"},
		"section": {fault: conf.NewFault("plans", "care", "", "bad"), want: "plans: [care]: bad"},
		"file":    {fault: conf.NewFault("plans", "", "", "bad"), want: "plans: bad"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.fault.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// FuzzSplit guards against panics, and against a canonical form that has a different meaning on the node that receives it.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("[a]\nrank = bulk\ncustomer = \"x # y\"\n"))
	f.Add([]byte("[a]\ncustomer = \"\"\"x\nrank = urgent\"\"\"\n"))
	f.Add([]byte("[a]\ncustomer = `x\\`\nrank = bulk\n- = 1\n"))
	f.Add([]byte("rank = bulk\n[shard 1/0]\nsearchers = s1, s2 ; two\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sections, err := conf.Split("fuzz", data)
		if err != nil {
			return
		}
		for name, body := range sections {
			reparsed, err := conf.Split("fuzz", []byte("[again]\n"+body))
			if err != nil {
				t.Fatalf("section %q with body %q: %v", name, body, err)
			}
			if got := reparsed["again"]; got != body {
				t.Fatalf("section %q: got %q, want %q", name, got, body)
			}
		}
	})
}

// FuzzDecode guards against panics, and against values out of bounds that are accepted.
func FuzzDecode(f *testing.F) {
	f.Add("customer = N\nrank = bulk\nweight = 7\n")
	f.Add("customer = N\nrank = urgent\nweight = 99999\npreference = tail\n")
	f.Add("rank\n")
	f.Fuzz(func(t *testing.T, body string) {
		section := &wire.PlanSection{}
		if err := conf.Decode("plans", "fuzz", body, section); err != nil {
			return
		}
		if section.GetCustomer() == "" {
			t.Errorf("body %q: got no customer", body)
		}
		if weight := section.GetWeight(); weight < 1 || weight > 1000 {
			t.Errorf("body %q: got weight %d, want 1 to 1000", body, weight)
		}
		if rank := section.GetRank(); !slices.Contains([]string{"urgent", "routine", "bulk"}, rank) {
			t.Errorf("body %q: got rank %q", body, rank)
		}
	})
}
