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
	maxFounders  = 99
	joinInterval = 150 * time.Millisecond
)

// Founding are the cores that asked who votes before anybody did.
type Founding struct {
	mutex       sync.Mutex
	seen        map[string]bool
	lastAddedAt time.Time
}

func newFounding(wire string) *Founding {
	return &Founding{seen: map[string]bool{wire: true}, lastAddedAt: time.Now()}
}

func (founding *Founding) add(address string) {
	founding.mutex.Lock()
	defer founding.mutex.Unlock()
	if !founding.seen[address] && len(founding.seen) < maxFounders {
		founding.seen[address] = true
		founding.lastAddedAt = time.Now()
	}
}

// complete gives the addresses once all seeds and at least so many are there,
// and none came for a while.
func (founding *Founding) complete(seeds []string, least int, quiet time.Duration) ([]string, bool) {
	founding.mutex.Lock()
	defer founding.mutex.Unlock()
	if len(founding.seen) < least || time.Since(founding.lastAddedAt) < quiet {
		return nil, false
	}
	for _, seed := range seeds {
		if !founding.seen[seed] {
			return nil, false
		}
	}
	addresses := []string{}
	for address := range founding.seen {
		addresses = append(addresses, address)
	}
	return addresses, true
}

// sinceBootstrap is whether this disk has been there since the system's first start:
// only such a disk may become a voter without asking those that vote.
func (core *Core) sinceBootstrap() bool {
	return core.config.Bootstrap || core.replica.State().SinceBootstrap
}

// founder is the seed that says who votes at the first start.
func (core *Core) founder() string {
	return slices.MinFunc(core.config.Seeds, compareAddresses)
}

// discoverMembership is the duty of a core that knows no membership: it asks the seeds for one
// and, being the founder at the first start, makes it of all that asked.
func (core *Core) discoverMembership() {
	if core.config.Bootstrap && !core.replica.State().SinceBootstrap {
		if core.replica.MarkSinceBootstrap() != nil {
			core.goroutines.Sleep(joinInterval)
			return
		}
	}
	seeds := []string{}
	for _, seed := range core.config.Seeds {
		if seed != core.config.InternalAddress {
			seeds = append(seeds, seed)
		}
	}
	request := &message.JoinRequest{Address: core.config.InternalAddress, SinceBootstrap: core.sinceBootstrap()}
	got, _ := concurrent.Gather(core.goroutines, len(seeds), func(index int) (*message.JoinResponse, error) {
		return rpc.Call[message.JoinRequest, message.JoinResponse](core.client, seeds[index], "enlist", core.callTimeout(), request)
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
			core.adoptFirstMembership(response.Membership)
			return
		}
	}
	if core.sinceBootstrap() && core.founder() == core.config.InternalAddress {
		if addresses, complete := core.founding.complete(core.config.Seeds, core.config.MinFounders, core.config.FoundingQuiet); complete {
			core.adoptFirstMembership(firstMembership(addresses).accepted())
			return
		}
	}
	core.goroutines.Sleep(joinInterval)
}

// adoptFirstMembership takes the first membership that this core hears of. At the system's first
// start it votes by it at once: a disk that has been there since then never voted.
func (core *Core) adoptFirstMembership(accepted message.AcceptedValue) {
	membership, err := membershipOf(accepted)
	if err != nil || membership == nil {
		return
	}
	view := viewOf(core.config.InternalAddress, membership)
	founds := mayVoteAtOnce(core.sinceBootstrap(), view)
	if founds {
		if err := core.replica.Join(accepted); err != nil {
			core.goroutines.Sleep(joinInterval)
			return
		}
	}
	core.learnMembership(accepted)
	core.counters.Add("memberships_joined", 1)
	klog.Infof("core %d at %s: %d cores vote, a voter at once: %v", view.ID, view.Address, len(membership.Voters), founds)
	if founds {
		core.startClaims(view.ID)
		core.startFollowing()
	}
}

// mayVoteAtOnce is whether a core that first hears of a membership is a voter of it at once.
func mayVoteAtOnce(opening bool, view *View) bool { return opening && view.votes() }

func (core *Core) onJoin(request *message.JoinRequest) (*message.JoinResponse, error) {
	if !core.membership().known() {
		core.founding.add(request.Address)
		return &message.JoinResponse{}, nil
	}
	response := &message.JoinResponse{}
	if leadership, err := core.currentLeadership(); err == nil && !core.membership().has(request.Address) {
		response.Admitted = leadership.admit(request.Address)
		response.Term = leadership.term
	}
	response.Membership = core.newerMembership(request.Known)
	isLeader := core.servesAsLeader()
	core.mutex.Lock()
	if isLeader || time.Since(core.leaderSeenAt) < core.config.SuspicionTimeout {
		response.Leader = core.leader
	}
	core.mutex.Unlock()
	return response, nil
}
