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

// document builds an INI document from section messages of the schema.
type document struct {
	file *ini.File
	err  error
}

func newDocument() *document { return &document{file: ini.Empty()} }

// add writes a message as one section. Empty texts and lists are left out.
func (d *document) add(name string, message proto.Message) {
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

// bytes returns the document.
func (d *document) bytes() ([]byte, error) {
	if d.err != nil {
		return nil, d.err
	}
	var out bytes.Buffer
	if _, err := d.file.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// PlansDocument returns the list of plans in INI.
func PlansDocument(list []plans.Plan) ([]byte, error) {
	d := newDocument()
	for _, plan := range list {
		d.add(plan.Name(), wire.PlanSection_builder{
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

// UsesDocument returns the list of what plans may use in INI.
func UsesDocument(list []plans.Use) ([]byte, error) {
	d := newDocument()
	for _, use := range list {
		d.add(use.Plan()+"/"+use.Collection(), wire.UseSection_builder{
			QueriesPerSecond: use.QueriesPerSecond(),
			Concurrent:       uint32(use.Concurrent()),
		}.Build())
	}
	return d.bytes()
}

// vmsDocument returns a VM list in INI.
func vmsDocument(list []fleetVM) ([]byte, error) {
	d := newDocument()
	for _, known := range list {
		d.add(known.vm.ID(), wire.VMSection_builder{
			Kind:             known.kind(),
			Address:          known.vm.Address(),
			PeerAddress:      known.vm.PeerAddress(),
			Region:           known.vm.Region(),
			AvailabilityZone: known.vm.AvailabilityZone(),
			State:            vmState(known.vm),
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

// IndexDocument returns the index document of a collection in INI.
func IndexDocument(searchers []shards.Searcher, partitions []Partition) ([]byte, error) {
	d := newDocument()
	for _, searcher := range searchers {
		d.add("searcher "+searcher.ID(), wire.SearcherSection_builder{
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

func (d *document) addPartition(p Partition) {
	version := strconv.FormatUint(p.snapshot, 10)
	d.add("snapshot "+version, wire.SnapshotSection_builder{Shards: uint32(len(p.replicas))}.Build())
	for shard, ids := range p.replicas {
		d.add("shard "+version+"/"+strconv.Itoa(shard), wire.ShardSection_builder{Searchers: ids}.Build())
	}
}

// Partition is the partition map of one index snapshot.
type Partition struct {
	snapshot uint64
	// replicas lists the searcher ids by shard.
	replicas [][]string
}

// NewPartition returns a partition map from the searcher ids by shard.
func NewPartition(snapshot uint64, replicas [][]string) Partition {
	return Partition{snapshot: snapshot, replicas: replicas}
}

// Snapshot returns the index snapshot.
func (p Partition) Snapshot() uint64 { return p.snapshot }

// Shards returns the number of shards.
func (p Partition) Shards() int { return len(p.replicas) }

// Replicas returns the ids of the searchers of a shard. The caller must not change the result.
func (p Partition) Replicas(shard int) []string { return p.replicas[shard] }
