package agent

import (
	"context"
	"sync"
	"time"

	"orchidjunction/message"
)

// watching is the core at which a daemon with direct sessions waits for updates, and how
// to wait no longer. It is safe for concurrent use.
type watchState struct {
	mutex  sync.Mutex
	core   string
	cancel context.CancelFunc
}

// begin notes the core and returns the context of the wait.
func (state *watchState) begin(core string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.core, state.cancel = core, cancel
	return ctx
}

// stop ends the wait at a core, if that is still the one.
func (state *watchState) stop(core string) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.core == core && state.cancel != nil {
		state.cancel()
	}
}

func (state *watchState) current() string {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.core
}

// watchCores waits for updates at the leader or, while that does not answer, at another
// core.
func (daemon *Daemon) watchCores() {
	for !daemon.goroutines.Stopping() {
		core := daemon.chooseCore()
		ctx := daemon.watchState.begin(core)
		if !daemon.watchOnce(ctx, core) {
			daemon.handleParentFailure(core)
		}
		daemon.watchState.stop(core)
	}
}

// watchOnce waits for an update at a core and puts it in force, after a fetch unless the
// core sent it at once. It returns false if the core failed.
func (daemon *Daemon) watchOnce(ctx context.Context, core string) bool {
	version := daemon.Version()
	response, err := daemon.watch(ctx, core, version)
	if err != nil {
		return ctx.Err() != nil
	}
	daemon.applyWatchResponse(response)
	isNewer := daemon.Version().isBehind(response.Serial, response.Routing, response.Rollouts, response.Table)
	return !isNewer || daemon.fetch(ctx, core) || ctx.Err() != nil
}

// takeWatched puts in force what came with the response to a watch: roll-outs, and what
// changed in the table.
func (daemon *Daemon) applyWatchResponse(response *message.WatchResponse) {
	update := &message.FetchResponse{Delta: response.Delta}
	if response.Rollouts > daemon.Version().RolloutSerial {
		update.Rollouts, update.RolloutList = response.Rollouts, response.RolloutList
	}
	if update.Delta == nil && update.Rollouts == 0 {
		return
	}
	if daemon.applyUpdate(update, nil) && update.Delta != nil {
		daemon.counters.Add("deltas_with_a_watch", 1)
	}
}

// fetchFirstVersion takes a first version from whichever core has one: before anybody
// leads, cores say what they know to be committed.
func (daemon *Daemon) fetchInitialVersion(core string, response *message.LeaderResponse) {
	version := daemon.Version()
	if version.Servable() || !version.isBehind(0, response.Routing, 0, response.Table) {
		return
	}
	daemon.counters.Add("begun_before_a_leader", 1)
	daemon.fetch(context.Background(), core)
}

// coreSilent forgets a leader that did not answer, and waits for no updates from it.
func (daemon *Daemon) dropUnresponsiveCore(core string) {
	if leader := daemon.LeaderFinder.Leader(); leader.Address == core {
		daemon.LeaderFinder.Drop(leader, false)
	}
	daemon.watchState.stop(core)
}

// updateCores leaves a core that knows no leader, and ends a wait for updates at one that
// does not lead while another one does.
func (daemon *Daemon) reconsiderWatch(core string, leader message.Leader, formerTerm message.Term) {
	daemon.mutex.Lock()
	if !leader.Known() {
		daemon.failedAt[core] = time.Now()
	} else if formerTerm.Less(leader.Term) {
		delete(daemon.failedAt, leader.Address)
	}
	daemon.mutex.Unlock()
	if !leader.Known() {
		daemon.dropUnresponsiveCore(core)
	}
	watched := daemon.watchState.current()
	if watched != daemon.chooseCore() && daemon.LeaderFinder.Leader().Known() {
		daemon.watchState.stop(watched)
	}
}

// catchUp fetches an update from the core that has it, if the wait for updates did not;
// the session does not wait for that.
func (daemon *Daemon) catchUp(core string) {
	daemon.mutex.Lock()
	isLate := !daemon.behindSince.IsZero() && time.Since(daemon.behindSince) > daemon.intervals.Session/2
	daemon.mutex.Unlock()
	if !isLate || !daemon.catchingUp.CompareAndSwap(false, true) {
		return
	}
	daemon.counters.Add("caught_up", 1)
	daemon.goroutines.Start(func() {
		defer daemon.catchingUp.Store(false)
		daemon.fetch(context.Background(), core)
	})
}
