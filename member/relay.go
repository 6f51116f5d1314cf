package member

import (
	"context"
	"time"

	"orchidjunction/wire"

	"k8s.io/klog/v2"
)

// relay waits at the parent for news and fetches the bodies from it.
func (daemon *Daemon) relay() {
	for !daemon.threads.Stopping() {
		parent := daemon.chooseParent()
		if parent == "" {
			daemon.Finder.Wait(time.Second)
			continue
		}
		version := daemon.Version()
		told, fault := wire.Ask[wire.Watch, wire.WatchTold](daemon.line, parent, "watch", daemon.paces.Watch+daemon.paces.ask(),
			&wire.Watch{Name: daemon.place.Name, Serial: version.Serial, Table: version.Table.Mark, Routing: version.Routing, SpanMs: int(daemon.paces.Watch.Milliseconds())})
		if fault != nil {
			daemon.lost(parent)
			continue
		}
		if !version.behind(told.Serial, told.Routing, told.Table) {
			continue
		}
		if !daemon.fetch(context.Background(), parent) {
			daemon.lost(parent)
		}
	}
}

// chooseParent is the nearest living relay above, or the leader when none is,
// or when this daemon stayed behind what its core told.
func (daemon *Daemon) chooseParent() string {
	parents := newTree(daemon.Version().Table).parents(daemon.place.Name)
	leader := daemon.Finder.Leader()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	chosen := leader.Address
	late := !daemon.behind.IsZero() && time.Since(daemon.behind) > behindSpan || daemon.seen > daemon.Version().Serial && time.Since(daemon.seenSince) > daemon.paces.Seek
	if !late || chosen == "" {
		for _, parent := range parents {
			if time.Since(daemon.failed[parent.Wire]) > aloneSpan {
				chosen = parent.Wire
				break
			}
		}
	}
	if chosen != daemon.parent {
		daemon.parent = chosen
		daemon.counts.Add("parents_changed", 1)
	}
	return chosen
}

func (daemon *Daemon) lost(parent string) {
	daemon.counts.Add("parents_lost", 1)
	if leader := daemon.Finder.Leader(); leader.Address == parent {
		daemon.Finder.Drop(leader, false)
	}
	daemon.mutex.Lock()
	daemon.failed[parent] = time.Now()
	daemon.mutex.Unlock()
	daemon.threads.Rest(daemon.paces.Seek)
}

// fetch takes news from a parent: names of branches first, then those that are
// lacking here. A parent that moved on meanwhile is asked again.
func (daemon *Daemon) fetch(within context.Context, parent string) bool {
	for range fetchTries {
		version := daemon.Version()
		told, fault := wire.AskIn[wire.Fetch, wire.FetchTold](within, daemon.line, parent, "fetch", daemon.paces.fetch(), &wire.Fetch{Serial: version.Serial, Table: version.Table.Mark, Routing: version.Routing})
		if fault != nil {
			return false
		}
		texts, lacks := wire.Texts{}, version.Tree.Lacks(told.Parts)
		mishap := texts.AskParts(daemon.line, parent, daemon.paces.fetch(), lacks)
		if mishap == nil {
			daemon.counts.Add("branches_fetched", uint64(len(lacks)))
			return daemon.take(told, texts)
		}
		daemon.counts.Add("branches_"+string(wire.KindOf(mishap)), 1)
		if wire.KindOf(mishap) != wire.DamagedPart {
			return false
		}
	}
	return false
}

// take puts fetched parts in force, unless newer ones came meanwhile. Its mutex
// is not the daemon's, so that the session goes on while a large version is laid.
func (daemon *Daemon) take(told *wire.FetchTold, texts wire.Texts) bool {
	daemon.taking.Lock()
	before := daemon.Version()
	next, mishap := before.after(told, texts)
	if mishap != nil {
		daemon.taking.Unlock()
		daemon.counts.Add("versions_refused", 1)
		return false
	}
	if next.Serial == before.Serial && next.Routing == before.Routing && next.Table == before.Table {
		daemon.taking.Unlock()
		return true
	}
	daemon.apply(next)
	daemon.version.Store(next)
	daemon.taking.Unlock()
	if next.Serial != before.Serial {
		klog.Infof("%s: serial %d in force", daemon.place.Name, next.Serial)
		daemon.counts.Add("serials_in_force", 1)
	}
	if next.Routing != before.Routing {
		klog.Infof("%s: routing %d in force, version %d", daemon.place.Name, next.Routing, next.Book.Config.Version)
		daemon.counts.Add("routings_in_force", 1)
	}
	daemon.news.Ring()
	return true
}

func (daemon *Daemon) onWatch(_ context.Context, watch *wire.Watch) (*wire.WatchTold, error) {
	until := time.Now().Add(min(time.Duration(watch.SpanMs)*time.Millisecond, watchMost))
	for {
		seen := daemon.news.Count()
		version := daemon.Version()
		told := &wire.WatchTold{Serial: version.Serial, Table: version.Table.Mark, Routing: version.Routing}
		if told.Serial > watch.Serial || told.Routing > watch.Routing || watch.Table.Less(told.Table) || daemon.threads.Stopping() || !daemon.news.Wait(seen, time.Until(until)) {
			return told, nil
		}
	}
}

func (daemon *Daemon) onFetch(_ context.Context, fetch *wire.Fetch) (*wire.FetchTold, error) {
	version := daemon.Version()
	told := &wire.FetchTold{}
	if version.Serial > fetch.Serial {
		told.Serial, told.Parts = version.Serial, version.Tree.Parts
	}
	if version.Routing > fetch.Routing {
		body, fault := wire.Pack(version.Book)
		if fault != nil {
			return nil, fault
		}
		told.Routing, told.RoutingBody = version.Routing, body
	}
	if fetch.Table.Less(version.Table.Mark) {
		told.Table = version.Table
	}
	return told, nil
}

func (daemon *Daemon) onParts(_ context.Context, parts *wire.Parts) (*wire.PartsTold, error) {
	tree, told := daemon.Version().Tree, &wire.PartsTold{Texts: wire.Texts{}}
	for _, digest := range parts.Digests {
		if text := tree.Text(digest); text != nil {
			told.Texts[digest] = text
		}
	}
	return told, nil
}

func (daemon *Daemon) onWho(context.Context, *wire.Who) (*wire.WhoTold, error) {
	return &wire.WhoTold{Leader: daemon.Finder.Leader(), Members: daemon.Finder.Members(), Cores: daemon.votingCores(), Serial: daemon.Version().Serial}, nil
}
