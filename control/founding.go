package control

import (
	"slices"
	"sync"

	"orchidjunction/concurrent"
	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// The file of a core's vote on the first membership. It is not part of the replica's state, which
// former releases must be able to read.
const (
	foundingKind   = "founding"
	foundingNumber = 1
)

// foundingStore holds a core's vote on the first membership on disk. It is safe for concurrent use.
type foundingStore struct {
	mutex sync.Mutex
	disk  storage.Disk
	state consensus.Founding
}

func openFoundingStore(disk storage.Disk) (*foundingStore, error) {
	store := &foundingStore{disk: disk}
	numbers, err := storage.FileNumbers(disk, foundingKind)
	if err != nil || !slices.Contains(numbers, foundingNumber) {
		return store, err
	}
	return store, storage.ReadSnapshot(disk, foundingKind, foundingNumber, &store.state)
}

func (store *foundingStore) current() consensus.Founding {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.state
}

// begin records the seeds of the first start, unless that was done before.
func (store *foundingStore) begin(seeds []string) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if len(store.state.Seeds) > 0 {
		return nil
	}
	return store.write(consensus.Founding{Seeds: seeds})
}

// vote votes on a request. The vote is durable before it is returned.
func (store *foundingStore) vote(request *message.FoundRequest) (*message.FoundResponse, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	response, next := store.state.Vote(request)
	if next != nil {
		if err := store.write(*next); err != nil {
			return nil, err
		}
	}
	return response, nil
}

func (store *foundingStore) write(next consensus.Founding) error {
	if err := storage.WriteSnapshot(store.disk, foundingKind, foundingNumber, &next); err != nil {
		return err
	}
	store.state = next
	return nil
}

// foundSystem proposes the first membership, if that is this core's turn, and returns the one that
// was chosen. The seeds propose in the order of their addresses; the next one does when all before
// it have said that their disks were lost, after which they never propose again.
func (core *Core) foundSystem() (message.AcceptedValue, bool) {
	founding := core.founding.current()
	ballot := founding.Ballot(core.config.InternalAddress)
	if ballot == 0 || !core.founders.haveLostDisks(founding.Before(ballot)) {
		return message.AcceptedValue{}, false
	}
	addresses, isComplete := core.founders.complete(founding.Seeds, core.config.MinFounders, core.config.FoundingQuietPeriod)
	if !isComplete {
		return message.AcceptedValue{}, false
	}
	proposal := consensus.InitialMembership(addresses).Accepted()
	switch {
	case founding.AcceptedBallot == ballot:
		proposal = founding.Accepted
	case ballot > 1:
		promises, isMajority := core.askForFounding(founding, &message.FoundRequest{Ballot: ballot})
		if !isMajority {
			return anyFoundedMembership(promises)
		}
		proposal = consensus.Proposal(promises, proposal)
	}
	votes, isMajority := core.askForFounding(founding, &message.FoundRequest{Ballot: ballot, Proposal: proposal})
	if membership, found := anyFoundedMembership(votes); found {
		return membership, true
	}
	return proposal, isMajority
}

// askForFounding asks this core, and then the other seeds, to grant a request. It returns the
// responses, and whether a majority of the seeds has granted it.
func (core *Core) askForFounding(founding consensus.Founding, request *message.FoundRequest) ([]*message.FoundResponse, bool) {
	own, err := core.founding.vote(request)
	if err != nil || !own.Granted {
		return nil, false
	}
	others := slices.DeleteFunc(slices.Clone(founding.Seeds), func(seed string) bool { return seed == core.config.InternalAddress })
	granted := func(responses map[int]*message.FoundResponse, errs map[int]error) int {
		count := 1
		for _, response := range responses {
			if response.Granted {
				count++
			}
		}
		for _, err := range errs {
			if votesForFirstBallot(request, err) {
				count++
			}
		}
		return count
	}
	responses, errs := concurrent.Gather(core.goroutines, len(others), func(index int) (*message.FoundResponse, error) {
		return rpc.Call(core.client, others[index], message.MethodFound, core.callTimeout(), request)
	}, func(responses map[int]*message.FoundResponse, errs map[int]error) bool {
		return founding.IsMajority(granted(responses, errs))
	})
	all := []*message.FoundResponse{own}
	for _, response := range responses {
		all = append(all, response)
	}
	return all, founding.IsMajority(granted(responses, errs))
}

// votesForFirstBallot reports whether a failed call counts as a vote: a former release, which
// doesn't know the call, takes the membership of the first seed and never proposes in its place.
func votesForFirstBallot(request *message.FoundRequest, err error) bool {
	return request.Ballot == 1 && rpc.CodeOf(err) == rpc.UnknownMessage
}

func anyFoundedMembership(responses []*message.FoundResponse) (message.AcceptedValue, bool) {
	for _, response := range responses {
		if response.Membership.Value.Serial > 0 {
			return response.Membership, true
		}
	}
	return message.AcceptedValue{}, false
}

// onFound votes on the first membership, or returns the membership that this core knows.
func (core *Core) onFound(request *message.FoundRequest) (*message.FoundResponse, error) {
	if membership := core.membership(); membership.HasMembership() {
		return &message.FoundResponse{Membership: membership.Accepted()}, nil
	}
	return core.founding.vote(request)
}
