package shards

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// IndexPrefix is the prefix of the keys of index documents; the name of the collection follows.
const IndexPrefix = "index/"

// GroupSize is the number of consecutive shards that form a group. The searchers of a group in one region have the same owners.
const GroupSize = 8

// Searcher is a back end that holds replicas of shards.
type Searcher struct {
	id          string
	address     string
	region      string
	zone        string
	slots       int
	connections int
}

// NewSearcher returns a searcher. Outside of this package it is meant for tests and tools; nodes use ParseIndex.
func NewSearcher(id, address, region, zone string, slots, connections int) Searcher {
	return Searcher{id: id, address: address, region: region, zone: zone, slots: slots, connections: connections}
}

// ID returns the searcher's id, which is also the id of its VM.
func (s Searcher) ID() string { return s.id }

// Address returns the host and TCP port.
func (s Searcher) Address() string { return s.address }

// Region returns the region.
func (s Searcher) Region() string { return s.region }

// AvailabilityZone returns the availability zone.
func (s Searcher) AvailabilityZone() string { return s.zone }

// Slots returns the number of sub-requests that the searcher runs concurrently.
func (s Searcher) Slots() int { return s.slots }

// Connections returns the maximum number of connections that the searcher accepts from all owners together.
func (s Searcher) Connections() int { return s.connections }

// Snapshot is the partition map of one index version.
type Snapshot struct {
	version uint64
	// replicas holds the searcher ids of each shard; its length is the number of shards.
	replicas [][]string
}

// Version returns the index version.
func (s *Snapshot) Version() uint64 { return s.version }

// Shards returns the number of shards.
func (s *Snapshot) Shards() int { return len(s.replicas) }

// Replicas returns the ids of the searchers that hold a shard. The caller must not change the result.
func (s *Snapshot) Replicas(shard int) []string { return s.replicas[shard] }

// Index is one revision of a collection's index document. It is immutable.
type Index struct {
	collection string
	revision   uint64
	searchers  map[string]Searcher
	// snapshots is sorted by descending version, so newest first.
	snapshots []*Snapshot
}

// Collection returns the collection's name.
func (x *Index) Collection() string { return x.collection }

// Revision returns the revision of the document.
func (x *Index) Revision() uint64 { return x.revision }

// Searcher returns a searcher by id.
func (x *Index) Searcher(id string) (Searcher, bool) {
	searcher, ok := x.searchers[id]
	return searcher, ok
}

// Searchers returns all searchers, sorted by id.
func (x *Index) Searchers() []Searcher {
	all := make([]Searcher, 0, len(x.searchers))
	for _, searcher := range x.searchers {
		all = append(all, searcher)
	}
	slices.SortFunc(all, func(a, b Searcher) int { return strings.Compare(a.id, b.id) })
	return all
}

// Snapshots returns the snapshots, newest first. The caller must not change the result.
func (x *Index) Snapshots() []*Snapshot { return x.snapshots }

// Snapshot returns a snapshot by version.
func (x *Index) Snapshot(version uint64) (*Snapshot, bool) {
	for _, snapshot := range x.snapshots {
		if snapshot.version == version {
			return snapshot, true
		}
	}
	return nil, false
}

// Group returns the number of a shard's group.
func Group(shard int) int { return shard / GroupSize }

// ParseIndex parses the sections of a collection's index document. It returns conf.Faults if a section is invalid or the partition map is
// incomplete.
func ParseIndex(collection string, revision uint64, sections map[string]string) (*Index, error) {
	p := indexParser{
		file:      IndexPrefix + collection,
		searchers: make(map[string]Searcher),
		snapshots: make(map[uint64]*Snapshot),
	}
	for _, name := range sortedNames(sections) {
		p.section(name, sections[name])
	}
	p.checkComplete()
	if err := p.faults.Err(); err != nil {
		return nil, err
	}
	index := &Index{collection: collection, revision: revision, searchers: p.searchers}
	for _, snapshot := range p.snapshots {
		index.snapshots = append(index.snapshots, snapshot)
	}
	slices.SortFunc(index.snapshots, func(a, b *Snapshot) int {
		if a.version > b.version {
			return -1
		}
		return 1
	})
	return index, nil
}

// sortedNames returns the section names in an order in which each snapshot precedes its shards.
func sortedNames(sections map[string]string) []string {
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := strings.Compare(sortKey(a), sortKey(b)); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return names
}

func sortKey(name string) string {
	kind, _, _ := strings.Cut(name, " ")
	if kind == "shard" {
		return "2"
	}
	return "1"
}

type indexParser struct {
	file      string
	searchers map[string]Searcher
	snapshots map[uint64]*Snapshot
	faults    conf.Faults
}

func (p *indexParser) section(name, body string) {
	kind, rest, _ := strings.Cut(name, " ")
	switch kind {
	case "searcher":
		p.searcher(name, rest, body)
	case "snapshot":
		p.snapshot(name, rest, body)
	case "shard":
		p.shard(name, rest, body)
	default:
		p.fault(name, "", "unknown section")
	}
}

func (p *indexParser) searcher(name, id, body string) {
	section := &wire.SearcherSection{}
	if err := conf.Decode(p.file, name, body, section); err != nil {
		p.faults = p.faults.AppendError(err)
		return
	}
	if id == "" {
		p.fault(name, "", "section must be named searcher ID")
		return
	}
	p.searchers[id] = NewSearcher(id, section.GetAddress(), section.GetRegion(), section.GetAvailabilityZone(),
		int(section.GetSlots()), int(section.GetConnections()))
}

func (p *indexParser) snapshot(name, rest, body string) {
	section := &wire.SnapshotSection{}
	if err := conf.Decode(p.file, name, body, section); err != nil {
		p.faults = p.faults.AppendError(err)
		return
	}
	version, ok := parseNumber(rest)
	if !ok || version == 0 {
		p.fault(name, "", "the version must be a whole number above 0")
		return
	}
	p.snapshots[version] = &Snapshot{version: version, replicas: make([][]string, section.GetShards())}
}

func (p *indexParser) shard(name, rest, body string) {
	section := &wire.ShardSection{}
	if err := conf.Decode(p.file, name, body, section); err != nil {
		p.faults = p.faults.AppendError(err)
		return
	}
	versionText, shardText, _ := strings.Cut(rest, "/")
	version, versionOK := parseNumber(versionText)
	shard, shardOK := parseNumber(shardText)
	if !versionOK || !shardOK {
		p.fault(name, "", "section must be named shard VERSION/NUMBER")
		return
	}
	snapshot, ok := p.snapshots[version]
	if !ok || shard >= uint64(len(snapshot.replicas)) {
		p.fault(name, "", "no snapshot has this shard")
		return
	}
	snapshot.replicas[shard] = section.GetSearchers()
}

// parseNumber parses an unsigned integer in its shortest form. If others such as 01 were accepted, two sections could name the same object.
func parseNumber(text string) (uint64, bool) {
	if number, err := strconv.ParseUint(text, 10, 64); err == nil {
		return number, strconv.FormatUint(number, 10) == text
	}
	return 0, false
}

// checkComplete adds faults for an index without snapshots, for shards without replicas, and for replicas that are listed twice or have
// no searcher section.
func (p *indexParser) checkComplete() {
	if len(p.snapshots) == 0 && len(p.faults) == 0 {
		p.fault("snapshot", "", "the index has no snapshot")
	}
	for version, snapshot := range p.snapshots {
		for shard, ids := range snapshot.replicas {
			name := fmt.Sprintf("shard %d/%d", version, shard)
			if len(ids) == 0 {
				p.fault(name, "", "shard has no searchers")
			}
			for i, id := range ids {
				if slices.Contains(ids[:i], id) {
					p.fault(name, "searchers", "searcher "+id+" appears twice")
				}
				if _, ok := p.searchers[id]; !ok {
					p.fault(name, "searchers", "no section [searcher "+id+"]")
				}
			}
		}
	}
}

func (p *indexParser) fault(section, key, problem string) {
	p.faults = append(p.faults, conf.NewFault(p.file, section, key, problem))
}
