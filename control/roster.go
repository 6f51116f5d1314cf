package control

import (
	"math"
	"net/netip"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"orchidjunction/run"
	"orchidjunction/wire"
)

const (
	rosterMost = 99
	enlistPace = 150 * time.Millisecond
)

// Roster is which cores vote. Its ID is 0 for a core that is not among them;
// then no majority is ever reached here.
type Roster struct {
	ID    int
	Wire  string
	Peers []Peer
}

func newRoster(wire string, all []Peer) *Roster {
	roster := &Roster{Wire: wire}
	for _, peer := range all {
		if peer.Address == wire {
			roster.ID = peer.ID
		} else {
			roster.Peers = append(roster.Peers, peer)
		}
	}
	return roster
}

// rosterOf numbers cores by the order of their addresses.
func rosterOf(addresses []string) []Peer {
	sorted := append([]string{}, addresses...)
	sort.Slice(sorted, func(left, right int) bool { return lower(sorted[left], sorted[right]) })
	peers := []Peer{}
	for index, address := range sorted {
		peers = append(peers, Peer{ID: index + 1, Address: address})
	}
	return peers
}

func lower(left, right string) bool {
	parsedLeft, _ := netip.ParseAddrPort(left)
	parsedRight, _ := netip.ParseAddrPort(right)
	return parsedLeft.Compare(parsedRight) < 0
}

func (roster *Roster) known() bool { return roster.ID > 0 || len(roster.Peers) > 0 }

func (roster *Roster) majority() int {
	if roster.ID == 0 {
		return math.MaxInt
	}
	return (len(roster.Peers)+1)/2 + 1
}

// restorers is how many others must be fenced so that they meet every
// majority that a lost disk once helped to make.
func (roster *Roster) restorers() int {
	if roster.ID == 0 {
		return math.MaxInt
	}
	return len(roster.Peers) + 1 - roster.majority() + 1
}

func (roster *Roster) leader(ballot wire.Ballot) wire.Leader {
	return wire.Leader{Ballot: ballot, Core: roster.ID, Address: roster.Wire}
}

// address is another core's, or this one's.
func (roster *Roster) address(id int) string {
	for _, peer := range roster.Peers {
		if peer.ID == id {
			return peer.Address
		}
	}
	return roster.Wire
}

// addresses are those of all cores that vote, this one first.
func (roster *Roster) addresses() []string {
	all := []string{}
	if roster.ID > 0 || !roster.known() {
		all = append(all, roster.Wire)
	}
	for _, peer := range roster.Peers {
		all = append(all, peer.Address)
	}
	return all
}

// all is the roster as it is kept and told, nil when none is known.
func (roster *Roster) all() []Peer {
	if !roster.known() {
		return nil
	}
	all := append([]Peer{}, roster.Peers...)
	if roster.ID > 0 {
		all = append(all, Peer{ID: roster.ID, Address: roster.Wire})
	}
	sort.Slice(all, func(left, right int) bool { return all[left].ID < all[right].ID })
	return all
}

// Enlisted are the cores that asked for a roster before there was one.
type Enlisted struct {
	mutex sync.Mutex
	seen  map[string]bool
	newer time.Time
}

func newEnlisted(wire string) *Enlisted {
	return &Enlisted{seen: map[string]bool{wire: true}, newer: time.Now()}
}

func (enlisted *Enlisted) take(address string) {
	enlisted.mutex.Lock()
	defer enlisted.mutex.Unlock()
	if !enlisted.seen[address] && len(enlisted.seen) < rosterMost {
		enlisted.seen[address] = true
		enlisted.newer = time.Now()
	}
}

// complete gives the addresses once all seeds and at least so many are there,
// and none came for a while.
func (enlisted *Enlisted) complete(seeds []string, least int, quiet time.Duration) ([]string, bool) {
	enlisted.mutex.Lock()
	defer enlisted.mutex.Unlock()
	if len(enlisted.seen) < least || time.Since(enlisted.newer) < quiet {
		return nil, false
	}
	for _, seed := range seeds {
		if !enlisted.seen[seed] {
			return nil, false
		}
	}
	addresses := []string{}
	for address := range enlisted.seen {
		addresses = append(addresses, address)
	}
	return addresses, true
}

// roster is who votes, as far as this core knows.
func (core *Core) roster() *Roster { return core.known.Load() }

// opening is whether this disk has been there since the system's first start:
// only such a disk may become a voter without asking those that vote.
func (core *Core) opening() bool { return core.place.Found || core.voter.State().Opening }

// founder is the seed that says who votes.
func (core *Core) founder() string {
	seeds := append([]string{}, core.place.Seeds...)
	sort.Slice(seeds, func(left, right int) bool { return lower(seeds[left], seeds[right]) })
	return seeds[0]
}

// enlist is the duty of a core that knows no roster: it asks the seeds for one
// and, being the founder at the first start, makes it of all that asked.
func (core *Core) enlist() {
	if core.place.Found && !core.voter.State().Opening {
		if core.voter.Open() != nil {
			core.threads.Rest(enlistPace)
			return
		}
	}
	seeds := []string{}
	for _, seed := range core.place.Seeds {
		if seed != core.place.Wire {
			seeds = append(seeds, seed)
		}
	}
	message := &wire.Enlist{Address: core.place.Wire, Opening: core.opening()}
	got, _ := run.Gather(core.threads, len(seeds), func(index int) (*wire.EnlistTold, error) {
		return wire.Ask[wire.Enlist, wire.EnlistTold](core.line, seeds[index], "enlist", core.roundLimit(), message)
	}, func(got map[int]*wire.EnlistTold, _ map[int]error) bool {
		for _, told := range got {
			if len(told.Roster) > 0 {
				return true
			}
		}
		return false
	})
	for _, told := range got {
		if len(told.Roster) > 0 {
			core.adopt(told.Roster)
			return
		}
	}
	if core.opening() && core.founder() == core.place.Wire {
		if addresses, complete := core.enlisted.complete(core.place.Seeds, core.place.Least, core.place.Quiet); complete {
			core.adopt(rosterOf(addresses))
			return
		}
	}
	core.threads.Rest(enlistPace)
}

// adopt keeps a roster for good, and votes by it at the system's first start.
func (core *Core) adopt(all []Peer) {
	roster := newRoster(core.place.Wire, all)
	founds := core.opening() && roster.ID > 0
	if mishap := core.voter.Enrol(all, founds); mishap != nil {
		core.threads.Rest(enlistPace)
		return
	}
	core.known.Store(roster)
	core.chart.name(roster.ID)
	core.counts.Add("rosters_adopted", 1)
	klog.Infof("core %d at %s: %d cores vote, a voter at once: %v", roster.ID, roster.Wire, len(all), founds)
	if founds {
		core.claims.put(&keepWait{message: &wire.Keep{}, whole: true})
		core.begin()
	}
}

// spectate is the duty of a core that does not vote: it follows who leads.
func (core *Core) spectate() {
	peers := core.roster().Peers
	core.mutex.Lock()
	core.asked++
	peer := peers[core.asked%len(peers)]
	core.mutex.Unlock()
	told, fault := wire.Ask[wire.Enlist, wire.EnlistTold](core.line, peer.Address, "enlist", core.roundLimit(), &wire.Enlist{Address: core.place.Wire})
	if fault == nil && told.Leader.Known() {
		core.mutex.Lock()
		if !told.Leader.Ballot.Less(core.leader.Ballot) {
			core.leader = told.Leader
		}
		core.heard = time.Now()
		core.mutex.Unlock()
	}
	core.threads.Rest(core.place.Suspect / 2)
}

func (core *Core) onEnlist(message *wire.Enlist) (*wire.EnlistTold, *wire.Mishap) {
	if !core.roster().known() {
		core.enlisted.take(message.Address)
		return &wire.EnlistTold{}, nil
	}
	told := &wire.EnlistTold{Roster: core.roster().all()}
	leads := core.leads()
	core.mutex.Lock()
	if leads || time.Since(core.heard) < core.place.Suspect {
		told.Leader = core.leader
	}
	core.mutex.Unlock()
	return told, nil
}
