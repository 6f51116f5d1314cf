package member

import (
	"context"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// relay waits at the parent for news and fetches the bodies from it.
func (daemon *Daemon) relay() {
	for !daemon.goroutines.Stopping() {
		parent := daemon.chooseParent()
		if parent == "" {
			daemon.Finder.Wait(time.Second)
			continue
		}
		version := daemon.Version()
		response, err := rpc.Call[message.WatchRequest, message.WatchResponse](daemon.line, parent, "watch", daemon.paces.Watch+daemon.paces.ask(),
			&message.WatchRequest{Name: daemon.place.Name, Serial: version.Serial, Table: version.Table.Version, Routing: version.Routing, SpanMs: int(daemon.paces.Watch.Milliseconds())})
		if err != nil {
			daemon.lost(parent)
			continue
		}
		if !version.behind(response.Serial, response.Routing, response.Table) {
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
			if time.Since(daemon.failed[parent.InternalAddress]) > aloneSpan {
				chosen = parent.InternalAddress
				break
			}
		}
	}
	if chosen != daemon.parent {
		daemon.parent = chosen
		daemon.counters.Add("parents_changed", 1)
	}
	return chosen
}

func (daemon *Daemon) lost(parent string) {
	daemon.counters.Add("parents_lost", 1)
	if leader := daemon.Finder.Leader(); leader.Address == parent {
		daemon.Finder.Drop(leader, false)
	}
	daemon.mutex.Lock()
	daemon.failed[parent] = time.Now()
	daemon.mutex.Unlock()
	daemon.goroutines.Sleep(daemon.paces.Seek)
}

// fetch takes news from a parent: names of branches first, then those that are
// lacking here. A parent that moved on meanwhile is asked again.
func (daemon *Daemon) fetch(within context.Context, parent string) bool {
	for range fetchTries {
		version := daemon.Version()
		response, err := rpc.CallContext[message.FetchRequest, message.FetchResponse](within, daemon.line, parent, "fetch", daemon.paces.fetch(), &message.FetchRequest{Serial: version.Serial, Table: version.Table.Version, Routing: version.Routing})
		if err != nil {
			return false
		}
		texts, lacks := message.Chunks{}, version.Tree.Lacks(response.Chunks)
		err = texts.Fetch(daemon.line, parent, daemon.paces.fetch(), lacks)
		if err == nil {
			daemon.counters.Add("branches_fetched", uint64(len(lacks)))
			return daemon.take(response, texts)
		}
		daemon.counters.Add("branches_"+string(rpc.CodeOf(err)), 1)
		if rpc.CodeOf(err) != rpc.CorruptChunk {
			return false
		}
	}
	return false
}

// take puts fetched parts in force, unless newer ones came meanwhile. Its mutex
// is not the daemon's, so that the session goes on while a large version is laid.
func (daemon *Daemon) take(response *message.FetchResponse, texts message.Chunks) bool {
	daemon.taking.Lock()
	before := daemon.Version()
	next, err := before.after(response, texts)
	if err != nil {
		daemon.taking.Unlock()
		daemon.counters.Add("versions_refused", 1)
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
		daemon.counters.Add("serials_in_force", 1)
	}
	if next.Routing != before.Routing {
		klog.Infof("%s: routing %d in force, version %d", daemon.place.Name, next.Routing, next.Book.Config.Version)
		daemon.counters.Add("routings_in_force", 1)
	}
	daemon.news.Notify()
	return true
}

func (daemon *Daemon) onWatch(_ context.Context, watch *message.WatchRequest) (*message.WatchResponse, error) {
	until := time.Now().Add(min(time.Duration(watch.SpanMs)*time.Millisecond, watchMost))
	for {
		seen := daemon.news.Count()
		version := daemon.Version()
		response := &message.WatchResponse{Serial: version.Serial, Table: version.Table.Version, Routing: version.Routing}
		if response.Serial > watch.Serial || response.Routing > watch.Routing || watch.Table.Less(response.Table) || daemon.goroutines.Stopping() || !daemon.news.Wait(seen, time.Until(until)) {
			return response, nil
		}
	}
}

func (daemon *Daemon) onFetch(_ context.Context, fetch *message.FetchRequest) (*message.FetchResponse, error) {
	version := daemon.Version()
	response := &message.FetchResponse{}
	if version.Serial > fetch.Serial {
		response.Serial, response.Chunks = version.Serial, version.Tree.Parts
	}
	if version.Routing > fetch.Routing {
		body, err := rpc.Marshal(version.Book)
		if err != nil {
			return nil, err
		}
		response.Routing, response.RoutingBody = version.Routing, body
	}
	if fetch.Table.Less(version.Table.Version) {
		response.Table = version.Table
	}
	return response, nil
}

func (daemon *Daemon) onParts(_ context.Context, parts *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	tree, response := daemon.Version().Tree, &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range parts.Digests {
		if text := tree.Text(digest); text != nil {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

func (daemon *Daemon) onWho(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
	return &message.LeaderResponse{Leader: daemon.Finder.Leader(), Membership: daemon.Finder.Members(), Cores: daemon.votingCores(), Serial: daemon.Version().Serial}, nil
}
