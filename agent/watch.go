package agent

import (
	"context"
	"sync"
	"time"

	"orchidjunction/message"
)

// watchState is the core that a daemon with direct sessions currently watches for updates, and
// the cancel function of that watch. It is safe for concurrent use.
type watchState struct {
	mutex  sync.Mutex
	core   string
	cancel context.CancelFunc
}

// begin records the watched core and returns the context of the watch.
func (state *watchState) begin(core string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.core, state.cancel = core, cancel
	return ctx
}

// stop cancels the watch of a core if that core is still watched.
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

// watchCores watches the leader for updates or, while that does not respond, another core.
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

// watchOnce waits for one update from a core and applies it, fetching what the watch response
// does not contain. It returns false if the core failed.
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

// applyWatchResponse applies the rollouts and the table delta of a watch response.
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

// fetchInitialVersion fetches a first version from any core that has one. Before a leader is
// elected, cores report the versions they know to be committed.
func (daemon *Daemon) fetchInitialVersion(core string, response *message.LeaderResponse) {
	version := daemon.Version()
	if version.Servable() || !version.isBehind(0, response.Routing, 0, response.Table) {
		return
	}
	daemon.counters.Add("begun_before_a_leader", 1)
	daemon.fetch(context.Background(), core)
}

// dropUnresponsiveCore stops watching a core and, if it is the leader, forgets the leader.
func (daemon *Daemon) dropUnresponsiveCore(core string) {
	if leader := daemon.LeaderFinder.Leader(); leader.Address == core {
		daemon.LeaderFinder.Drop(leader, false)
	}
	daemon.watchState.stop(core)
}

// reconsiderWatch gives up a core that knows no leader, and ends the watch of a core that is
// not the leader once the leader is known.
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

// catchUp fetches an update from a core in the background if the watch has not delivered it.
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
