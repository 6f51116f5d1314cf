package member

import (
	"context"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"sync"
	"time"
)

// Watched is the core whose news is waited for, and how to wait no longer.
type Watched struct {
	mutex  sync.Mutex
	core   string
	cancel context.CancelFunc
}

func (watched *Watched) begin(core string) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	watched.core, watched.cancel = core, cancel
	return ctx
}

// leave ends the wait at a core, where that is still the one.
func (watched *Watched) leave(core string) {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	if watched.core == core && watched.cancel != nil {
		watched.cancel()
	}
}

func (watched *Watched) now() string {
	watched.mutex.Lock()
	defer watched.mutex.Unlock()
	return watched.core
}

// follow waits for news at the leader or, while that is silent, at another core.
func (daemon *Daemon) follow() {
	for !daemon.goroutines.Stopping() {
		core := daemon.chooseCore()
		ctx := daemon.watched.begin(core)
		if !daemon.hear(ctx, core) {
			daemon.lost(core)
		}
		daemon.watched.leave(core)
	}
}

// hear is one wait for news and what it brings; false when the core is of no use.
func (daemon *Daemon) hear(ctx context.Context, core string) bool {
	version := daemon.Version()
	response, err := rpc.CallContext[message.WatchRequest, message.WatchResponse](ctx, daemon.line, core, "watch", daemon.paces.Watch+daemon.paces.ask(),
		&message.WatchRequest{Name: daemon.place.Name, Serial: version.Serial, Table: version.Table.Version, Routing: version.Routing, SpanMs: int(daemon.paces.Watch.Milliseconds())})
	if err != nil {
		return ctx.Err() != nil
	}
	return !version.behind(response.Serial, response.Routing, response.Table) || daemon.fetch(ctx, core) || ctx.Err() != nil
}

// begin takes a first version from whichever core has one: before a leader stands,
// cores tell what they know committed.
func (daemon *Daemon) begin(core string, response *message.LeaderResponse) {
	version := daemon.Version()
	if version.Routing > 0 && version.Table.Complete || !version.behind(0, response.Routing, response.Table) {
		return
	}
	daemon.counters.Add("begun_before_a_leader", 1)
	daemon.fetch(context.Background(), core)
}

// chooseCore is the leader, unless it is unknown or just fell silent; then it is
// another core, one after the other. A new leadership is heard whatever its core
// did before.
func (daemon *Daemon) chooseCore() string {
	leader := daemon.Finder.Leader()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if leader.Known() && daemon.led.Less(leader.Term) {
		daemon.led = leader.Term
		delete(daemon.failed, leader.Address)
	}
	if leader.Known() && time.Since(daemon.failed[leader.Address]) > aloneSpan {
		return leader.Address
	}
	return daemon.nextCore()
}

// silent forgets a leader that did not answer, and waits for no news of it.
func (daemon *Daemon) silent(core string) {
	if leader := daemon.Finder.Leader(); leader.Address == core {
		daemon.Finder.Drop(leader, false)
	}
	daemon.watched.leave(core)
}

// turn leaves a core that knows no leader, and ends a wait for news at one that
// does not lead while another one does.
func (daemon *Daemon) turn(core string, leader message.Leader, before message.Term) {
	daemon.mutex.Lock()
	if !leader.Known() {
		daemon.failed[core] = time.Now()
	} else if before.Less(leader.Term) {
		delete(daemon.failed, leader.Address)
	}
	daemon.mutex.Unlock()
	if !leader.Known() {
		daemon.silent(core)
	}
	if watched := daemon.watched.now(); watched != daemon.chooseCore() && daemon.Finder.Leader().Known() {
		daemon.watched.leave(watched)
	}
}

// catchUp takes news from the core that told of it, where the wait for news did
// not; the session does not wait for that.
func (daemon *Daemon) catchUp(core string) {
	daemon.mutex.Lock()
	late := !daemon.behind.IsZero() && time.Since(daemon.behind) > daemon.paces.Session/2
	daemon.mutex.Unlock()
	if !late || !daemon.catching.CompareAndSwap(false, true) {
		return
	}
	daemon.counters.Add("caught_up", 1)
	daemon.goroutines.Start(func() {
		defer daemon.catching.Store(false)
		daemon.fetch(context.Background(), core)
	})
}
