package control

import (
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// everything is a serial that is newer than any: a FetchRequest with it asks for nothing
// of that kind.
const maxSerial = ^uint64(0)

// maxWatchDelta is the most entries of the table that the response to a watch brings, about
// 10 kB.
const maxWatchDelta = 64

// tableState is the newest table that a core holds, and the version that the leader
// announced. The core's mutex guards it.
type tableState struct {
	current   *message.Table
	log       *message.TableLog
	announced message.TableVersion
}

func newTableState() tableState {
	return tableState{current: &message.Table{}, log: message.NewTableLog()}
}

// addTo adds the table, or what changed in it, to a response if it is newer than a version.
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

// addDelta adds what changed in the table to a response if that is small: daemons wait for
// the response only a little longer than they let the watch last.
func (state *tableState) addDelta(response *message.WatchResponse, since message.TableVersion) {
	delta, isKnown := state.log.Since(since, state.current)
	if isKnown && delta.Entries() <= maxWatchDelta {
		response.Delta = delta
	}
}

// Table returns the newest table. It must not be changed.
func (core *Core) Table() *message.Table {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.tables.current
}

// setTable takes a table if it is newer than the one held and built under roll-outs that are
// known here: daemons get both from this core.
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

// buildTable is the leader's task to make a table of the daemons that have a session and
// of the backends that the platform lists, if anything changed.
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

// nextTable returns the table that follows a former one.
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

// nextMembers returns the daemons that have a session and those that are not given up
// yet: all until daemons had the time to speak to a new leader, or to the cores that they
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

// sameTable reports whether two tables differ in their versions alone.
func sameTable(former, next *message.Table) bool {
	return former.Complete == next.Complete && slices.Equal(former.Members, next.Members) && sameBackends(former.Backends, next.Backends)
}

// sameBackends compares two lists; it is fast if both are one.
func sameBackends(former, next []message.Backend) bool {
	if len(former) != len(next) {
		return false
	}
	return len(former) == 0 || &former[0] == &next[0] || slices.Equal(former, next)
}

// buildTableBeforeLeader makes the table of a core that has heard of no leader since its
// start, for the daemons that come to it. Every leader's table is newer. It names no cold
// backend: that has no owner yet, and cores differ on when it is warm.
func (core *Core) buildTableBeforeLeader() {
	former := core.Table()
	backends, isComplete := core.backends.Backends()
	if former.Version.Term.Number > 0 || !isComplete {
		return
	}
	serial, rollouts := core.Rollouts()
	next := &message.Table{Version: message.TableVersion{Number: former.Version.Number + 1}, Complete: true, Rollouts: serial}
	now := core.Now()
	for _, backend := range rollouts.Listed(backends) {
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

// recoverTable returns a table as the cores have lost it but some process still holds it:
// the newest that a daemon has, or else, if no backends are known here, one with backends
// that a daemon or another core has. It returns the given table if there is none.
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

// newerTable fetches the newest table that a daemon has, nil if none is newer.
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

// completeTable fetches a table with backends that is older than the given one: from the
// daemon with the newest or, before this leadership's first table, from another core.
// It returns nil if there is none.
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

// heldTable fetches whichever table a process at an address holds, an empty one if it has none.
func (core *Core) fetchAnyTable(address string) (*message.Table, error) {
	table, err := core.fetchTable(address, &message.Table{})
	if err == nil && table == nil {
		table = &message.Table{}
	}
	return table, err
}

// followTable fetches the leader's table at the other cores.
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

// fetchTable returns the newer table that a process at an address holds, nil if it has
// none.
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
