package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"sort"
	"sync"
	"time"
)

const (
	maxWatch = 10 * time.Second
)

type trackedSession struct {
	session   message.Session
	core      int
	expiresAt time.Time
	renewedAt time.Time
}

// Sessions are the daemons this core knows, by its own word or another core's.
type Sessions struct {
	mutex       sync.Mutex
	byName      map[string]trackedSession
	coresSeenAt map[int]time.Time
	massLapseAt time.Time
	ttl         time.Duration
}

func newSessions(span time.Duration) *Sessions {
	return &Sessions{ttl: span, byName: map[string]trackedSession{}, coresSeenAt: map[int]time.Time{}}
}

// add keeps the newer word on a daemon.
func (sessions *Sessions) add(session message.Session, core int) {
	told := time.Now().Add(-time.Duration(session.AgeMs) * time.Millisecond)
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	before, found := sessions.byName[session.Member.Name]
	if found && told.Before(before.renewedAt) {
		return
	}
	sessions.byName[session.Member.Name] = trackedSession{session: session, core: core, renewedAt: told, expiresAt: told.Add(sessions.ttl)}
}

func (sessions *Sessions) observeCore(core int) {
	sessions.mutex.Lock()
	sessions.coresSeenAt[core] = time.Now()
	sessions.mutex.Unlock()
}

func (sessions *Sessions) recentCores(span time.Duration) int {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	count := 0
	for _, heard := range sessions.coresSeenAt {
		if time.Since(heard) < span {
			count++
		}
	}
	return count
}

// ownedBy lists what daemons told this core itself, also that they end.
func (sessions *Sessions) ownedBy(core int) []trackedSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	all := []trackedSession{}
	for _, held := range sessions.byName {
		if held.core == core && time.Now().Before(held.expiresAt) {
			all = append(all, held)
		}
	}
	return all
}

// active lists the sessions that stand, by name; a core of 0 means from any.
func (sessions *Sessions) active(core int) []trackedSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	now := time.Now()
	all := []trackedSession{}
	for name, held := range sessions.byName {
		if now.After(held.expiresAt) {
			delete(sessions.byName, name)
			continue
		}
		if !held.session.Ended && (core == 0 || held.core == core) {
			all = append(all, held)
		}
	}
	sort.Slice(all, func(left, right int) bool { return all[left].session.Member.Name < all[right].session.Member.Name })
	return all
}

// ended is whether a daemon said that it ends.
func (sessions *Sessions) ended(name string) bool {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	return sessions.byName[name].session.Ended
}

// massLapse is whether more than half of the members fell silent just now. Then it
// may be this side that was cut off: nobody is dropped until all had the time
// to speak again, which begins anew while nobody speaks at all.
func (sessions *Sessions) massLapse(members []message.Member, known map[string]bool) bool {
	silent := 0
	for _, member := range members {
		if !known[member.Name] && !sessions.ended(member.Name) {
			silent++
		}
	}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	if silent*2 <= len(members) {
		sessions.massLapseAt = time.Time{}
		return false
	}
	if sessions.massLapseAt.IsZero() || silent == len(members) {
		sessions.massLapseAt = time.Now()
	}
	return time.Since(sessions.massLapseAt) < sessions.ttl
}

func (core *Core) onSession(session *message.Session) (*message.SessionResponse, error) {
	session.AgeMs = 0
	core.sessions.add(*session, core.membership().ID)
	core.usage.add(session.Member.Incarnation, session.Usage)
	core.probeHints.observe(session)
	core.windows.add(session)
	_, now := core.clockTimes()
	isLeader := core.servesAsLeader()
	core.mutex.Lock()
	defer core.mutex.Unlock()
	view := core.membership()
	response := &message.SessionResponse{Membership: view.Version, Process: core.windows.process, Serial: core.committed[message.SettingsRegister].Value.Serial, Table: core.table.Version, Cores: view.addresses(), Routing: core.committed[message.RoutingRegister].Value.Serial}
	if !core.lameduck && (isLeader || time.Since(core.leaderSeenAt) < core.config.SuspicionTimeout) {
		response.Leader, response.NowMs = core.leader, now
	}
	return response, nil
}

func (core *Core) onShareSessions(tell *message.ShareSessionsRequest) (*message.ShareSessionsResponse, error) {
	core.sessions.observeCore(tell.Core)
	for _, session := range tell.Sessions {
		core.sessions.add(session, tell.Core)
		core.usage.add(session.Member.Incarnation, session.Usage)
		core.probeHints.observe(&session)
		core.windows.add(&session)
	}
	return &message.ShareSessionsResponse{}, nil
}

// shareSessions sends what daemons told this core to the other cores or, where
// daemons speak to the leader itself, to the leader what came here instead.
func (core *Core) shareSessions() {
	if core.config.DirectSessions {
		core.forwardSessions()
		return
	}
	view := core.membership()
	if !view.votes() {
		return
	}
	tell := &message.ShareSessionsRequest{Core: view.ID}
	for _, held := range core.sessions.active(view.ID) {
		held.session.AgeMs = time.Since(held.renewedAt).Milliseconds()
		tell.Sessions = append(tell.Sessions, held.session)
	}
	callPeers(core, view, func(peer Peer) (*message.ShareSessionsResponse, error) {
		return rpc.Call[message.ShareSessionsRequest, message.ShareSessionsResponse](core.client, peer.Address, "tell", core.callTimeout(), tell)
	}, func(*message.ShareSessionsResponse) bool { return true }, waitForAll)
}

// forForwarding is a session as the leader gets it from this core: with all counts that
// this core was told, since what the session itself brought may only add to them.
func (core *Core) forForwarding(held trackedSession) message.Session {
	session := held.session
	session.AgeMs = time.Since(held.renewedAt).Milliseconds()
	if all, whole := core.windows.countsOf(&session); whole {
		session.Windows, session.BaseProcess = all, 0
	}
	return session
}

// forwardSessions brings the leader what is new since the last time.
func (core *Core) forwardSessions() {
	core.mutex.Lock()
	leader, isLeader, since := core.leader, core.leadership != nil, core.sharedAt
	core.mutex.Unlock()
	if isLeader || !leader.Known() || core.membership().ID == 0 || leader.Core == core.membership().ID {
		return
	}
	begin := time.Now()
	tell := &message.ShareSessionsRequest{Core: core.membership().ID}
	for _, held := range core.sessions.ownedBy(core.membership().ID) {
		if held.renewedAt.After(since) {
			tell.Sessions = append(tell.Sessions, core.forForwarding(held))
		}
	}
	if len(tell.Sessions) == 0 {
		return
	}
	if _, err := rpc.Call[message.ShareSessionsRequest, message.ShareSessionsResponse](core.client, leader.Address, "tell", core.callTimeout(), tell); err == nil {
		core.mutex.Lock()
		core.sharedAt = begin
		core.mutex.Unlock()
	}
}

func (core *Core) onWatch(watch *message.WatchRequest) (*message.WatchResponse, error) {
	span := min(time.Duration(watch.SpanMs)*time.Millisecond, maxWatch)
	until := time.Now().Add(span)
	for {
		seen := core.updates.Count()
		core.mutex.Lock()
		response := &message.WatchResponse{Serial: core.committed[message.SettingsRegister].Value.Serial, Table: core.table.Version, Routing: core.committed[message.RoutingRegister].Value.Serial}
		core.mutex.Unlock()
		if response.Serial > watch.Serial || response.Routing > watch.Routing || watch.Table.Less(response.Table) || core.goroutines.Stopping() {
			return response, nil
		}
		if !core.updates.Wait(seen, time.Until(until)) {
			return response, nil
		}
	}
}

func (core *Core) onFetch(fetch *message.FetchRequest) (*message.FetchResponse, error) {
	response := &message.FetchResponse{}
	core.mutex.Lock()
	routing := core.committed[message.RoutingRegister].Value
	core.mutex.Unlock()
	if routing.Serial > fetch.Routing {
		body, err := core.routingCache.get(routing)
		if err != nil {
			return nil, err
		}
		response.Routing, response.RoutingBody, response.RoutingCompressed = routing.Serial, body, true
	}
	core.mutex.Lock()
	if value := core.committed[message.SettingsRegister].Value; value.Serial > fetch.Serial {
		response.Serial, response.Chunks = value.Serial, treeChunks(value.Chunks)
	}
	if fetch.Table.Less(core.table.Version) {
		delta, known := core.tableLog.Since(fetch.Table, core.table)
		if response.Delta = delta; !known {
			response.Table = core.table
		}
	}
	core.mutex.Unlock()
	return core.fetchCache.get(response)
}

const fetchCacheSize = 4

// fetchCache are answers with the newest table, packed once for all daemons.
type fetchCache struct {
	mutex     sync.Mutex
	table     *message.Table
	responses map[fetchKey]*message.FetchResponse
}

type fetchKey struct{ serial, routing uint64 }

// get gives the packed answer that says the same; one without a table is small.
func (answers *fetchCache) get(response *message.FetchResponse) (*message.FetchResponse, error) {
	if response.Table == nil {
		return response, nil
	}
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	key := fetchKey{response.Serial, response.Routing}
	if held := answers.responses[key]; held != nil && answers.table == response.Table {
		return held, nil
	}
	if err := response.Encode(); err != nil {
		return nil, err
	}
	if answers.table != response.Table || len(answers.responses) >= fetchCacheSize {
		answers.table, answers.responses = response.Table, map[fetchKey]*message.FetchResponse{}
	}
	answers.responses[key] = response
	return response, nil
}
