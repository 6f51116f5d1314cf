// Package member is what every daemon shares: its session with the cores, its
// place in the relay tree, and the operators' door.
package member

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Finder knows the leader, and looks for it while somebody waits.
type Finder struct {
	line       *rpc.Client
	goroutines *concurrent.Group
	bell       *concurrent.Condition
	wanted     *concurrent.Condition
	paces      Paces
	told       func(core string, response *message.LeaderResponse)

	seeds []string

	mutex   sync.Mutex
	cores   []string
	voting  int
	members message.Version
	leader  message.Leader
	dropped message.Term
	waiting int
}

const finderIdle = time.Minute

func NewFinder(client *rpc.Client, goroutines *concurrent.Group, cores []string) *Finder {
	return &Finder{line: client, goroutines: goroutines, bell: concurrent.NewCondition(), wanted: concurrent.NewCondition(), paces: Paces{}.filled(), told: func(string, *message.LeaderResponse) {}, seeds: slices.Clone(cores), cores: slices.Clone(cores), voting: len(cores)}
}

// Paced sets how often a leader is looked for.
func (finder *Finder) Paced(paces Paces) *Finder {
	finder.paces = paces.filled()
	return finder
}

func (finder *Finder) Run() {
	finder.goroutines.OnStop(finder.wanted.Notify)
	finder.goroutines.OnStop(finder.bell.Notify)
	finder.goroutines.Start(func() {
		for finder.goroutines.Sleep(finder.paces.Seek) {
			if seen := finder.wanted.Count(); finder.idle() {
				finder.wanted.Wait(seen, finderIdle)
			} else {
				finder.seek()
			}
		}
	})
}

// idle is whether nobody waits for a leader.
func (finder *Finder) idle() bool {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.waiting == 0 || finder.leader.Known()
}

func (finder *Finder) Leader() message.Leader {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.leader
}

func (finder *Finder) Cores() []string {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return append([]string{}, finder.cores...)
}

// Members is the mark of the newest membership that was heard of.
func (finder *Finder) Members() message.Version {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.members
}

// Voters are the cores that vote as far as is known, and the seeds that do not.
func (finder *Finder) Voters() (voters, others []string) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Clone(finder.cores[:finder.voting]), slices.Clone(finder.cores[finder.voting:])
}

// Heard takes anyone's word of a leader; older ballots are passed over.
func (finder *Finder) Heard(leader message.Leader) {
	finder.mutex.Lock()
	fresh := leader.Known() && !leader.Term.Less(finder.leader.Term) && finder.dropped.Less(leader.Term) && leader != finder.leader
	if fresh {
		finder.leader = leader
	}
	finder.mutex.Unlock()
	if fresh {
		finder.bell.Notify()
	}
}

// Drop forgets a leader that said it leads no more, or fell silent.
func (finder *Finder) Drop(leader message.Leader, ended bool) {
	finder.mutex.Lock()
	if finder.leader.Term == leader.Term {
		finder.leader = message.Leader{Term: leader.Term}
	}
	if ended && finder.dropped.Less(leader.Term) {
		finder.dropped = leader.Term
	}
	finder.mutex.Unlock()
	finder.wanted.Notify()
}

// Wait holds until a leader is known or the span is over.
func (finder *Finder) Wait(span time.Duration) message.Leader {
	until := time.Now().Add(span)
	finder.mutex.Lock()
	finder.waiting++
	finder.mutex.Unlock()
	finder.wanted.Notify()
	defer func() {
		finder.mutex.Lock()
		finder.waiting--
		finder.mutex.Unlock()
	}()
	for {
		seen := finder.bell.Count()
		if leader := finder.Leader(); leader.Known() || finder.goroutines.Stopping() {
			return leader
		}
		if !finder.bell.Wait(seen, time.Until(until)) {
			return finder.Leader()
		}
	}
}

func (finder *Finder) seek() {
	cores := finder.Cores()
	concurrent.Gather(finder.goroutines, len(cores), func(index int) (bool, error) {
		response, err := rpc.Call[message.LeaderRequest, message.LeaderResponse](finder.line, cores[index], "who", finder.paces.seek(), &message.LeaderRequest{})
		if err != nil {
			return false, err
		}
		finder.Learn(response.Membership, response.Cores)
		if finder.votes(cores[index]) {
			finder.told(cores[index], response)
		}
		if !response.Lameduck {
			finder.Heard(response.Leader)
		}
		return response.Leader.Known(), nil
	}, func(map[int]bool, map[int]error) bool { return finder.Leader().Known() })
}

// votes is whether a core votes as far as is known: one that does no more may tell
// what was in force when it did.
func (finder *Finder) votes(core string) bool {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Contains(finder.cores[:finder.voting], core)
}

// Learn takes the addresses of the voting cores under a membership's mark, unless a
// newer one is known. Seeds that vote no more are asked after all others.
func (finder *Finder) Learn(members message.Version, cores []string) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	if len(cores) == 0 || !finder.members.Less(members) {
		return
	}
	finder.members, finder.cores, finder.voting = members, slices.Clone(cores), len(cores)
	for _, seed := range finder.seeds {
		if !slices.Contains(finder.cores, seed) {
			finder.cores = append(finder.cores, seed)
		}
	}
}
