package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxFetchAttempts limits the attempts of a fetch whose chunks are replaced in the meantime.
const maxFetchAttempts = 3

// watch long-polls a process until it has something newer than version or the watch interval
// has passed.
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

// fetch downloads and applies newer versions from a process: first the chunk references, then
// the missing chunks. It retries if the process has replaced the chunks in the meantime.
func (daemon *Daemon) fetch(ctx context.Context, address string) bool {
	start := time.Now()
	for range maxFetchAttempts {
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
			daemon.counters.Histogram("update_fetch_seconds").Observe(time.Since(start))
			return applied
		}
		daemon.counters.Add("branches_"+string(rpc.CodeOf(err)), 1)
		if rpc.CodeOf(err) != rpc.CorruptChunk {
			return false
		}
	}
	return false
}

// applyUpdate applies the parts of a response that are newer than those in force. It uses a
// separate mutex so that the session continues while a large version is applied.
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
		klog.Infof("%s: applied settings serial %d", daemon.config.Name, next.Serial)
		daemon.counters.Add("serials_in_force", 1)
	}
	if next.RoutingSerial != before.RoutingSerial {
		klog.Infof("%s: applied routing serial %d, version %d", daemon.config.Name, next.RoutingSerial, next.Routing.Config.Version)
		daemon.counters.Add("routings_in_force", 1)
	}
	if leaving := message.NewlyLeaving(before.Table.Backends, next.Table.Backends); leaving > 0 {
		version := next.Table.Version
		klog.Infof("%s: applied table %d of term %s: %d backends newly leaving", daemon.config.Name, version.Number, version.Term, leaving)
		daemon.counters.Add("backends_newly_leaving", uint64(leaving))
	}
}

// onWatch responds once this daemon has something newer than the requesting daemon, or after
// the request's time-out.
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

// onFetch returns the parts of the version that are newer than the requesting daemon's.
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

// onFetchChunks returns the requested chunks that are part of the settings in force.
func (daemon *Daemon) onFetchChunks(_ context.Context, request *message.FetchChunksRequest) (*message.FetchChunksResponse, error) {
	tree, response := daemon.Version().Tree, &message.FetchChunksResponse{Chunks: message.Chunks{}}
	for _, digest := range request.Digests {
		if text := tree.Text(digest); text != nil {
			response.Chunks[digest] = text
		}
	}
	return response, nil
}

// onLeader returns the leader and the voters known to this daemon.
func (daemon *Daemon) onLeader(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
	voters, _ := daemon.LeaderFinder.Voters()
	return &message.LeaderResponse{
		Leader:     daemon.LeaderFinder.Leader(),
		Membership: daemon.LeaderFinder.Membership(),
		Cores:      voters,
		Serial:     daemon.Version().Serial,
	}, nil
}
