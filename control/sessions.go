package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// trackedSession is a daemon's session and the core to which the daemon sent it.
type trackedSession struct {
	session   message.Session
	core      int
	expiresAt time.Time
	renewedAt time.Time
}

// Sessions holds the sessions of daemons, received from them or shared by other cores. It is safe
// for concurrent use.
type Sessions struct {
	mutex        sync.Mutex
	byName       map[string]trackedSession
	coresSeenAt  map[int]time.Time
	massExpiryAt time.Time
	ttl          time.Duration
}

func newSessions(ttl time.Duration) *Sessions {
	return &Sessions{ttl: ttl, byName: map[string]trackedSession{}, coresSeenAt: map[int]time.Time{}}
}

// add records a session of a daemon with a core, unless a newer one is known.
func (sessions *Sessions) add(session message.Session, core int) {
	renewedAt := time.Now().Add(-time.Duration(session.AgeMs) * time.Millisecond)
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	former, found := sessions.byName[session.Member.Name]
	if found && renewedAt.Before(former.renewedAt) {
		return
	}
	sessions.byName[session.Member.Name] = trackedSession{
		session:   session,
		core:      core,
		renewedAt: renewedAt,
		expiresAt: renewedAt.Add(sessions.ttl),
	}
}

// observeCore records that another core sent a message to this one.
func (sessions *Sessions) observeCore(core int) {
	sessions.mutex.Lock()
	sessions.coresSeenAt[core] = time.Now()
	sessions.mutex.Unlock()
}

// recentCores returns the number of other cores that sent a message to this one within a
// duration.
func (sessions *Sessions) recentCores(within time.Duration) int {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	count := 0
	for _, seenAt := range sessions.coresSeenAt {
		if time.Since(seenAt) < within {
			count++
		}
	}
	return count
}

// ownedBy returns the unexpired sessions of daemons with a core, including ended ones.
func (sessions *Sessions) ownedBy(core int) []trackedSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	owned := []trackedSession{}
	for _, tracked := range sessions.byName {
		if tracked.core == core && time.Now().Before(tracked.expiresAt) {
			owned = append(owned, tracked)
		}
	}
	return owned
}

// active returns the active sessions with a core, or with any core if that is 0, sorted by name.
// It drops expired sessions.
func (sessions *Sessions) active(core int) []trackedSession {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	now := time.Now()
	active := []trackedSession{}
	for name, tracked := range sessions.byName {
		if now.After(tracked.expiresAt) {
			delete(sessions.byName, name)
			continue
		}
		if !tracked.session.Ended && (core == 0 || tracked.core == core) {
			active = append(active, tracked)
		}
	}
	slices.SortFunc(active, func(left, right trackedSession) int {
		return strings.Compare(left.session.Member.Name, right.session.Member.Name)
	})
	return active
}

// hasEnded reports whether a daemon announced that it is shutting down.
func (sessions *Sessions) hasEnded(name string) bool {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	return sessions.byName[name].session.Ended
}

// massExpiry reports whether more than half of the members have recently become silent. This
// core's side of the network may then be the one that is cut off, so no member is dropped until
// all have had one TTL to report again. That time restarts while all are silent.
func (sessions *Sessions) massExpiry(members []message.Member, isActive map[string]bool) bool {
	silent := 0
	for _, member := range members {
		if !isActive[member.Name] && !sessions.hasEnded(member.Name) {
			silent++
		}
	}
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	if silent*2 <= len(members) {
		sessions.massExpiryAt = time.Time{}
		return false
	}
	if sessions.massExpiryAt.IsZero() || silent == len(members) {
		sessions.massExpiryAt = time.Now()
	}
	return time.Since(sessions.massExpiryAt) < sessions.ttl
}

// onSession records a daemon's heartbeat and returns the leader and the newest versions.
func (core *Core) onSession(session *message.Session) (*message.SessionResponse, error) {
	session.AgeMs = 0
	core.observeDaemonClock(session)
	core.recordSession(session, core.membership().ID)
	_, now := core.clockTimes()
	isLeader := core.advertisesLeadership()
	view := core.membership()
	core.mutex.Lock()
	defer core.mutex.Unlock()
	response := &message.SessionResponse{
		Serial:     core.committedSerial(message.SettingsRegister),
		Table:      core.tables.current.Version,
		Cores:      view.Addresses(),
		Routing:    core.committedSerial(message.RoutingRegister),
		Rollouts:   core.committedSerial(message.RolloutsRegister),
		Process:    core.windows.Process(),
		Membership: view.Version,
	}
	election := &core.election
	if !election.lameduck && (isLeader || election.leaderAlive(core.config.SuspicionTimeout)) {
		response.Leader, response.NowMs = election.leader, now
	}
	return response, nil
}

// recordSession records a daemon's session with a core, and the reports in it.
func (core *Core) recordSession(session *message.Session, owner int) {
	core.sessions.add(*session, owner)
	core.usage.Add(session.Member.Incarnation, session.Usage)
	core.probeHints.observe(session)
	core.windows.Add(session)
	age := time.Duration(session.AgeMs) * time.Millisecond
	core.rolloutReports.add(session.Member.Incarnation, session.NowMs, age, session.RolloutCounts)
}

// onShareSessions records the sessions that daemons have with another core.
func (core *Core) onShareSessions(request *message.ShareSessionsRequest) (*message.ShareSessionsResponse, error) {
	core.sessions.observeCore(request.Core)
	for index := range request.Sessions {
		core.recordSession(&request.Sessions[index], request.Core)
	}
	return &message.ShareSessionsResponse{}, nil
}

// shareSessions sends the sessions that daemons have with this core to the other cores. With
// direct sessions, it sends them only to the leader.
func (core *Core) shareSessions() {
	if core.config.DirectSessions {
		core.forwardSessions()
		return
	}
	view := core.membership()
	if !view.IsVoter() {
		return
	}
	request := &message.ShareSessionsRequest{Core: view.ID}
	for _, tracked := range core.sessions.active(view.ID) {
		tracked.session.AgeMs = time.Since(tracked.renewedAt).Milliseconds()
		request.Sessions = append(request.Sessions, tracked.session)
	}
	callPeers(core, view, func(peer message.Peer) (*message.ShareSessionsResponse, error) {
		return core.sendSessions(peer.Address, request)
	}, func(*message.ShareSessionsResponse) bool { return true }, waitForAll)
}

// forwardSessions sends the leader the sessions renewed since the last time.
func (core *Core) forwardSessions() {
	core.mutex.Lock()
	leader, isLeader, since := core.election.leader, core.leadership != nil, core.sessionsSharedAt
	core.mutex.Unlock()
	id := core.membership().ID
	if isLeader || !leader.Known() || id == 0 || leader.Core == id {
		return
	}
	begin := time.Now()
	request := &message.ShareSessionsRequest{Core: id}
	for _, tracked := range core.sessions.ownedBy(id) {
		if tracked.renewedAt.After(since) {
			request.Sessions = append(request.Sessions, core.forwardedSession(tracked))
		}
	}
	if len(request.Sessions) == 0 {
		return
	}
	if _, err := core.sendSessions(leader.Address, request); err == nil {
		core.mutex.Lock()
		core.sessionsSharedAt = begin
		core.mutex.Unlock()
	}
}

func (core *Core) sendSessions(address string, request *message.ShareSessionsRequest) (*message.ShareSessionsResponse, error) {
	return rpc.Call(core.client, address, message.MethodShareSessions, core.callTimeout(), request)
}

// forwardedSession returns a session as it is forwarded to the leader: with all counts that were
// reported to this core, since the session itself may contain only the latest changes.
func (core *Core) forwardedSession(tracked trackedSession) message.Session {
	session := tracked.session
	session.AgeMs = time.Since(tracked.renewedAt).Milliseconds()
	if all, isComplete := core.windows.CountsOf(&session); isComplete {
		session.Windows, session.BaseProcess = all, 0
	}
	return session
}
