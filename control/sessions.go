package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"sort"
	"sync"
	"time"
)

const (
	watchSpan = 10 * time.Second
)

type heldSession struct {
	session message.Session
	core    int
	until   time.Time
	told    time.Time
}

// Sessions are the daemons this core knows, by its own word or another core's.
type Sessions struct {
	mutex sync.Mutex
	held  map[string]heldSession
	cores map[int]time.Time
	lapse time.Time
	span  time.Duration
}

func newSessions(span time.Duration) *Sessions {
	return &Sessions{span: span, held: map[string]heldSession{}, cores: map[int]time.Time{}}
}

// take keeps the newer word on a daemon.
func (sessions *Sessions) take(session message.Session, core int) {
	told := time.Now().Add(-time.Duration(session.AgeMs) * time.Millisecond)
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	before, found := sessions.held[session.Member.Name]
	if found && told.Before(before.told) {
		return
	}
	sessions.held[session.Member.Name] = heldSession{session: session, core: core, told: told, until: told.Add(sessions.span)}
}

func (sessions *Sessions) heardCore(core int) {
	sessions.mutex.Lock()
	sessions.cores[core] = time.Now()
	sessions.mutex.Unlock()
}

func (sessions *Sessions) coresHeard(span time.Duration) int {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	count := 0
	for _, heard := range sessions.cores {
		if time.Since(heard) < span {
			count++
		}
	}
	return count
}

// own lists what daemons told this core itself, also that they end.
func (sessions *Sessions) own(core int) []heldSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	all := []heldSession{}
	for _, held := range sessions.held {
		if held.core == core && time.Now().Before(held.until) {
			all = append(all, held)
		}
	}
	return all
}

// standing lists the sessions that stand, by name; a core of 0 means from any.
func (sessions *Sessions) standing(core int) []heldSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	now := time.Now()
	all := []heldSession{}
	for name, held := range sessions.held {
		if now.After(held.until) {
			delete(sessions.held, name)
			continue
		}
		if !held.session.Ended && (core == 0 || held.core == core) {
			all = append(all, held)
		}
	}
	sort.Slice(all, func(left, right int) bool { return all[left].session.Member.Name < all[right].session.Member.Name })
	return all
}

// gone is whether a daemon said that it ends.
func (sessions *Sessions) gone(name string) bool {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	return sessions.held[name].session.Ended
}

// lapsed is whether more than half of the members fell silent just now. Then it
// may be this side that was cut off: nobody is dropped until all had the time
// to speak again, which begins anew while nobody speaks at all.
func (sessions *Sessions) lapsed(members []message.Member, known map[string]bool) bool {
	silent := 0
	for _, member := range members {
		if !known[member.Name] && !sessions.gone(member.Name) {
			silent++
		}
	}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	if silent*2 <= len(members) {
		sessions.lapse = time.Time{}
		return false
	}
	if sessions.lapse.IsZero() || silent == len(members) {
		sessions.lapse = time.Now()
	}
	return time.Since(sessions.lapse) < sessions.span
}

func (core *Core) onSession(session *message.Session) (*message.SessionResponse, error) {
	session.AgeMs = 0
	core.sessions.take(*session, core.members().ID)
	core.usage.take(session.Member.Incarnation, session.Usage)
	core.stirs.take(session)
	core.meter.take(session)
	_, now := core.toldClock()
	leads := core.leads()
	core.mutex.Lock()
	defer core.mutex.Unlock()
	view := core.members()
	response := &message.SessionResponse{Membership: view.Mark, Process: core.meter.process, Serial: core.committed[message.SettingsRegister].Value.Serial, Table: core.table.Version, Cores: view.addresses(), Routing: core.committed[message.RoutingRegister].Value.Serial}
	if !core.duck && (leads || time.Since(core.heard) < core.place.Suspect) {
		response.Leader, response.NowMs = core.leader, now
	}
	return response, nil
}

func (core *Core) onTell(tell *message.ShareSessionsRequest) (*message.ShareSessionsResponse, error) {
	core.sessions.heardCore(tell.Core)
	for _, session := range tell.Sessions {
		core.sessions.take(session, tell.Core)
		core.usage.take(session.Member.Incarnation, session.Usage)
		core.stirs.take(&session)
		core.meter.take(&session)
	}
	return &message.ShareSessionsResponse{}, nil
}

// tellSessions sends what daemons told this core to the other cores or, where
// daemons speak to the leader itself, to the leader what came here instead.
func (core *Core) tellSessions() {
	if core.place.Direct {
		core.tellLeader()
		return
	}
	view := core.members()
	if !view.votes() {
		return
	}
	tell := &message.ShareSessionsRequest{Core: view.ID}
	for _, held := range core.sessions.standing(view.ID) {
		held.session.AgeMs = time.Since(held.told).Milliseconds()
		tell.Sessions = append(tell.Sessions, held.session)
	}
	askPeers(core, view, func(peer Peer) (*message.ShareSessionsResponse, error) {
		return rpc.Call[message.ShareSessionsRequest, message.ShareSessionsResponse](core.line, peer.Address, "tell", core.roundLimit(), tell)
	}, func(*message.ShareSessionsResponse) bool { return true }, never)
}

// relayed is a session as the leader gets it from this core: with all counts that
// this core was told, since what the session itself brought may only add to them.
func (core *Core) relayed(held heldSession) message.Session {
	session := held.session
	session.AgeMs = time.Since(held.told).Milliseconds()
	if all, whole := core.meter.of(&session); whole {
		session.Windows, session.BaseProcess = all, 0
	}
	return session
}

// tellLeader brings the leader what is new since the last time.
func (core *Core) tellLeader() {
	core.mutex.Lock()
	leader, leads, since := core.leader, core.leadership != nil, core.toldLeader
	core.mutex.Unlock()
	if leads || !leader.Known() || core.members().ID == 0 || leader.Core == core.members().ID {
		return
	}
	begin := time.Now()
	tell := &message.ShareSessionsRequest{Core: core.members().ID}
	for _, held := range core.sessions.own(core.members().ID) {
		if held.told.After(since) {
			tell.Sessions = append(tell.Sessions, core.relayed(held))
		}
	}
	if len(tell.Sessions) == 0 {
		return
	}
	if _, err := rpc.Call[message.ShareSessionsRequest, message.ShareSessionsResponse](core.line, leader.Address, "tell", core.roundLimit(), tell); err == nil {
		core.mutex.Lock()
		core.toldLeader = begin
		core.mutex.Unlock()
	}
}

func (core *Core) onWatch(watch *message.WatchRequest) (*message.WatchResponse, error) {
	span := min(time.Duration(watch.SpanMs)*time.Millisecond, watchSpan)
	until := time.Now().Add(span)
	for {
		seen := core.news.Count()
		core.mutex.Lock()
		response := &message.WatchResponse{Serial: core.committed[message.SettingsRegister].Value.Serial, Table: core.table.Version, Routing: core.committed[message.RoutingRegister].Value.Serial}
		core.mutex.Unlock()
		if response.Serial > watch.Serial || response.Routing > watch.Routing || watch.Table.Less(response.Table) || core.goroutines.Stopping() {
			return response, nil
		}
		if !core.news.Wait(seen, time.Until(until)) {
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
		body, err := core.routed.of(routing)
		if err != nil {
			return nil, err
		}
		response.Routing, response.RoutingBody, response.RoutingCompressed = routing.Serial, body, true
	}
	core.mutex.Lock()
	if value := core.committed[message.SettingsRegister].Value; value.Serial > fetch.Serial {
		response.Serial, response.Chunks = value.Serial, treeParts(value.Chunks)
	}
	if fetch.Table.Less(core.table.Version) {
		delta, known := core.tableLog.Since(fetch.Table, core.table)
		if response.Delta = delta; !known {
			response.Table = core.table
		}
	}
	core.mutex.Unlock()
	return core.fetched.of(response)
}

const fetchedMost = 4

// fetchedAnswers are answers with the newest table, packed once for all daemons.
type fetchedAnswers struct {
	mutex sync.Mutex
	table *message.Table
	held  map[fetchedKey]*message.FetchResponse
}

type fetchedKey struct{ serial, routing uint64 }

// of gives the packed answer that says the same; one without a table is small.
func (answers *fetchedAnswers) of(response *message.FetchResponse) (*message.FetchResponse, error) {
	if response.Table == nil {
		return response, nil
	}
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	key := fetchedKey{response.Serial, response.Routing}
	if held := answers.held[key]; held != nil && answers.table == response.Table {
		return held, nil
	}
	if err := response.Encode(); err != nil {
		return nil, err
	}
	if answers.table != response.Table || len(answers.held) >= fetchedMost {
		answers.table, answers.held = response.Table, map[fetchedKey]*message.FetchResponse{}
	}
	answers.held[key] = response
	return response, nil
}
