package shards_test

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

const searcherBody = "address = 10.0.0.1:80\nregion = r1\navailability_zone = z1\nslots = 2\nconnections = 25\n"

// validIndex returns the sections of a valid index with two snapshots.
func validIndex() map[string]string {
	return map[string]string{
		"searcher s1": searcherBody,
		"searcher s2": searcherBody,
		"snapshot 9":  "shards = 1\n",
		"snapshot 10": "shards = 2\n",
		"shard 9/0":   "searchers = s1\n",
		"shard 10/0":  "searchers = s1, s2\n",
		"shard 10/1":  "searchers = s2\n",
	}
}

// faultPosition is the position of a fault.
type faultPosition struct{ file, section, key string }

// checkFaults checks that the error consists of faults at exactly the given positions.
func checkFaults(t *testing.T, err error, want []faultPosition) {
	t.Helper()
	var faults conf.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("got error %v, want faults at %v", err, want)
	}
	var got []faultPosition
	for _, fault := range faults {
		got = append(got, faultPosition{file: fault.File(), section: fault.Section(), key: fault.Key()})
	}
	if !slices.Equal(got, want) {
		t.Errorf("got faults at %v, want %v (%v)", got, want, err)
	}
}

// TestParseIndex guards against a partition map whose order or replicas differ from the document.
func TestParseIndex(t *testing.T) {
	index, err := shards.ParseIndex("care-desk", 5, validIndex())
	if err != nil {
		t.Fatal(err)
	}
	if index.Collection() != "care-desk" || index.Revision() != 5 {
		t.Errorf("got %s at revision %d, want care-desk at 5", index.Collection(), index.Revision())
	}
	var versions []uint64
	for _, snapshot := range index.Snapshots() {
		versions = append(versions, snapshot.Version())
	}
	if want := []uint64{10, 9}; !slices.Equal(versions, want) {
		t.Errorf("snapshots: got %v, want %v (newest first, by number)", versions, want)
	}
	snapshot, ok := index.Snapshot(10)
	if !ok || snapshot.Shards() != 2 {
		t.Fatalf("snapshot 10: got %v, want one with 2 shards", snapshot)
	}
	if got, want := snapshot.Replicas(0), []string{"s1", "s2"}; !slices.Equal(got, want) {
		t.Errorf("replicas: got %v, want %v", got, want)
	}
	if _, ok := index.Snapshot(11); ok {
		t.Error("snapshot 11: got one, want none")
	}
	want := shards.NewSearcher("s1", "10.0.0.1:80", "r1", "z1", 2, 25)
	if got, ok := index.Searcher("s1"); !ok || got != want {
		t.Errorf("searcher: got %+v, want %+v", got, want)
	}
	if got := index.Searchers(); len(got) != 2 || got[0].ID() != "s1" || got[1].ID() != "s2" {
		t.Errorf("searchers: got %+v, want s1 and s2", got)
	}
}

// TestParseIndexFaults guards against incomplete partition maps. Answers would count shards that no searcher holds, or miss shards.
func TestParseIndexFaults(t *testing.T) {
	const file = "index/care-desk"
	tests := map[string]struct {
		set    map[string]string
		remove []string
		want   []faultPosition
	}{
		"shard missing":                 {remove: []string{"shard 10/1"}, want: []faultPosition{{file, "shard 10/1", ""}}},
		"all shards missing":            {remove: []string{"shard 10/0", "shard 10/1", "shard 9/0"}, want: []faultPosition{{file, "shard 10/0", ""}, {file, "shard 10/1", ""}, {file, "shard 9/0", ""}}},
		"shard beyond the count":        {set: map[string]string{"shard 10/2": "searchers = s1\n"}, want: []faultPosition{{file, "shard 10/2", ""}}},
		"shard below zero":              {set: map[string]string{"shard 10/-1": "searchers = s1\n"}, want: []faultPosition{{file, "shard 10/-1", ""}}},
		"shard of no snapshot":          {set: map[string]string{"shard 8/0": "searchers = s1\n"}, want: []faultPosition{{file, "shard 8/0", ""}}},
		"shard without number":          {set: map[string]string{"shard 10": "searchers = s1\n"}, want: []faultPosition{{file, "shard 10", ""}}},
		"shard with leading zero":       {set: map[string]string{"shard 10/01": "searchers = s1\n"}, want: []faultPosition{{file, "shard 10/01", ""}}},
		"searcher unknown":              {set: map[string]string{"shard 10/1": "searchers = s2, s3\n"}, want: []faultPosition{{file, "shard 10/1", "searchers"}}},
		"searcher twice in a shard":     {set: map[string]string{"shard 10/1": "searchers = s2, s2\n"}, want: []faultPosition{{file, "shard 10/1", "searchers"}}},
		"no searchers":                  {set: map[string]string{"shard 10/1": ""}, want: []faultPosition{{file, "shard 10/1", ""}, {file, "shard 10/1", "searchers"}}},
		"searcher without id":           {set: map[string]string{"searcher ": searcherBody}, want: []faultPosition{{file, "searcher ", ""}}},
		"searcher without slots":        {set: map[string]string{"searcher s3": "address = a\nregion = r\navailability_zone = z\nconnections = 1\n"}, want: []faultPosition{{file, "searcher s3", "slots"}}},
		"snapshot without shards":       {set: map[string]string{"snapshot 11": "shards = 0\n"}, want: []faultPosition{{file, "snapshot 11", "shards"}}},
		"snapshot of version zero":      {set: map[string]string{"snapshot 0": "shards = 1\n"}, want: []faultPosition{{file, "snapshot 0", ""}}},
		"snapshot with leading zero":    {set: map[string]string{"snapshot 010": "shards = 1\n"}, want: []faultPosition{{file, "snapshot 010", ""}}},
		"snapshot version not a number": {set: map[string]string{"snapshot new": "shards = 1\n"}, want: []faultPosition{{file, "snapshot new", ""}}},
		"no snapshot":                   {remove: []string{"snapshot 9", "snapshot 10", "shard 9/0", "shard 10/0", "shard 10/1"}, want: []faultPosition{{file, "snapshot", ""}}},
		"unknown kind of section":       {set: map[string]string{"replica s1": ""}, want: []faultPosition{{file, "replica s1", ""}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sections := validIndex()
			maps.Copy(sections, test.set)
			for _, section := range test.remove {
				delete(sections, section)
			}
			_, err := shards.ParseIndex("care-desk", 1, sections)
			checkFaults(t, err, test.want)
		})
	}
}

// TestGroup guards against groups that do not consist of GroupSize consecutive shards.
func TestGroup(t *testing.T) {
	tests := map[string]struct{ shard, want int }{
		"first of group 0": {0, 0},
		"last of group 0":  {shards.GroupSize - 1, 0},
		"first of group 1": {shards.GroupSize, 1},
	}
	for name, test := range tests {
		if got := shards.Group(test.shard); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}

// TestParseVMs guards against an order of VMs that differs between nodes, and against a leaving VM that counts as live.
func TestParseVMs(t *testing.T) {
	const place = "region = Kriti\navailability_zone = kri-a\n"
	vms, err := shards.ParseVMs("vms/Kriti", map[string]string{
		"b": "kind = searcher\naddress = 10.0.0.2:80\nstate = leaving\n" + place,
		"a": "kind = entry\naddress = 10.0.0.1:80\npeer_address = 10.0.0.1:81\n" + place,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(vms) != 2 {
		t.Fatalf("got %d VMs, want 2", len(vms))
	}
	if got, want := vms[0], shards.NewVM("a", "Kriti", "kri-a", "10.0.0.1:80", "10.0.0.1:81"); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := vms[1]; got.ID() != "b" || got.IsEntry() || !got.Leaving() {
		t.Errorf("got %+v, want a leaving searcher b", got)
	}
}

// TestParseVMsFaults guards against an invalid VM list that replaces a valid one.
func TestParseVMsFaults(t *testing.T) {
	const place = "address = 10.0.0.1:80\navailability_zone = kri-a\n"
	const valid = "kind = entry\npeer_address = 10.0.0.1:81\nregion = Kriti\n" + place
	tests := map[string]struct {
		body    string
		wantKey string
	}{
		"unknown kind":         {body: "kind = owner\naddress = a\nregion = r\navailability_zone = z\n", wantKey: "kind"},
		"no address":           {body: "kind = entry\nregion = r\navailability_zone = z\n", wantKey: "address"},
		"no availability zone": {body: "kind = entry\naddress = a\nregion = r\n", wantKey: "availability_zone"},
		"unknown state":        {body: valid + "state = gone\n", wantKey: "state"},
		"unknown key":          {body: valid + "rack = 4\n", wantKey: "rack"},
		"entry without peers":  {body: "kind = entry\nregion = Kriti\n" + place, wantKey: "peer_address"},
		"other region":         {body: "kind = searcher\nregion = Attica\n" + place, wantKey: "region"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := shards.ParseVMs("vms/Kriti", map[string]string{"good": valid, "vm": test.body})
			checkFaults(t, err, []faultPosition{{"vms/Kriti", "vm", test.wantKey}})
		})
	}
}
