package roster

import (
	"cmp"
	"slices"
	"time"
)

// zoneLeaders is the number of nodes of a zone that all others of the zone exchange states with directly. regionLeaders is the number of
// nodes of a region that the zone leaders exchange states with directly.
const (
	zoneLeaders   = 3
	regionLeaders = 2
)

// firstNodes returns the first n nodes by hash order among those that match.
func (r *Roster) firstNodes(n int, match func(State) bool) []State {
	var found firstStates
	if match(r.self) {
		found.insert(r.self, n)
	}
	for _, record := range r.others {
		if match(record.state) {
			found.insert(record.state, n)
		}
	}
	return found
}

// isZoneLeader reports whether this node is one of the leaders of its zone.
func (r *Roster) isZoneLeader() bool {
	for _, s := range r.firstNodes(zoneLeaders, r.inZone) {
		if s.ID == r.self.ID {
			return true
		}
	}
	return false
}

// LeadsZone reports whether this node is one of the leaders of its zone.
func (r *Roster) LeadsZone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isZoneLeader()
}

func (r *Roster) inZone(s State) bool   { return s.Zone == r.self.Zone }
func (r *Roster) inRegion(s State) bool { return s.Region == r.self.Region }

// directPeers returns the nodes that this node exchanges states with directly. The result may include this node.
func (r *Roster) directPeers() []State {
	peers := r.firstNodes(zoneLeaders, r.inZone)
	if !r.isZoneLeader() {
		return peers
	}
	for _, s := range r.firstNodes(regionLeaders, r.inRegion) {
		if !r.inZone(s) {
			peers = append(peers, s)
		}
	}
	return peers
}

// discoveryHeartbeats is the number of heartbeats after the start during which a node exchanges states with all leaders of its zone and
// replies with everything that it knows of the region, so that nodes that start at the same time soon agree on the leaders.
const discoveryHeartbeats = 6

// heartbeatTargets returns the nodes to exchange states with at this heartbeat. Leaders contact all their direct peers. The other nodes
// of a zone, of which there may be many, contact its leaders round-robin; the contacted leader replies with the states of all leaders.
func (r *Roster) heartbeatTargets(now time.Time) []State {
	peers := r.directPeers()
	r.heartbeatRounds++
	if r.heartbeatRounds <= discoveryHeartbeats || r.isZoneLeader() {
		return peers
	}
	if now.Sub(r.leaderExchangeAt) < r.leaderExchangeInterval() {
		return nil
	}
	r.leaderExchangeAt = now
	r.leaderExchanges++
	at := r.leaderExchanges % len(peers)
	return peers[at : at+1]
}

// leaderExchangesPerS bounds the exchanges per second that a leader receives from the other nodes of its zone.
const leaderExchangesPerS = 40

// leaderExchangeInterval is the minimum time between two exchanges of a non-leader with a leader. It is proportional to the zone size.
func (r *Roster) leaderExchangeInterval() time.Duration {
	size := 1
	for _, record := range r.others {
		if r.inZone(record.state) {
			size++
		}
	}
	return time.Duration(size) * time.Second / (zoneLeaders * leaderExchangesPerS)
}

// crossRegionInterval is the minimum time between two exchanges of a zone leader with other regions; each sends the states of its region.
const crossRegionInterval = time.Second

// Exchange is one exchange of states to start: the target and the states to send.
type Exchange struct {
	// Address is the peer address of the target.
	Address string
	// States are sent to the target, which replies with states of its own as Reply selects them.
	States []State
}

// NextExchanges returns the exchanges of one heartbeat: one state to leaders of the zone; at intervals the region's table to another node
// of the region; and, from zone leaders only, the region's states to another region. It adds an exchange with a seed while some seed
// address belongs to no known node.
func (r *Roster) NextExchanges(now time.Time, seeds []string) []Exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	var exchanges []Exchange
	for _, s := range r.heartbeatTargets(now) {
		if s.ID != r.self.ID {
			exchanges = append(exchanges, Exchange{Address: s.PeerAddress, States: []State{r.self}})
		}
	}
	if r.heartbeatRounds > discoveryHeartbeats && now.Sub(r.tableAt) >= r.tableInterval() {
		r.tableAt = now
		if partner, ok := r.nextTablePartner(); ok {
			exchanges = append(exchanges, Exchange{Address: partner.PeerAddress, States: r.regionTable(now)})
		}
	}
	if r.isZoneLeader() && now.Sub(r.crossRegionAt) >= max(crossRegionInterval, r.tableInterval()) {
		r.crossRegionAt = now
		if remote, ok := r.randomRemotePeer(); ok {
			exchanges = append(exchanges, Exchange{Address: remote.PeerAddress, States: r.regionStates()})
		}
	}
	return append(exchanges, r.seedExchange(seeds)...)
}

func (r *Roster) removeExpired(now time.Time) {
	for id, record := range r.others {
		if now.Sub(record.advancedAt) > r.settings.RemoveAfter {
			delete(r.others, id)
		}
	}
}

// seedExchange returns an exchange with a random seed whose address belongs to no known node, or nothing when there is no such seed.
func (r *Roster) seedExchange(seeds []string) []Exchange {
	var unknown []string
	for _, seed := range seeds {
		if !r.hasPeerAddress(seed) {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	return []Exchange{{Address: unknown[r.random.IntN(len(unknown))], States: []State{r.self}}}
}

// hasPeerAddress reports whether a known node, this one included, has the peer address.
func (r *Roster) hasPeerAddress(address string) bool {
	if r.self.PeerAddress == address {
		return true
	}
	for _, record := range r.others {
		if record.state.PeerAddress == address {
			return true
		}
	}
	return false
}

// nextTablePartner returns the node of the region to exchange the region's table with. It cycles through the ring partners, so that a state
// reaches all nodes in few exchanges and a node keeps few connections.
func (r *Roster) nextTablePartner() (State, bool) {
	partners := r.ringPartners()
	if len(partners) == 0 {
		return State{}, false
	}
	r.tableExchanges++
	return partners[r.tableExchanges%len(partners)], true
}

// ringPartners returns the nodes of the region at the distances 1, 2, 4 and so on from this node in the order of ids.
func (r *Roster) ringPartners() []State {
	states := r.regionStates()
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	self := slices.IndexFunc(states, func(s State) bool { return s.ID == r.self.ID })
	var partners []State
	for distance := 1; distance < len(states); distance *= 2 {
		partners = append(partners, states[(self+distance)%len(states)])
	}
	return partners
}

// randomRemotePeer returns a random leader of a random other region.
func (r *Roster) randomRemotePeer() (State, bool) {
	regions := r.otherRegions()
	if len(regions) == 0 {
		return State{}, false
	}
	region := regions[r.random.IntN(len(regions))]
	first := r.firstNodes(regionLeaders, func(s State) bool { return s.Region == region })
	return first[r.random.IntN(len(first))], true
}

// otherRegions returns the names of the other regions with known nodes, sorted.
func (r *Roster) otherRegions() []string {
	var regions []string
	for _, s := range r.otherStates(func(s State) bool { return !r.inRegion(s) }) {
		if !slices.Contains(regions, s.Region) {
			regions = append(regions, s.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// otherStates returns the states of the other nodes that match.
func (r *Roster) otherStates(match func(State) bool) []State {
	var states []State
	for _, record := range r.others {
		if match(record.state) {
			states = append(states, record.state)
		}
	}
	return states
}

// regionTable returns the states of the region, and those of other regions that advanced within the last two table intervals.
func (r *Roster) regionTable(now time.Time) []State {
	recent := 2 * r.tableInterval()
	return r.selfAndOthers(func(s State) bool { return r.inRegion(s) || now.Sub(r.others[s.ID].advancedAt) < recent })
}

// regionStates returns the states of the nodes of the region, including this one.
func (r *Roster) regionStates() []State { return r.selfAndOthers(r.inRegion) }

func (r *Roster) allStates() []State { return r.selfAndOthers(func(State) bool { return true }) }

// selfAndOthers returns the state of this node and those of the other nodes that match.
func (r *Roster) selfAndOthers(match func(State) bool) []State {
	return append([]State{r.self}, r.otherStates(match)...)
}

// Reply returns the states that answer an exchange, by what was received: for a single state those of the zone leaders, for the table of
// this region the table in return, and for states from another region those of this region. A sender that is not yet known gets all
// states. During the first discoveryHeartbeats heartbeats a single state is answered with the table too.
func (r *Roster) Reply(now time.Time, received []State) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(received) == 0 {
		return []State{r.self}
	}
	sender := received[0]
	_, known := r.others[sender.ID]
	switch {
	case !known:
		return r.allStates()
	case sender.Region != r.self.Region:
		return r.regionStates()
	case len(received) == 1 && r.heartbeatRounds > discoveryHeartbeats:
		return r.selfAndZoneLeaders()
	default:
		return r.regionTable(now)
	}
}

// selfAndZoneLeaders returns the state of this node and those of the other leaders of its zone.
func (r *Roster) selfAndZoneLeaders() []State {
	states := []State{r.self}
	for _, s := range r.firstNodes(zoneLeaders, r.inZone) {
		if s.ID != r.self.ID {
			states = append(states, s)
		}
	}
	return states
}

// ChangeTargets returns the peer addresses of up to n nodes of the region that are told of a change of this node immediately. They are
// drawn from the ring partners, with which this node has connections anyway: random nodes would cost a handshake each.
func (r *Roster) ChangeTargets(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	partners := r.ringPartners()
	r.random.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	return peerAddresses(partners[:min(n, len(partners))])
}

// PushTargets returns the peer addresses of the nodes that are told of quarantine marks and of changes of reach: the ring partners and, from
// zone leaders, the leaders of the other regions. Nodes that forward what is new to them once reach all nodes in as many steps as the ring has
// distances, over a number of connections a node that grows with the logarithm of the region.
func (r *Roster) PushTargets() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	targets := r.ringPartners()
	if r.isZoneLeader() {
		for _, region := range r.otherRegions() {
			targets = append(targets, r.firstNodes(regionLeaders, func(s State) bool { return s.Region == region })...)
		}
	}
	return peerAddresses(targets)
}

func peerAddresses(states []State) []string {
	list := make([]string, len(states))
	for i, state := range states {
		list[i] = state.PeerAddress
	}
	return list
}
