package fakes

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// documentBuilder builds an INI document whose sections are messages of the schema.
type documentBuilder struct {
	file *ini.File
	err  error
}

func newDocumentBuilder() *documentBuilder { return &documentBuilder{file: ini.Empty()} }

// addSection writes a message as one section. Empty strings and lists are omitted.
func (d *documentBuilder) addSection(name string, message proto.Message) {
	section, err := d.file.NewSection(name)
	if err != nil {
		d.err = errors.CombineErrors(d.err, err)
		return
	}
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		text := iniValue(field, reflected.Get(field))
		if text == "" {
			continue
		}
		if _, err := section.NewKey(string(field.Name()), text); err != nil {
			d.err = errors.CombineErrors(d.err, err)
		}
	}
}

func iniValue(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch {
	case field.IsList():
		list := value.List()
		items := make([]string, list.Len())
		for i := range items {
			items[i] = list.Get(i).String()
		}
		return strings.Join(items, ",")
	case field.Kind() == protoreflect.DoubleKind:
		return strconv.FormatFloat(value.Float(), 'g', -1, 64)
	default:
		return value.String()
	}
}

// bytes returns the encoded document, or the errors of all sections.
func (d *documentBuilder) bytes() ([]byte, error) {
	if d.err != nil {
		return nil, d.err
	}
	var out bytes.Buffer
	if _, err := d.file.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// PlansDocument encodes the list of plans in INI.
func PlansDocument(list []plans.Plan) ([]byte, error) {
	d := newDocumentBuilder()
	for _, plan := range list {
		d.addSection(plan.Name(), wire.PlanSection_builder{
			Customer:   plan.Customer(),
			Rank:       plan.Rank().String(),
			Weight:     uint32(plan.Weight()),
			Preference: preferenceName(plan.Preference()),
		}.Build())
	}
	return d.bytes()
}

func preferenceName(p plans.Preference) string {
	switch p.(type) {
	case plans.Tail:
		return "tail"
	default:
		return "coverage"
	}
}

// UsesDocument encodes the list of uses in INI.
func UsesDocument(list []plans.Use) ([]byte, error) {
	d := newDocumentBuilder()
	for _, use := range list {
		d.addSection(use.Plan()+"/"+use.Collection(), wire.UseSection_builder{
			QueriesPerSecond: use.QueriesPerSecond(),
			Concurrent:       uint32(use.Concurrent()),
		}.Build())
	}
	return d.bytes()
}

// vmsDocument encodes a VM list in INI.
func vmsDocument(list []fleetVM) ([]byte, error) {
	d := newDocumentBuilder()
	for _, listed := range list {
		d.addSection(listed.vm.ID(), wire.VMSection_builder{
			Kind:             listed.kind(),
			Address:          listed.vm.Address(),
			PeerAddress:      listed.vm.PeerAddress(),
			Region:           listed.vm.Region(),
			AvailabilityZone: listed.vm.AvailabilityZone(),
			State:            vmState(listed.vm),
		}.Build())
	}
	return d.bytes()
}

func vmState(vm shards.VM) string {
	if vm.Leaving() {
		return "leaving"
	}
	return "live"
}

// IndexDocument encodes the index document of a collection in INI.
func IndexDocument(searchers []shards.Searcher, partitions []Partition) ([]byte, error) {
	d := newDocumentBuilder()
	for _, searcher := range searchers {
		d.addSection("searcher "+searcher.ID(), wire.SearcherSection_builder{
			Address:          searcher.Address(),
			Region:           searcher.Region(),
			AvailabilityZone: searcher.AvailabilityZone(),
			Slots:            uint32(searcher.Slots()),
			Connections:      uint32(searcher.Connections()),
		}.Build())
	}
	for _, partition := range partitions {
		d.addPartition(partition)
	}
	return d.bytes()
}

func (d *documentBuilder) addPartition(p Partition) {
	version := strconv.FormatUint(p.snapshot, 10)
	d.addSection("snapshot "+version, wire.SnapshotSection_builder{Shards: uint32(len(p.replicas))}.Build())
	for shard, ids := range p.replicas {
		d.addSection("shard "+version+"/"+strconv.Itoa(shard), wire.ShardSection_builder{Searchers: ids}.Build())
	}
}

// Partition maps the shards of one index snapshot to searchers.
type Partition struct {
	snapshot uint64
	// replicas holds the searcher ids of each shard.
	replicas [][]string
}

// NewPartition returns a partition of a snapshot with the searcher ids of each shard.
func NewPartition(snapshot uint64, replicas [][]string) Partition {
	return Partition{snapshot: snapshot, replicas: replicas}
}

// Snapshot returns the number of the index snapshot.
func (p Partition) Snapshot() uint64 { return p.snapshot }

// Shards returns the number of shards.
func (p Partition) Shards() int { return len(p.replicas) }

// Replicas returns the ids of the searchers that hold a shard. The caller must not modify the result.
func (p Partition) Replicas(shard int) []string { return p.replicas[shard] }
