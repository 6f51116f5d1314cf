package control

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxSerial is at least as new as any serial. In a FetchRequest it excludes a register from the
// response.
const maxSerial = ^uint64(0)

// maxWatchDelta is the maximum number of table entries in the response to a watch, about 10 kB.
const maxWatchDelta = 64

// tableState is the newest table that a core has, and the version announced by the leader. The
// core's mutex guards it.
type tableState struct {
	current   *message.Table
	log       *message.TableLog
	announced message.TableVersion
}

func newTableState() tableState {
	return tableState{current: &message.Table{}, log: message.NewTableLog()}
}

// addTo adds the table or a delta to a response if the table is newer than a version.
func (state *tableState) addTo(response *message.FetchResponse, since message.TableVersion) {
	if !since.Less(state.current.Version) {
		return
	}
	delta, isKnown := state.log.Since(since, state.current)
	response.Delta = delta
	if !isKnown {
		response.Table = state.current
	}
}

// addDelta adds a delta to a response if it is small: daemons wait for the response only slightly
// longer than the duration of the watch.
func (state *tableState) addDelta(response *message.WatchResponse, since message.TableVersion) {
	delta, isKnown := state.log.Since(since, state.current)
	if isKnown && delta.Entries() <= maxWatchDelta {
		response.Delta = delta
	}
}

// Table returns the newest table. It must not be modified.
func (core *Core) Table() *message.Table {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.tables.current
}

// setTable sets the table if it is newer than the current one and its rollouts are known to this
// core, since daemons get both from here.
func (core *Core) setTable(table *message.Table) {
	core.mutex.Lock()
	isNewer := core.tables.current.Version.Less(table.Version) && table.Rollouts <= core.committedSerial(message.RolloutsRegister)
	if isNewer {
		core.tables.log.Record(core.tables.current, table)
		core.tables.current = table
	}
	core.mutex.Unlock()
	if isNewer {
		core.updates.Notify()
	}
}

// buildTable builds the leader's table of the daemons that have a session and of the backends
// that the platform lists, if anything changed.
func (core *Core) buildTable() {
	leadership, err := core.currentLeadership()
	if err != nil && core.config.DirectSessions && core.neverHeardLeader() {
		core.buildTableBeforeLeader()
	}
	if err != nil || leadership.check() != nil {
		return
	}
	former := core.Table()
	sessions := core.sessions.active(0)
	if former.Version.Term.Number == 0 || !former.Complete {
		former = core.recoverTable(former, sessions)
	}
	if former.Version.Term.Number == 0 && time.Since(leadership.startedAt) < core.config.firstTableDelay() {
		return
	}
	next := core.nextTable(leadership, former, sessions)
	if former.Version.Term == leadership.term && sameTable(former, next) {
		return
	}
	core.counters.Add("tables", 1)
	core.setTable(next)
	if leaving := message.NewlyLeaving(former.Backends, next.Backends); leaving > 0 {
		version := next.Version
		klog.Infof("core %d: table %d of term %s: %d backends newly leaving", core.membership().ID, version.Number, version.Term, leaving)
	}
}

func (core *Core) nextTable(leadership *Leadership, former *message.Table, sessions []trackedSession) *message.Table {
	next := &message.Table{
		Version:  message.TableVersion{Term: leadership.term, Number: 1},
		Members:  core.nextMembers(leadership, former.Members, sessions),
		Backends: former.Backends,
		Complete: former.Complete,
	}
	if former.Version.Term == leadership.term {
		next.Version.Number = former.Version.Number + 1
	}
	serial, rollouts := core.Rollouts()
	next.Rollouts = serial
	if backends, isComplete := core.backends.Backends(); isComplete {
		next.Backends, next.Complete = core.listed.get(backends, serial, rollouts), true
	}
	next.Backends = core.probeHints.apply(next.Backends, former.Backends)
	return next
}

// nextMembers returns the daemons that have a session, and those of the former table that are not
// dropped yet: all of them until they had time to report to a new leader, or to cores that they
// were cut off from.
func (core *Core) nextMembers(leadership *Leadership, former []message.Member, sessions []trackedSession) []message.Member {
	members := []message.Member{}
	isActive := map[string]bool{}
	for _, tracked := range sessions {
		members = append(members, tracked.session.Member)
		isActive[tracked.session.Member.Name] = true
	}
	isNewLeader := time.Since(leadership.startedAt) < core.config.SessionTTL
	if isNewLeader || core.sessions.massExpiry(former, isActive) {
		for _, member := range former {
			if !isActive[member.Name] && !core.sessions.hasEnded(member.Name) {
				members = append(members, member)
			}
		}
	}
	slices.SortFunc(members, func(left, right message.Member) int { return strings.Compare(left.Name, right.Name) })
	return members
}

// sameTable reports whether two tables have the same entries, whatever their versions.
func sameTable(former, next *message.Table) bool {
	return former.Complete == next.Complete && slices.Equal(former.Members, next.Members) && sameBackends(former.Backends, next.Backends)
}

// sameBackends compares two lists. It is fast if they are the same slice.
func sameBackends(former, next []message.Backend) bool {
	if len(former) != len(next) {
		return false
	}
	return len(former) == 0 || &former[0] == &next[0] || slices.Equal(former, next)
}

// buildTableBeforeLeader builds a table for daemons that connect to a core which has heard of no
// leader since it started. Any leader's table is newer. It contains no cold backends: no proxy is
// assigned to warm them up yet, and cores disagree on when they are warm.
func (core *Core) buildTableBeforeLeader() {
	former := core.Table()
	backends, isComplete := core.backends.Backends()
	if former.Version.Term.Number > 0 || !isComplete {
		return
	}
	serial, rollouts := core.Rollouts()
	next := &message.Table{Version: message.TableVersion{Number: former.Version.Number + 1}, Complete: true, Rollouts: serial}
	now := core.Now()
	for _, backend := range rollouts.FilterBackends(backends) {
		if backend.WarmAtMs <= now {
			next.Backends = append(next.Backends, backend)
		}
	}
	for _, tracked := range core.sessions.active(0) {
		next.Members = append(next.Members, tracked.session.Member)
	}
	if sameTable(former, next) {
		return
	}
	core.counters.Add("tables_before_a_leader", 1)
	core.setTable(next)
}

// recoverTable returns a table that the cores lost but some process still has: the newest table
// of a daemon or, if this core knows no backends, one with the backends of a daemon's or another
// core's table. If there is none, it returns the given table.
func (core *Core) recoverTable(table *message.Table, sessions []trackedSession) *message.Table {
	if recovered := core.fetchNewerTable(table, sessions); recovered != nil {
		core.counters.Add("tables_rebuilt", 1)
		return recovered
	}
	if _, isComplete := core.backends.Backends(); isComplete || table.Complete {
		return table
	}
	source := core.fetchCompleteTable(table, sessions)
	if source == nil {
		return table
	}
	core.counters.Add("tables_completed", 1)
	return &message.Table{
		Version: table.Version, Members: table.Members, Backends: source.Backends, Complete: true, Rollouts: source.Rollouts,
	}
}

// fetchNewerTable fetches the newest table of a daemon, or nil if none is newer.
func (core *Core) fetchNewerTable(table *message.Table, sessions []trackedSession) *message.Table {
	newest, source := table.Version, ""
	for _, tracked := range sessions {
		if newest.Less(tracked.session.Table) {
			newest, source = tracked.session.Table, tracked.session.Member.InternalAddress
		}
	}
	if source == "" {
		return nil
	}
	recovered, err := core.fetchTable(source, table)
	if err != nil || recovered == nil {
		core.counters.Add("tables_not_rebuilt", 1)
		return nil
	}
	return recovered
}

// fetchCompleteTable fetches a complete table that is older than the given one: from the daemon
// with the newest one or, if there has been no leader's table yet, from another core. It returns
// nil if there is none.
func (core *Core) fetchCompleteTable(table *message.Table, sessions []trackedSession) *message.Table {
	newest, source := message.TableVersion{}, ""
	for _, tracked := range sessions {
		if newest.Less(tracked.session.Table) && tracked.session.Table.Less(table.Version) {
			newest, source = tracked.session.Table, tracked.session.Member.InternalAddress
		}
	}
	if source != "" {
		recovered, err := core.fetchTable(source, &message.Table{})
		if err == nil && recovered != nil && recovered.Complete {
			return recovered
		}
	}
	if table.Version.Term.Number > 0 {
		return nil
	}
	isComplete := func(recovered *message.Table) bool { return recovered.Complete }
	responses := callPeers(core, core.membership(), func(peer message.Peer) (*message.Table, error) {
		return core.fetchAnyTable(peer.Address)
	}, isComplete, func(has func(id int) bool) bool {
		return slices.ContainsFunc(core.membership().Peers, func(peer message.Peer) bool { return has(peer.ID) })
	})
	for _, recovered := range responses {
		if recovered.Complete {
			return recovered
		}
	}
	return nil
}

// fetchAnyTable fetches the table of the process at an address, or an empty one if it has none.
func (core *Core) fetchAnyTable(address string) (*message.Table, error) {
	table, err := core.fetchTable(address, &message.Table{})
	if err == nil && table == nil {
		table = &message.Table{}
	}
	return table, err
}

// fetchLeaderTable fetches the leader's table on the other cores.
func (core *Core) fetchLeaderTable() {
	core.mutex.Lock()
	leader, isLeader := core.election.leader, core.leadership != nil
	held, announced := core.tables.current, core.tables.announced
	core.mutex.Unlock()
	if isLeader || !leader.Known() || !held.Version.Less(announced) {
		return
	}
	if table, err := core.fetchTable(leader.Address, held); err == nil && table != nil {
		core.setTable(table)
	}
}

// fetchTable fetches the table of the process at an address, or nil if it has none newer than
// held.
func (core *Core) fetchTable(address string, held *message.Table) (*message.Table, error) {
	request := &message.FetchRequest{Serial: maxSerial, Routing: maxSerial, Rollouts: maxSerial, Table: held.Version}
	response, err := rpc.Call(core.client, address, message.MethodFetch, core.callTimeout(), request)
	if err != nil {
		return nil, err
	}
	if response.Table != nil || response.Delta == nil {
		return response.Table, nil
	}
	table, _ := held.Apply(response.Delta)
	return table, nil
}
