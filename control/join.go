package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	maxFounders  = 99
	joinInterval = 150 * time.Millisecond
)

// Founders collects the addresses of the cores that ask for the membership at the system's
// first start, before there is one. It is safe for concurrent use.
type Founders struct {
	mutex       sync.Mutex
	seen        map[string]bool
	lostDisks   map[string]bool
	lastAddedAt time.Time
}

func newFounders(address string) *Founders {
	return &Founders{seen: map[string]bool{address: true}, lostDisks: map[string]bool{}, lastAddedAt: time.Now()}
}

// addFounder records that a core asked. A disk that does not date from the first start stands for
// one that was lost.
func (founders *Founders) addFounder(address string, sinceBootstrap bool) {
	founders.mutex.Lock()
	defer founders.mutex.Unlock()
	if !sinceBootstrap {
		founders.lostDisks[address] = true
	}
	if !founders.seen[address] && len(founders.seen) < maxFounders {
		founders.seen[address] = true
		founders.lastAddedAt = time.Now()
	}
}

// haveLostDisks reports whether all cores at the given addresses have lost their disks.
func (founders *Founders) haveLostDisks(addresses []string) bool {
	founders.mutex.Lock()
	defer founders.mutex.Unlock()
	return !slices.ContainsFunc(addresses, func(address string) bool { return !founders.lostDisks[address] })
}

// complete returns the addresses once they include all seeds, are at least atLeast, and none
// was added for the duration of quiet.
func (founders *Founders) complete(seeds []string, atLeast int, quiet time.Duration) ([]string, bool) {
	founders.mutex.Lock()
	defer founders.mutex.Unlock()
	if len(founders.seen) < atLeast || time.Since(founders.lastAddedAt) < quiet {
		return nil, false
	}
	for _, seed := range seeds {
		if !founders.seen[seed] {
			return nil, false
		}
	}
	return slices.Collect(maps.Keys(founders.seen)), true
}

// sinceBootstrap reports whether this disk dates from the system's first start. Only such a
// disk may become a voter without asking the present voters.
func (core *Core) sinceBootstrap() bool {
	return core.config.Bootstrap || core.replica.State().SinceBootstrap
}

func (core *Core) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(core.config.Seeds), func(seed string) bool { return seed == core.config.InternalAddress })
}

// discoverMembership asks the seeds for the membership. At the first start, the seeds choose it
// from all cores that asked.
func (core *Core) discoverMembership() {
	if core.config.Bootstrap && !core.replica.State().SinceBootstrap {
		if core.founding.begin(core.config.Seeds) != nil || core.replica.MarkSinceBootstrap() != nil {
			core.goroutines.Sleep(joinInterval)
			return
		}
	}
	membership, found := core.askSeeds()
	if !found {
		membership, found = core.foundSystem()
	}
	if found {
		core.adoptFirstMembership(membership)
		return
	}
	core.goroutines.Sleep(joinInterval)
}

// askSeeds returns a membership that one of the seeds knows.
func (core *Core) askSeeds() (message.AcceptedValue, bool) {
	seeds := core.otherSeeds()
	request := &message.JoinRequest{Address: core.config.InternalAddress, SinceBootstrap: core.sinceBootstrap()}
	responses, _ := concurrent.Gather(core.goroutines, len(seeds), func(index int) (*message.JoinResponse, error) {
		return rpc.Call(core.client, seeds[index], message.MethodJoin, core.callTimeout(), request)
	}, func(responses map[int]*message.JoinResponse, _ map[int]error) bool {
		_, found := anyMembership(responses)
		return found
	})
	return anyMembership(responses)
}

func anyMembership(responses map[int]*message.JoinResponse) (message.AcceptedValue, bool) {
	for _, response := range responses {
		if response.Membership.Value.Serial > 0 {
			return response.Membership, true
		}
	}
	return message.AcceptedValue{}, false
}

// mayAdoptFirstMembership reports whether a membership that came with another core's call, not
// with the response to this core's own request, gives it a vote at the first start.
func (core *Core) mayAdoptFirstMembership() bool {
	return core.config.discoversPeers() && core.replica.Blank() && core.membership().MayVoteWithoutRestore(core.sinceBootstrap())
}

// adoptFirstMembership applies the first membership that this core learns. At the system's
// first start it becomes a voter immediately.
func (core *Core) adoptFirstMembership(accepted message.AcceptedValue) {
	membership, err := consensus.DecodeMembership(accepted)
	if err != nil || membership == nil {
		return
	}
	view := consensus.NewView(core.config.InternalAddress, membership)
	votesImmediately := view.MayVoteWithoutRestore(core.sinceBootstrap())
	if votesImmediately && core.replica.Join(accepted) != nil {
		core.goroutines.Sleep(joinInterval)
		return
	}
	core.learnMembership(accepted)
	core.counters.Add("memberships_joined", 1)
	klog.Infof(
		"core %d at %s: joined a membership of %d voters, votes immediately: %v",
		view.ID,
		view.Address,
		len(membership.Voters),
		votesImmediately,
	)
	if votesImmediately {
		core.startClaims(view.ID)
		core.startFollowing()
	}
}

// onJoin returns the membership and the leader. A leader also admits a core without a vote as
// a learner.
func (core *Core) onJoin(request *message.JoinRequest) (*message.JoinResponse, error) {
	if !core.membership().HasMembership() {
		core.founders.addFounder(request.Address, request.SinceBootstrap)
		return &message.JoinResponse{}, nil
	}
	response := &message.JoinResponse{}
	if leadership, err := core.currentLeadership(); err == nil && !core.membership().HasAddress(request.Address) {
		response.Admitted = leadership.admit(request.Address)
		response.Term = leadership.term
	}
	response.Membership = core.members.NewerThan(request.Known)
	isLeader := core.advertisesLeadership()
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if isLeader || core.election.leaderAlive(core.config.SuspicionTimeout) {
		response.Leader = core.election.leader
	}
	return response, nil
}
