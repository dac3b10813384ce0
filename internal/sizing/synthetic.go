package sizing

import (
	"fmt"
	"strings"

	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/shards"
	"github.com/fireflylanding/fireflylanding/internal/spread"
)

const (
	// searchersPerCollection is the fan-out of a query at the design size. Each collection lies in one region, so that each of its groups
	// of 8 shards has one set of owners.
	searchersPerCollection = 200
	syntheticRegions       = 3
	syntheticZones         = 3
)

// synthetic holds generated documents of a fleet that is not running.
type synthetic struct {
	plans   *spread.Document
	uses    *spread.Document
	vms     []*spread.Document
	indexes []*spread.Document
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i%syntheticRegions) }

func zoneName(i int) string {
	return fmt.Sprintf("%s-%c", regionName(i), 'a'+i/syntheticRegions%syntheticZones)
}

// address returns an address of typical length.
func address(host, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", host>>16&255, host>>8&255, host&255, port)
}

// newSynthetic generates the documents of a fleet.
func newSynthetic(nodes, searchers int) (*synthetic, error) {
	vms := make([]map[string]string, syntheticRegions)
	for i := range vms {
		vms[i] = make(map[string]string)
	}
	for i := range nodes {
		vms[i%syntheticRegions][nodeName(i)] = entryBody(i, "live")
	}
	s := &synthetic{}
	uses := make(map[string]string)
	for first := 0; first < searchers; first += searchersPerCollection {
		count := min(searchersPerCollection, searchers-first)
		s.addCollection(first/searchersPerCollection, count, vms, uses)
	}
	for i, sections := range vms {
		s.vms = append(s.vms, spread.NewDocument(shards.VMsPrefix+regionName(i), 1, sections))
	}
	plansSections := make(map[string]string)
	for _, rank := range plans.Ranks() {
		plansSections["plan-"+rank.String()] = fmt.Sprintf("customer = customer\nrank = %s\nweight = 1\npreference = tail\n", rank)
	}
	s.plans = spread.NewDocument(plans.PlansKey, 1, plansSections)
	s.uses = spread.NewDocument(plans.UsesKey, 1, uses)
	return s, nil
}

func nodeName(i int) string { return fmt.Sprintf("entry-%05d", i) }

func entryBody(i int, state string) string {
	return fmt.Sprintf("kind = entry\naddress = %s\npeer_address = %s\navailability_zone = %s\nregion = %s\nstate = %s\n",
		address(i, 8080), address(i, 8081), zoneName(i), regionName(i), state)
}

func (s *synthetic) addCollection(number, count int, vms []map[string]string, uses map[string]string) {
	collection := fmt.Sprintf("collection-%03d", number)
	region := regionName(number)
	sections := map[string]string{"snapshot 1": fmt.Sprintf("shards = %d\n", count)}
	for i := range count {
		id := fmt.Sprintf("%s-%05d", collection, i)
		zone := fmt.Sprintf("%s-%c", region, 'a'+i%syntheticZones)
		host := 1<<20 + number*searchersPerCollection + i
		sections["searcher "+id] = fmt.Sprintf("address = %s\nregion = %s\navailability_zone = %s\nslots = 2\nconnections = 25\n",
			address(host, 9000), region, zone)
		sections[fmt.Sprintf("shard 1/%d", i)] = "searchers = " + id + "\n"
		vms[number%syntheticRegions][id] = fmt.Sprintf("kind = searcher\naddress = %s\navailability_zone = %s\nregion = %s\nstate = live\n",
			address(host, 9000), zone, region)
	}
	s.indexes = append(s.indexes, spread.NewDocument(shards.IndexPrefix+collection, 1, sections))
	for _, rank := range plans.Ranks() {
		uses["plan-"+rank.String()+"/"+collection] = "queries_per_second = 2000\nconcurrent = 1000\n"
	}
}

// documents returns all documents of the fleet.
func (s *synthetic) documents() []*spread.Document {
	all := []*spread.Document{s.plans, s.uses}
	all = append(all, s.vms...)
	return append(all, s.indexes...)
}

// changed returns the next revision of a document with one section replaced.
func changed(document *spread.Document, name, body string) *spread.Document {
	sections := make(map[string]string, len(document.Sections())+1)
	for key, value := range document.Sections() {
		sections[key] = strings.Clone(value)
	}
	sections[name] = body
	return spread.NewDocument(document.Key(), document.Revision()+1, sections)
}
