package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// fetchAttempts is how often an update is fetched whose chunks are gone meanwhile.
const fetchAttempts = 3

// watch waits at a process until it has something newer, or the interval is over.
func (daemon *Daemon) watch(ctx context.Context, address string, version *Version) (*message.WatchResponse, error) {
	interval := daemon.intervals.Watch
	request := &message.WatchRequest{
		Name:     daemon.config.Name,
		Serial:   version.Serial,
		Table:    version.Table.Version,
		Routing:  version.RoutingSerial,
		Rollouts: version.RolloutSerial,
		SpanMs:   int(interval.Milliseconds()),
	}
	return rpc.CallContext(ctx, daemon.client, address, message.MethodWatch, interval+daemon.intervals.callTimeout(), request)
}

// fetch puts in force what a process has that is newer: first it asks for the references
// of the chunks, then for those that are missing here. A process that moved on meanwhile
// is asked again.
func (daemon *Daemon) fetch(ctx context.Context, address string) bool {
	begin := time.Now()
	for range fetchAttempts {
		version := daemon.Version()
		request := &message.FetchRequest{
			Serial: version.Serial, Table: version.Table.Version, Routing: version.RoutingSerial, Rollouts: version.RolloutSerial,
		}
		response, err := rpc.CallContext(ctx, daemon.client, address, message.MethodFetch, daemon.intervals.fetchTimeout(), request)
		if err != nil {
			return false
		}
		chunks, missing := message.Chunks{}, version.Tree.Missing(response.Chunks)
		err = chunks.Fetch(daemon.client, address, daemon.intervals.fetchTimeout(), missing)
		if err == nil {
			daemon.counters.Add("branches_fetched", uint64(len(missing)))
			applied := daemon.applyUpdate(response, chunks)
			daemon.counters.Histogram("update_fetch_seconds").Observe(time.Since(begin))
			return applied
		}
		daemon.counters.Add("branches_"+string(rpc.CodeOf(err)), 1)
		if rpc.CodeOf(err) != rpc.CorruptChunk {
			return false
		}
	}
	return false
}

// applyUpdate puts what was fetched in force, unless newer parts came meanwhile. It holds
// a mutex of its own, so that the session goes on while a large version is put in force.
func (daemon *Daemon) applyUpdate(response *message.FetchResponse, chunks message.Chunks) bool {
	daemon.applyMutex.Lock()
	before := daemon.Version()
	next, err := before.withUpdate(response, chunks)
	isSame := err == nil && next.Serial == before.Serial && next.RoutingSerial == before.RoutingSerial &&
		next.RolloutSerial == before.RolloutSerial && next.Table == before.Table
	if err == nil && !isSame {
		daemon.callbacks.apply(next)
		daemon.version.Store(next)
	}
	daemon.applyMutex.Unlock()
	if err != nil {
		daemon.counters.Add("versions_refused", 1)
		return false
	}
	if !isSame {
		daemon.logUpdate(before, next)
		daemon.updates.Notify()
	}
	return true
}

func (daemon *Daemon) logUpdate(before, next *Version) {
	if next.Serial != before.Serial {
		klog.Infof("%s: serial %d in force", daemon.config.Name, next.Serial)
		daemon.counters.Add("serials_in_force", 1)
	}
	if next.RoutingSerial != before.RoutingSerial {
		klog.Infof("%s: routing %d in force, version %d", daemon.config.Name, next.RoutingSerial, next.Routing.Config.Version)
		daemon.counters.Add("routings_in_force", 1)
	}
	if leaving := message.NewlyLeaving(before.Table.Backends, next.Table.Backends); leaving > 0 {
		version := next.Table.Version
		klog.Infof("%s: table %d of term %s in force: %d backends newly leaving", daemon.config.Name, version.Number, version.Term, leaving)
		daemon.counters.Add("backends_newly_leaving", uint64(leaving))
	}
}

// onWatch waits until something is newer here than what another daemon holds.
func (daemon *Daemon) onWatch(_ context.Context, request *message.WatchRequest) (*message.WatchResponse, error) {
	deadline := time.Now().Add(request.Timeout())
	for {
		seen := daemon.updates.Count()
		version := daemon.Version()
		response := &message.WatchResponse{
			Serial: version.Serial, Table: version.Table.Version, Routing: version.RoutingSerial, Rollouts: version.RolloutSerial,
		}
		if response.Rollouts > request.Rollouts {
			response.RolloutList = version.Rollouts
		}
		if response.NewerThan(request) || daemon.goroutines.Stopping() || !daemon.updates.Wait(seen, time.Until(deadline)) {
			return response, nil
		}
	}
}

// onFetch returns what is newer here than what another daemon holds.
func (daemon *Daemon) onFetch(_ context.Context, request *message.FetchRequest) (*message.FetchResponse, error) {
	version := daemon.Version()
	response := &message.FetchResponse{}
	if version.Serial > request.Serial {
		response.Serial, response.Chunks = version.Serial, version.Tree.Refs
	}
	if version.RoutingSerial > request.Routing {
		body, err := rpc.Marshal(version.Routing)
		if err != nil {
			return nil, err
		}
		response.Routing, response.RoutingBody = version.RoutingSerial, body
	}
	if version.RolloutSerial > request.Rollouts {
		response.Rollouts, response.RolloutList = version.RolloutSerial, version.Rollouts
	}
	if request.Table.Less(version.Table.Version) {
		response.Table = version.Table
	}
	return response, nil
}

// onFetchChunks returns the chunks that are in force here.
func (daemon *Daemon) onFetchChunks(_ context.Context, request *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	tree, response := daemon.Version().Tree, &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range request.Digests {
		if text := tree.Text(digest); text != nil {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

// onLeader says who leads and who votes, as far as this daemon knows.
func (daemon *Daemon) onLeader(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
	voters, _ := daemon.LeaderFinder.Voters()
	return &message.LeaderResponse{
		Leader:     daemon.LeaderFinder.Leader(),
		Membership: daemon.LeaderFinder.Membership(),
		Cores:      voters,
		Serial:     daemon.Version().Serial,
	}, nil
}
