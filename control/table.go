package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"slices"
	"sort"
	"time"
)

// buildTable is the leader's duty: members by their sessions, backends by the platform.
func (core *Core) buildTable() {
	leadership, err := core.currentLeadership()
	if err != nil && core.config.DirectSessions && core.neverHeardLeader() {
		core.buildTableBeforeLeader()
	}
	if err != nil || leadership.check() != nil {
		return
	}
	before := core.Table()
	sessions := core.sessions.active(0)
	if before.Version.Term.Number == 0 || !before.Complete {
		before = core.recoverTable(before, sessions)
	}
	if before.Version.Term.Number == 0 && time.Since(leadership.since) < core.config.firstTableDelay() {
		return
	}
	next := &message.Table{Version: message.TableVersion{Term: leadership.term, Number: 1}, Members: []message.Member{}, Backends: before.Backends, Complete: before.Complete}
	if before.Version.Term == leadership.term {
		next.Version.Number = before.Version.Number + 1
	}
	known := map[string]bool{}
	for _, held := range sessions {
		next.Members = append(next.Members, held.session.Member)
		known[held.session.Member.Name] = true
	}
	if time.Since(leadership.since) < core.config.SessionTTL || core.sessions.massLapse(before.Members, known) {
		for _, member := range before.Members {
			if !known[member.Name] && !core.sessions.ended(member.Name) {
				next.Members = append(next.Members, member)
			}
		}
	}
	sort.Slice(next.Members, func(left, right int) bool { return next.Members[left].Name < next.Members[right].Name })
	if backends, whole := core.backends.sortedBackends(); whole {
		next.Backends, next.Complete = backends, true
	}
	next.Backends = core.probeHints.apply(next.Backends, before.Backends)
	if before.Version.Term == leadership.term && sameTable(before, next) {
		return
	}
	core.counters.Add("tables", 1)
	core.setTable(next)
}

// sameTable is whether two tables say the same.
func sameTable(before, next *message.Table) bool {
	return before.Complete == next.Complete && slices.Equal(before.Members, next.Members) && sameBackends(before.Backends, next.Backends)
}

// sameBackends is quick where both are one list.
func sameBackends(before, next []message.Backend) bool {
	return len(before) == len(next) && (len(before) == 0 || &before[0] == &next[0] || slices.Equal(before, next))
}

// buildTableBeforeLeader is what a core that heard of no leader since its start tells the
// daemons that come to it. Every leader's table is newer. It names no cold backend:
// that has no owner yet, and cores differ on when it is warm.
func (core *Core) buildTableBeforeLeader() {
	before := core.Table()
	backends, whole := core.backends.sortedBackends()
	if before.Version.Term.Number > 0 || !whole {
		return
	}
	next := &message.Table{Version: message.TableVersion{Number: before.Version.Number + 1}, Complete: true}
	now := core.Now()
	for _, backend := range backends {
		if backend.WarmAtMs <= now {
			next.Backends = append(next.Backends, backend)
		}
	}
	for _, held := range core.sessions.active(0) {
		next.Members = append(next.Members, held.session.Member)
	}
	if sameTable(before, next) {
		return
	}
	core.counters.Add("tables_before_a_leader", 1)
	core.setTable(next)
}

// recoverTable rebuilds from a daemon that still holds what the cores lost.
func (core *Core) recoverTable(table *message.Table, sessions []trackedSession) *message.Table {
	best, from := table.Version, ""
	for _, held := range sessions {
		if best.Less(held.session.Table) {
			best, from = held.session.Table, held.session.Member.InternalAddress
		}
	}
	if from == "" {
		return table
	}
	response, err := rpc.Call[message.FetchRequest, message.FetchResponse](core.client, from, "fetch", core.callTimeout(), &message.FetchRequest{Serial: ^uint64(0), Routing: ^uint64(0), Table: table.Version})
	if err == nil && response.Delta != nil {
		response.Table, _ = table.Apply(response.Delta)
	}
	if err != nil || response.Table == nil {
		core.counters.Add("tables_not_rebuilt", 1)
		return table
	}
	core.counters.Add("tables_rebuilt", 1)
	return response.Table
}

// followTable keeps the leader's table at the other cores.
func (core *Core) followTable() {
	core.mutex.Lock()
	leader, wanted, held, isLeader := core.leader, core.wantedTable, core.table.Version, core.leadership != nil
	core.mutex.Unlock()
	if isLeader || !leader.Known() || !held.Less(wanted) {
		return
	}
	response, err := rpc.Call[message.FetchRequest, message.FetchResponse](core.client, leader.Address, "fetch", core.callTimeout(), &message.FetchRequest{Serial: ^uint64(0), Routing: ^uint64(0), Table: held})
	if err != nil {
		return
	}
	if response.Table != nil {
		core.setTable(response.Table)
	} else if response.Delta != nil {
		if table, fits := core.Table().Apply(response.Delta); fits {
			core.setTable(table)
		}
	}
}
