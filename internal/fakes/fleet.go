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

// firstSnapshot is the number of the index snapshot that a fleet starts with.
const firstSnapshot = 1

// Fleet is a configuration service and the searchers of its collections.
type Fleet struct {
	settings  FleetSettings
	platform  *Platform
	searchers map[string]*Searcher

	mu          sync.Mutex
	vms         map[string]fleetVM
	collections map[string]*fleetCollection
}

// fleetVM is one VM of a list. Searcher VMs have no entry node.
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

// fleetCollection is the published index of a collection.
type fleetCollection struct {
	settings  CollectionSettings
	searchers []shards.Searcher
	// columns holds the searcher ids by replica, so that the replicas of a shard are on distinct searchers in every snapshot.
	columns    [][]string
	partitions []Partition
}

// StartFleet starts the searchers of all collections and publishes all documents with index snapshot 1.
func StartFleet(s FleetSettings) (*Fleet, error) {
	if len(s.regions) == 0 {
		return nil, errors.New("fleet: at least one region is needed")
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
		return errors.Newf("%s: %d bytes exceed the greatest size of a value", key, len(body))
	}
	return nil
}

func (f *Fleet) startCollection(settings CollectionSettings) error {
	replicas := settings.replicas
	if settings.perRegion {
		replicas *= len(f.settings.regions)
	}
	if settings.shards < 1 || replicas < 1 {
		return errors.New("at least one shard and one replica are needed")
	}
	c := &fleetCollection{settings: settings, columns: make([][]string, replicas)}
	f.collections[settings.name] = c
	for i := range settings.shards * replicas {
		searcher, err := f.startSearcher(settings, i)
		if err != nil {
			return err
		}
		c.searchers = append(c.searchers, searcher)
		c.columns[i%replicas] = append(c.columns[i%replicas], searcher.ID())
	}
	return f.addSnapshot(c, firstSnapshot, settings.shards)
}

// startSearcher starts the searcher with a number in its collection, which decides its region and availability zone.
func (f *Fleet) startSearcher(settings CollectionSettings, number int) (shards.Searcher, error) {
	regions := f.settings.regions
	region := regions[number%len(regions)]
	if len(region.zones) == 0 {
		return shards.Searcher{}, errors.Newf("region %s has no availability zone", region.name)
	}
	zone := region.zones[number/len(regions)%len(region.zones)]
	own := settings.searcher
	own.id = fmt.Sprintf("%s-%05d", settings.name, number)
	own.address = loopback
	own.holdings = nil
	own.seed = f.settings.seed
	started, err := StartSearcher(own)
	if err != nil {
		return shards.Searcher{}, err
	}
	f.searchers[own.id] = started
	f.vms[own.id] = fleetVM{vm: shards.NewVM(own.id, region.name, zone, started.Address(), ""), searcher: true}
	return shards.NewSearcher(own.id, started.Address(), region.name, zone, own.slots, own.connections), nil
}

// addSnapshot lets the searchers hold a snapshot and publishes it; the lock is held.
func (f *Fleet) addSnapshot(c *fleetCollection, snapshot uint64, count int) error {
	partition := Partition{snapshot: snapshot, replicas: make([][]string, count)}
	for shard := range count {
		for _, column := range c.columns {
			id := column[shard%len(column)]
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

// PublishSnapshot publishes a further index snapshot of a collection with another number of shards. Earlier snapshots stay.
func (f *Fleet) PublishSnapshot(collection string, snapshot uint64, shardCount int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.collections[collection]
	if !ok || shardCount < 1 {
		return errors.Newf("collection %s with %d shards cannot be published", collection, shardCount)
	}
	if slices.ContainsFunc(c.partitions, func(p Partition) bool { return p.snapshot == snapshot }) {
		return errors.Newf("collection %s has snapshot %d already", collection, snapshot)
	}
	return f.addSnapshot(c, snapshot, shardCount)
}

// RetireSnapshot removes an index snapshot from the document of a collection and then from its searchers.
func (f *Fleet) RetireSnapshot(collection string, snapshot uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.collections[collection]
	if !ok {
		return errors.Newf("collection %s is not known", collection)
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

// AddNode publishes an entry VM, or replaces the one with the same id.
func (f *Fleet) AddNode(vm shards.VM) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[vm.ID()] = fleetVM{vm: vm}
	return f.publishVMs(vm.Region())
}

// MarkLeaving marks a VM as leaving in its list. A searcher does not learn of it; call its Leave for that.
func (f *Fleet) MarkLeaving(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.vms[id]
	if !ok {
		return errors.Newf("VM %s is not known", id)
	}
	known.vm = known.vm.AsLeaving()
	f.vms[id] = known
	return f.publishVMs(known.vm.Region())
}

// RemoveVM removes a VM from its list.
func (f *Fleet) RemoveVM(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.vms[id]
	if !ok {
		return errors.Newf("VM %s is not known", id)
	}
	delete(f.vms, id)
	return f.publishVMs(known.vm.Region())
}

// publishVMs publishes the VM list of a region; the lock is held.
func (f *Fleet) publishVMs(region string) error {
	var list []fleetVM
	for _, known := range f.vms {
		if known.vm.Region() == region {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b fleetVM) int { return strings.Compare(a.vm.ID(), b.vm.ID()) })
	body, err := vmsDocument(list)
	if err != nil {
		return err
	}
	return f.publish(shards.VMsPrefix+region, body)
}

// Settings returns the settings that the fleet was started with.
func (f *Fleet) Settings() FleetSettings { return f.settings }

// Platform returns the configuration service.
func (f *Fleet) Platform() *Platform { return f.platform }

// Searcher returns a searcher by id, or nil.
func (f *Fleet) Searcher(id string) *Searcher { return f.searchers[id] }

// Searchers returns the searchers of a collection sorted by id.
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

// Index returns the index of a collection as the fleet published it last.
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
