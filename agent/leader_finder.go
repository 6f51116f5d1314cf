package agent

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

const (
	// maxFinderIdle bounds how long the search for the leader pauses while nobody waits.
	maxIdleWait = time.Minute
	// Each search pauses searchSlowdown/searchSlowdownBase as long as the one before, up to
	// maxSearchSlowdown times the first: an election takes many times as long as a question.
	searchBackoffNumerator   = 3
	searchBackoffDenominator = 2
	maxSearchBackoff         = 3
)

// LeaderFinder knows the leader and the cores, and searches for the leader while somebody
// waits for it. It is safe for concurrent use.
type LeaderFinder struct {
	client          *rpc.Client
	goroutines      *concurrent.Group
	intervals       Intervals
	seeds           []string
	leaderFound     *concurrent.Condition // notified when another leader is known
	searchRequested *concurrent.Condition // notified when a leader is waited for
	// onResponse is called with what a voter answered to a search.
	onResponse func(core string, response *message.LeaderResponse)

	mutex      sync.Mutex
	cores      []string // the voters, then the seeds without a vote
	voterCount int
	membership message.Version // of the voters
	leader     message.Leader
	endedTerm  message.Term // of the newest leadership that has ended
	waiters    int
}

// NewLeaderFinder returns a LeaderFinder that knows some cores.
func NewLeaderFinder(client *rpc.Client, goroutines *concurrent.Group, cores []string) *LeaderFinder {
	return &LeaderFinder{
		client:          client,
		goroutines:      goroutines,
		intervals:       Intervals{}.withDefaults(),
		seeds:           slices.Clone(cores),
		leaderFound:     concurrent.NewCondition(),
		searchRequested: concurrent.NewCondition(),
		onResponse:      func(string, *message.LeaderResponse) {},
		cores:           slices.Clone(cores),
		voterCount:      len(cores),
	}
}

// WithIntervals sets how often the leader is searched for, and returns the finder.
func (finder *LeaderFinder) WithIntervals(intervals Intervals) *LeaderFinder {
	finder.intervals = intervals.withDefaults()
	return finder
}

// Run starts the search. It ends when the group is stopped.
func (finder *LeaderFinder) Run() {
	finder.goroutines.OnStop(finder.searchRequested.Notify)
	finder.goroutines.OnStop(finder.leaderFound.Notify)
	finder.goroutines.Start(finder.search)
}

// search asks the cores for the leader while somebody waits for it, at first often.
func (finder *LeaderFinder) search() {
	pause := finder.intervals.FindLeader
	for finder.goroutines.Sleep(pause) {
		if seen := finder.searchRequested.Count(); finder.idle() {
			pause = finder.intervals.FindLeader
			finder.searchRequested.Wait(seen, maxIdleWait)
			continue
		}
		finder.findLeader()
		pause = min(pause*searchBackoffNumerator/searchBackoffDenominator, maxSearchBackoff*finder.intervals.FindLeader)
	}
}

// idle reports whether nobody waits for a leader.
func (finder *LeaderFinder) idle() bool {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.waiters == 0 || finder.leader.Known()
}

// Leader returns the leader, which may be unknown.
func (finder *LeaderFinder) Leader() message.Leader {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.leader
}

// Cores returns the addresses of the voters, then those of the seeds that have no vote.
func (finder *LeaderFinder) Cores() []string {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Clone(finder.cores)
}

// Membership returns the version of the newest membership that was heard of.
func (finder *LeaderFinder) Membership() message.Version {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.membership
}

// Voters returns the cores that vote as far as is known, and the seeds that do not.
func (finder *LeaderFinder) Voters() (voters, others []string) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Clone(finder.cores[:finder.voterCount]), slices.Clone(finder.cores[finder.voterCount:])
}

// isVoter reports whether a core votes as far as is known: one that has lost its vote may
// tell what was in force when it had it.
func (finder *LeaderFinder) isVoter(core string) bool {
	voters, _ := finder.Voters()
	return slices.Contains(voters, core)
}

// Observe takes a leader that anyone names, unless a newer one is known or that
// leadership has ended.
func (finder *LeaderFinder) Observe(leader message.Leader) {
	finder.mutex.Lock()
	isNewer := leader.Known() && !leader.Term.Less(finder.leader.Term) && finder.endedTerm.Less(leader.Term) && leader != finder.leader
	if isNewer {
		finder.leader = leader
	}
	finder.mutex.Unlock()
	if isNewer {
		finder.leaderFound.Notify()
	}
}

// Drop forgets a leader that did not answer or, with ended, said that it leads no more.
func (finder *LeaderFinder) Drop(leader message.Leader, ended bool) {
	finder.mutex.Lock()
	if finder.leader.Term == leader.Term {
		finder.leader = message.Leader{Term: leader.Term}
	}
	if ended && finder.endedTerm.Less(leader.Term) {
		finder.endedTerm = leader.Term
	}
	finder.mutex.Unlock()
	finder.searchRequested.Notify()
}

// Wait waits until a leader is known, at most as long as timeout, and returns it.
func (finder *LeaderFinder) Wait(timeout time.Duration) message.Leader {
	deadline := time.Now().Add(timeout)
	finder.addWaiters(1)
	finder.searchRequested.Notify()
	defer finder.addWaiters(-1)
	for {
		seen := finder.leaderFound.Count()
		if leader := finder.Leader(); leader.Known() || finder.goroutines.Stopping() {
			return leader
		}
		if !finder.leaderFound.Wait(seen, time.Until(deadline)) {
			return finder.Leader()
		}
	}
}

func (finder *LeaderFinder) addWaiters(count int) {
	finder.mutex.Lock()
	finder.waiters += count
	finder.mutex.Unlock()
}

// findLeader asks all cores at once, until one names a leader.
func (finder *LeaderFinder) findLeader() {
	cores := finder.Cores()
	concurrent.Gather(finder.goroutines, len(cores), func(index int) (struct{}, error) {
		return struct{}{}, finder.queryCore(cores[index])
	}, func(map[int]struct{}, map[int]error) bool { return finder.Leader().Known() })
}

func (finder *LeaderFinder) queryCore(core string) error {
	response, err := rpc.Call(finder.client, core, message.MethodLeader, finder.intervals.findTimeout(), &message.LeaderRequest{})
	if err != nil {
		return err
	}
	finder.ObserveMembership(response.Membership, response.Cores)
	if finder.isVoter(core) {
		finder.onResponse(core, response)
	}
	if !response.Lameduck {
		finder.Observe(response.Leader)
	}
	return nil
}

// ObserveMembership takes the addresses of the voters under a membership, unless a newer
// one is known. Seeds that have no vote are asked after all others.
func (finder *LeaderFinder) ObserveMembership(membership message.Version, cores []string) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	if len(cores) == 0 || !finder.membership.Less(membership) {
		return
	}
	finder.membership, finder.cores, finder.voterCount = membership, slices.Clone(cores), len(cores)
	for _, seed := range finder.seeds {
		if !slices.Contains(finder.cores, seed) {
			finder.cores = append(finder.cores, seed)
		}
	}
}
