package fakes

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
)

// firstSnapshot is the number of a fleet's initial index snapshot.
const firstSnapshot = 1

// Fleet is a fake configuration service together with fake searchers for its collections.
type Fleet struct {
	settings  FleetSettings
	platform  *Platform
	searchers map[string]*Searcher

	mu          sync.Mutex
	vms         map[string]fleetVM
	collections map[string]*fleetCollection
}

// fleetVM is an entry of a VM list. Searcher VMs run no node.
type fleetVM struct {
	vm       shards.VM
	searcher bool
}

func (v fleetVM) kind() string {
	if v.searcher {
		return "searcher"
	}
	return "entry"
}

// fleetCollection is the state of a collection and its published index.
type fleetCollection struct {
	settings  CollectionSettings
	searchers []shards.Searcher
	// replicaGroups partitions the searcher ids by replica number. Taking one searcher from each group places the replicas of a shard
	// on distinct searchers in every snapshot.
	replicaGroups [][]string
	partitions    []Partition
}

// StartFleet starts the configuration service and the searchers of all collections, and publishes all documents with index snapshot 1.
func StartFleet(s FleetSettings) (*Fleet, error) {
	if len(s.regions) == 0 {
		return nil, errors.New("fleet has no region")
	}
	platform, err := StartPlatform(s.platform)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		settings:    s,
		platform:    platform,
		searchers:   make(map[string]*Searcher),
		vms:         make(map[string]fleetVM),
		collections: make(map[string]*fleetCollection),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.publishLists(); err != nil {
		return err
	}
	for _, settings := range f.settings.collections {
		if err := f.startCollection(settings); err != nil {
			return errors.Wrapf(err, "collection %s", settings.name)
		}
	}
	for _, region := range f.settings.regions {
		if err := f.publishVMs(region.name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) publishLists() error {
	plansBody, err := PlansDocument(f.settings.plans)
	if err != nil {
		return err
	}
	usesBody, err := UsesDocument(f.settings.uses)
	if err != nil {
		return err
	}
	if err := f.publish(plans.PlansKey, plansBody); err != nil {
		return err
	}
	return f.publish(plans.UsesKey, usesBody)
}

func (f *Fleet) publish(key string, body []byte) error {
	if f.platform.Set(key, body) == 0 {
		return errors.Newf("%s: value of %d bytes exceeds the size limit", key, len(body))
	}
	return nil
}

func (f *Fleet) startCollection(settings CollectionSettings) error {
	replicas := settings.replicas
	if settings.perRegion {
		replicas *= len(f.settings.regions)
	}
	if settings.shards < 1 || replicas < 1 {
		return errors.New("shards and replicas must be at least 1")
	}
	c := &fleetCollection{settings: settings, replicaGroups: make([][]string, replicas)}
	f.collections[settings.name] = c
	for i := range settings.shards * replicas {
		searcher, err := f.startSearcher(settings, i)
		if err != nil {
			return err
		}
		c.searchers = append(c.searchers, searcher)
		c.replicaGroups[i%replicas] = append(c.replicaGroups[i%replicas], searcher.ID())
	}
	return f.addSnapshot(c, firstSnapshot, settings.shards)
}

// startSearcher starts one searcher of a collection. Its number determines the region and the availability zone.
func (f *Fleet) startSearcher(settings CollectionSettings, number int) (shards.Searcher, error) {
	regions := f.settings.regions
	region := regions[number%len(regions)]
	if len(region.zones) == 0 {
		return shards.Searcher{}, errors.Newf("region %s has no availability zone", region.name)
	}
	zone := region.zones[number/len(regions)%len(region.zones)]
	derived := settings.searcher
	derived.id = fmt.Sprintf("%s-%05d", settings.name, number)
	derived.address = loopback
	derived.loaded = nil
	derived.seed = f.settings.seed
	started, err := StartSearcher(derived)
	if err != nil {
		return shards.Searcher{}, err
	}
	f.searchers[derived.id] = started
	f.vms[derived.id] = fleetVM{vm: shards.NewVM(derived.id, region.name, zone, started.Address(), ""), searcher: true}
	return shards.NewSearcher(derived.id, started.Address(), region.name, zone, derived.slots, derived.connections), nil
}

// addSnapshot adds the shards of a snapshot to the searchers and then publishes it; f.mu must be held.
func (f *Fleet) addSnapshot(c *fleetCollection, snapshot uint64, count int) error {
	partition := Partition{snapshot: snapshot, replicas: make([][]string, count)}
	for shard := range count {
		for _, group := range c.replicaGroups {
			id := group[shard%len(group)]
			partition.replicas[shard] = append(partition.replicas[shard], id)
			f.searchers[id].AddShards(c.settings.name, snapshot, shard)
		}
	}
	c.partitions = append(c.partitions, partition)
	return f.publishIndex(c)
}

func (f *Fleet) publishIndex(c *fleetCollection) error {
	body, err := IndexDocument(c.searchers, c.partitions)
	if err != nil {
		return err
	}
	return f.publish(shards.IndexPrefix+c.settings.name, body)
}

// PublishSnapshot publishes a new index snapshot of a collection, which may have another number of shards. Earlier snapshots remain.
func (f *Fleet) PublishSnapshot(collection string, snapshot uint64, shardCount int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.collections[collection]
	if !ok || shardCount < 1 {
		return errors.Newf("collection %s is unknown or has an invalid shard count of %d", collection, shardCount)
	}
	if slices.ContainsFunc(c.partitions, func(p Partition) bool { return p.snapshot == snapshot }) {
		return errors.Newf("collection %s already has snapshot %d", collection, snapshot)
	}
	return f.addSnapshot(c, snapshot, shardCount)
}

// RetireSnapshot removes an index snapshot from the document of a collection and then from its searchers.
func (f *Fleet) RetireSnapshot(collection string, snapshot uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.collections[collection]
	if !ok {
		return errors.Newf("unknown collection %s", collection)
	}
	c.partitions = slices.DeleteFunc(c.partitions, func(p Partition) bool { return p.snapshot == snapshot })
	if err := f.publishIndex(c); err != nil {
		return err
	}
	for _, searcher := range c.searchers {
		f.searchers[searcher.ID()].DropSnapshot(collection, snapshot)
	}
	return nil
}

// AddNode publishes an entry VM, replacing any with the same id.
func (f *Fleet) AddNode(vm shards.VM) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[vm.ID()] = fleetVM{vm: vm}
	return f.publishVMs(vm.Region())
}

// MarkLeaving marks a VM as leaving in its VM list. It does not notify a searcher; use Searcher.Leave for that.
func (f *Fleet) MarkLeaving(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, ok := f.vms[id]
	if !ok {
		return errors.Newf("unknown VM %s", id)
	}
	listed.vm = listed.vm.AsLeaving()
	f.vms[id] = listed
	return f.publishVMs(listed.vm.Region())
}

// RemoveVM removes a VM from its VM list.
func (f *Fleet) RemoveVM(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, ok := f.vms[id]
	if !ok {
		return errors.Newf("unknown VM %s", id)
	}
	delete(f.vms, id)
	return f.publishVMs(listed.vm.Region())
}

// publishVMs publishes the VM list of a region; f.mu must be held.
func (f *Fleet) publishVMs(region string) error {
	var list []fleetVM
	for _, listed := range f.vms {
		if listed.vm.Region() == region {
			list = append(list, listed)
		}
	}
	slices.SortFunc(list, func(a, b fleetVM) int { return strings.Compare(a.vm.ID(), b.vm.ID()) })
	body, err := vmsDocument(list)
	if err != nil {
		return err
	}
	return f.publish(shards.VMsPrefix+region, body)
}

// Settings returns the settings of the fleet.
func (f *Fleet) Settings() FleetSettings { return f.settings }

// Platform returns the configuration service.
func (f *Fleet) Platform() *Platform { return f.platform }

// Searcher returns the searcher with an id, or nil.
func (f *Fleet) Searcher(id string) *Searcher { return f.searchers[id] }

// Searchers returns the searchers of a collection, sorted by id.
func (f *Fleet) Searchers(collection string) []*Searcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.collections[collection]
	if !ok {
		return nil
	}
	list := make([]*Searcher, 0, len(c.searchers))
	for _, searcher := range c.searchers {
		list = append(list, f.searchers[searcher.ID()])
	}
	return list
}

// Index returns the index of a collection as last published.
func (f *Fleet) Index(collection string) (*shards.Index, error) {
	key := shards.IndexPrefix + collection
	latest := f.platform.latest(key)
	sections, err := conf.Split(key, latest.body)
	if err != nil {
		return nil, err
	}
	return shards.ParseIndex(collection, latest.revision, sections)
}

// Close stops all searchers and the configuration service.
func (f *Fleet) Close() {
	for _, searcher := range f.searchers {
		searcher.Close()
	}
	f.platform.Close()
}
