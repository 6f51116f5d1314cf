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
	// maxIdleWait limits one pause of the leader search while nobody waits for a leader.
	maxIdleWait = time.Minute
	// The pause between searches grows by searchBackoffNumerator/searchBackoffDenominator up to
	// maxSearchBackoff times the first pause: an election takes much longer than one request.
	searchBackoffNumerator   = 3
	searchBackoffDenominator = 2
	maxSearchBackoff         = 3
)

// LeaderFinder tracks the leader and the cores, and queries the cores for the leader while
// a caller waits for it. It is safe for concurrent use.
type LeaderFinder struct {
	client          *rpc.Client
	goroutines      *concurrent.Group
	intervals       Intervals
	seeds           []string
	leaderFound     *concurrent.Condition // notified when a new leader is observed
	searchRequested *concurrent.Condition // notified when a caller waits for a leader
	// onResponse is called with each voter's response to a leader query.
	onResponse func(core string, response *message.LeaderResponse)

	mutex      sync.Mutex
	cores      []string // the voters, followed by the seeds that are not voters
	voterCount int
	membership message.Version // of the voters
	leader     message.Leader
	endedTerm  message.Term // the newest term known to have ended
	waiters    int
}

// NewLeaderFinder returns a LeaderFinder that starts with the given seed cores.
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

// WithIntervals sets the search interval and its time-outs, and returns the finder.
func (finder *LeaderFinder) WithIntervals(intervals Intervals) *LeaderFinder {
	finder.intervals = intervals.withDefaults()
	return finder
}

// Run starts the search, which ends when the group is stopped.
func (finder *LeaderFinder) Run() {
	finder.goroutines.OnStop(finder.searchRequested.Notify)
	finder.goroutines.OnStop(finder.leaderFound.Notify)
	finder.goroutines.Start(finder.search)
}

// search queries the cores with increasing pauses while a caller waits for the leader.
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

// idle reports whether the leader is known or no caller waits for it.
func (finder *LeaderFinder) idle() bool {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.waiters == 0 || finder.leader.Known()
}

// Leader returns the newest known leader, or one for which Known is false.
func (finder *LeaderFinder) Leader() message.Leader {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.leader
}

// Cores returns the addresses of the voters, followed by the seeds that are not voters.
func (finder *LeaderFinder) Cores() []string {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Clone(finder.cores)
}

// Membership returns the version of the newest known membership.
func (finder *LeaderFinder) Membership() message.Version {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return finder.membership
}

// Voters returns the known voters and, separately, the seeds that are not voters.
func (finder *LeaderFinder) Voters() (voters, others []string) {
	finder.mutex.Lock()
	defer finder.mutex.Unlock()
	return slices.Clone(finder.cores[:finder.voterCount]), slices.Clone(finder.cores[finder.voterCount:])
}

// isVoter reports whether a core is a known voter. A removed voter may still report the
// state from before its removal.
func (finder *LeaderFinder) isVoter(core string) bool {
	voters, _ := finder.Voters()
	return slices.Contains(voters, core)
}

// Observe records a leader reported by any process, unless a newer leader is known or the
// reported term has ended.
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

// Drop forgets a leader that did not respond or, if ended, that reported the end of its term.
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

// Wait blocks until a leader is known or the timeout has passed, and returns the leader.
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

// findLeader queries all cores concurrently until one reports a leader.
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

// ObserveMembership records the voters of a membership unless a newer one is known. Seeds
// that are not voters are kept after them.
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
