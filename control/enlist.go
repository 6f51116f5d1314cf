package control

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"

	"k8s.io/klog/v2"
)

const (
	foundersMost = 99
	enlistPace   = 150 * time.Millisecond
)

// Enlisted are the cores that asked who votes before anybody did.
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
	if !enlisted.seen[address] && len(enlisted.seen) < foundersMost {
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

// opening is whether this disk has been there since the system's first start:
// only such a disk may become a voter without asking those that vote.
func (core *Core) opening() bool { return core.place.Found || core.voter.State().Opening }

// founder is the seed that says who votes at the first start.
func (core *Core) founder() string {
	return slices.MinFunc(core.place.Seeds, compareAddresses)
}

// enlist is the duty of a core that knows no membership: it asks the seeds for one
// and, being the founder at the first start, makes it of all that asked.
func (core *Core) enlist() {
	if core.place.Found && !core.voter.State().Opening {
		if core.voter.Open() != nil {
			core.goroutines.Sleep(enlistPace)
			return
		}
	}
	seeds := []string{}
	for _, seed := range core.place.Seeds {
		if seed != core.place.Wire {
			seeds = append(seeds, seed)
		}
	}
	request := &message.JoinRequest{Address: core.place.Wire, SinceBootstrap: core.opening()}
	got, _ := concurrent.Gather(core.goroutines, len(seeds), func(index int) (*message.JoinResponse, error) {
		return rpc.Call[message.JoinRequest, message.JoinResponse](core.line, seeds[index], "enlist", core.roundLimit(), request)
	}, func(got map[int]*message.JoinResponse, _ map[int]error) bool {
		for _, response := range got {
			if response.Membership.Value.Serial > 0 {
				return true
			}
		}
		return false
	})
	for _, response := range got {
		if response.Membership.Value.Serial > 0 {
			core.join(response.Membership)
			return
		}
	}
	if core.opening() && core.founder() == core.place.Wire {
		if addresses, complete := core.enlisted.complete(core.place.Seeds, core.place.Least, core.place.Quiet); complete {
			core.join(firstMembership(addresses).accepted())
			return
		}
	}
	core.goroutines.Sleep(enlistPace)
}

// join takes the first membership that this core hears of. At the system's first
// start it votes by it at once: a disk that has been there since then never voted.
func (core *Core) join(accepted message.AcceptedValue) {
	membership, err := membershipOf(accepted)
	if err != nil || membership == nil {
		return
	}
	view := viewOf(core.place.Wire, membership)
	founds := mayEnrol(core.opening(), view)
	if founds {
		if err := core.voter.Enrol(accepted); err != nil {
			core.goroutines.Sleep(enlistPace)
			return
		}
	}
	core.learnMembers(accepted)
	core.counters.Add("memberships_joined", 1)
	klog.Infof("core %d at %s: %d cores vote, a voter at once: %v", view.ID, view.Wire, len(membership.Voters), founds)
	if founds {
		core.beginClaims(view.ID)
		core.begin()
	}
}

// mayEnrol is whether a core that first hears of a membership is a voter of it at once.
func mayEnrol(opening bool, view *View) bool { return opening && view.votes() }

func (core *Core) onEnlist(request *message.JoinRequest) (*message.JoinResponse, error) {
	if !core.members().known() {
		core.enlisted.take(request.Address)
		return &message.JoinResponse{}, nil
	}
	response := &message.JoinResponse{}
	if leadership, err := core.leading(); err == nil && !core.members().has(request.Address) {
		response.Admitted = leadership.admit(request.Address)
		response.Term = leadership.ballot
	}
	response.Membership = core.newerMembers(request.Known)
	leads := core.leads()
	core.mutex.Lock()
	if leads || time.Since(core.heard) < core.place.Suspect {
		response.Leader = core.leader
	}
	core.mutex.Unlock()
	return response, nil
}
