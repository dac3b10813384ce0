package view

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflylanding/fireflylanding/internal/plans"
)

// testDocument implements Document.
type testDocument struct {
	revision uint64
	sections map[string]string
}

func (d *testDocument) Revision() uint64                { return d.revision }
func (d *testDocument) Sections() map[string]string     { return d.sections }
func (d *testDocument) with(name, body string) Document { return d.changed(name, &body) }
func (d *testDocument) without(name string) Document    { return d.changed(name, nil) }

// changed returns the next revision of the document with one section replaced, or removed if body is nil.
func (d *testDocument) changed(name string, body *string) *testDocument {
	sections := maps.Clone(d.sections)
	delete(sections, name)
	if body != nil {
		sections[name] = *body
	}
	return &testDocument{revision: d.revision + 1, sections: sections}
}

const (
	testRegions     = 2
	testCollections = 3
	testVMs         = 6
	testShards      = 20
)

func testVM(i, region int, kind, state string) (string, string) {
	peers := ""
	if kind == "entry" {
		peers = fmt.Sprintf("peer_address = 10.0.0.%d:2\n", i)
	}
	return fmt.Sprintf("vm-%d-%d", region, i), fmt.Sprintf("kind = %s\naddress = 10.0.0.%d:1\n%sregion = r%d\navailability_zone = r%d-z%d\nstate = %s\n",
		kind, i, peers, region, region, i%2, state)
}

func testIndex(searchers, region int) map[string]string {
	sections := map[string]string{"snapshot 1": fmt.Sprintf("shards = %d\n", testShards)}
	for i := range searchers {
		sections[fmt.Sprintf("searcher s-%d", i)] = fmt.Sprintf(
			"address = 10.0.1.%d:1\nregion = r%d\navailability_zone = r%d-z0\nslots = 2\nconnections = 25\n", i, region, region)
	}
	for i := range testShards {
		sections[fmt.Sprintf("shard 1/%d", i)] = fmt.Sprintf("searchers = s-%d\n", i%searchers)
	}
	return sections
}

func testDocuments() map[string]Document {
	documents := map[string]Document{
		plans.PlansKey: &testDocument{revision: 1, sections: map[string]string{"p": "customer = c\nrank = bulk\nweight = 1\npreference = tail\n"}},
	}
	uses := make(map[string]string)
	for i := range testCollections {
		uses[fmt.Sprintf("p/c%d", i)] = "queries_per_second = 1\nconcurrent = 1\n"
		documents[fmt.Sprintf("index/c%d", i)] = &testDocument{revision: 1, sections: testIndex(testShards, i%testRegions)}
	}
	documents[plans.UsesKey] = &testDocument{revision: 1, sections: uses}
	for region := range testRegions {
		sections := make(map[string]string)
		for i := range testVMs {
			id, body := testVM(i, region, "entry", "live")
			sections[id] = body
		}
		documents[fmt.Sprintf("vms/r%d", region)] = &testDocument{revision: 1, sections: sections}
	}
	return documents
}

// applyRandomChange draws a change and applies it to one document.
func applyRandomChange(t *rapid.T, documents map[string]Document) {
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		key := fmt.Sprintf("vms/r%d", rapid.IntRange(0, testRegions-1).Draw(t, "region"))
		document := documents[key].(*testDocument)
		kind := rapid.SampledFrom([]string{"entry", "searcher"}).Draw(t, "kind")
		state := rapid.SampledFrom([]string{"live", "leaving"}).Draw(t, "state")
		var region int
		_, _ = fmt.Sscanf(key, "vms/r%d", &region)
		documents[key] = document.with(testVM(rapid.IntRange(0, testVMs).Draw(t, "vm"), region, kind, state))
	case 1:
		key := fmt.Sprintf("vms/r%d", rapid.IntRange(0, testRegions-1).Draw(t, "region"))
		document := documents[key].(*testDocument)
		if names := slices.Sorted(maps.Keys(document.sections)); len(names) > 0 {
			documents[key] = document.without(rapid.SampledFrom(names).Draw(t, "removed"))
		}
	case 2:
		collection := rapid.IntRange(0, testCollections-1).Draw(t, "collection")
		key := fmt.Sprintf("index/c%d", collection)
		sections := testIndex(rapid.IntRange(1, testShards).Draw(t, "searchers"), rapid.IntRange(0, testRegions-1).Draw(t, "region"))
		documents[key] = &testDocument{revision: documents[key].Revision() + 1, sections: sections}
	case 3:
		document := documents[plans.PlansKey].(*testDocument)
		weight := rapid.IntRange(1, 9).Draw(t, "weight")
		documents[plans.PlansKey] = document.with("p", fmt.Sprintf("customer = c\nrank = bulk\nweight = %d\npreference = tail\n", weight))
	case 4:
		document := documents[plans.UsesKey].(*testDocument)
		name := fmt.Sprintf("p/c%d", rapid.IntRange(0, testCollections-1).Draw(t, "use"))
		if _, ok := document.sections[name]; ok {
			documents[plans.UsesKey] = document.without(name)
		} else {
			documents[plans.UsesKey] = document.with(name, "queries_per_second = 1\nconcurrent = 1\n")
		}
	}
}

// buildFresh returns the snapshot of a new builder, which has nothing cached.
func buildFresh(documents map[string]Document) *Snapshot {
	return NewBuilder([]string{"r0", "r1"}).Build(documentGetter(documents))
}

func documentGetter(documents map[string]Document) func(string) Document {
	return func(key string) Document {
		if document, ok := documents[key]; ok {
			return document
		}
		return nil
	}
}

// TestBuildKeepsOnlyWhatDidNotChange guards against stale parts in a snapshot: cached owners, VMs or lists that a change should have
// replaced.
func TestBuildKeepsOnlyWhatDidNotChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := testDocuments()
		builder := NewBuilder([]string{"r0", "r1"})
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			applyRandomChange(t, documents)
			for key, document := range documents {
				if err := builder.Validate(key, document.Revision(), document.Sections()); err != nil {
					t.Fatalf("got error %v for %s", err, key)
				}
			}
			checkEqual(t, builder.Build(documentGetter(documents)), buildFresh(documents))
		}
	})
}

func checkEqual(t *rapid.T, got, want *Snapshot) {
	if !slices.Equal(got.VMs(), want.VMs()) {
		t.Fatalf("got VMs %v, want %v", got.VMs(), want.VMs())
	}
	if !slices.Equal(got.Entries(), want.Entries()) {
		t.Fatalf("got entries %v, want %v", got.Entries(), want.Entries())
	}
	if !slices.Equal(got.Collections(), want.Collections()) {
		t.Fatalf("got collections %v, want %v", got.Collections(), want.Collections())
	}
	gotPlan, _ := got.Lists().Plan("p")
	wantPlan, _ := want.Lists().Plan("p")
	if gotPlan.Weight() != wantPlan.Weight() {
		t.Fatalf("got weight %d, want %d", gotPlan.Weight(), wantPlan.Weight())
	}
	for _, vm := range want.VMs() {
		if got.Leaving(vm.ID()) != want.Leaving(vm.ID()) {
			t.Fatalf("got leaving %t for %s, want %t", got.Leaving(vm.ID()), vm.ID(), want.Leaving(vm.ID()))
		}
	}
	for _, collection := range want.Collections() {
		for _, searcher := range want.Index(collection).Searchers() {
			gotOwners, wantOwners := got.Owners(collection, searcher.ID()), want.Owners(collection, searcher.ID())
			if !slices.Equal(gotOwners, wantOwners) {
				t.Fatalf("got owners %v of %s, want %v", gotOwners, searcher.ID(), wantOwners)
			}
		}
	}
}

// TestBuildKeepsTheVMSlice guards against a new VM slice after a change of another document. Neighbours and readers are derived once per
// slice.
func TestBuildKeepsTheVMSlice(t *testing.T) {
	documents := testDocuments()
	builder := NewBuilder([]string{"r0", "r1"})
	before := builder.Build(documentGetter(documents)).VMs()
	documents[plans.PlansKey] = documents[plans.PlansKey].(*testDocument).with("p", "customer = c\nrank = bulk\nweight = 2\npreference = tail\n")
	after := builder.Build(documentGetter(documents)).VMs()
	if len(after) != testRegions*testVMs || &before[0] != &after[0] {
		t.Errorf("got a new slice of %d VMs, want the previous slice of %d VMs", len(after), len(before))
	}
}

// TestValidateReportsAChangedInvalidSection guards against an invalid section that is accepted because the unchanged sections are taken
// from the previous list.
func TestValidateReportsAChangedInvalidSection(t *testing.T) {
	documents := testDocuments()
	builder := NewBuilder([]string{"r0", "r1"})
	builder.Build(documentGetter(documents))
	id, _ := testVM(0, 0, "entry", "live")
	changed := documents["vms/r0"].(*testDocument).with(id, "kind = none\n")
	if err := builder.Validate("vms/r0", changed.Revision(), changed.Sections()); err == nil {
		t.Error("got no error for an invalid section")
	}
}
