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
	leadership, err := core.leading()
	if err != nil && core.place.Direct && core.cold() {
		core.buildFirst()
	}
	if err != nil || leadership.holds() != nil {
		return
	}
	before := core.Table()
	sessions := core.sessions.standing(0)
	if before.Version.Term.Number == 0 || !before.Complete {
		before = core.askHeld(before, sessions)
	}
	if before.Version.Term.Number == 0 && time.Since(leadership.since) < core.place.firstTable() {
		return
	}
	next := &message.Table{Version: message.TableVersion{Term: leadership.ballot, Number: 1}, Members: []message.Member{}, Backends: before.Backends, Complete: before.Complete}
	if before.Version.Term == leadership.ballot {
		next.Version.Number = before.Version.Number + 1
	}
	known := map[string]bool{}
	for _, held := range sessions {
		next.Members = append(next.Members, held.session.Member)
		known[held.session.Member.Name] = true
	}
	if time.Since(leadership.since) < core.place.SessionSpan || core.sessions.lapsed(before.Members, known) {
		for _, member := range before.Members {
			if !known[member.Name] && !core.sessions.gone(member.Name) {
				next.Members = append(next.Members, member)
			}
		}
	}
	sort.Slice(next.Members, func(left, right int) bool { return next.Members[left].Name < next.Members[right].Name })
	if backends, whole := core.platform.list(); whole {
		next.Backends, next.Complete = backends, true
	}
	next.Backends = core.stirs.lay(next.Backends, before.Backends)
	if before.Version.Term == leadership.ballot && sameTable(before, next) {
		return
	}
	core.counters.Add("tables", 1)
	core.holdTable(next)
}

// sameTable is whether two tables say the same.
func sameTable(before, next *message.Table) bool {
	return before.Complete == next.Complete && slices.Equal(before.Members, next.Members) && sameBackends(before.Backends, next.Backends)
}

// sameBackends is quick where both are one list.
func sameBackends(before, next []message.Backend) bool {
	return len(before) == len(next) && (len(before) == 0 || &before[0] == &next[0] || slices.Equal(before, next))
}

// buildFirst is what a core that heard of no leader since its start tells the
// daemons that come to it. Every leader's table is newer. It names no cold backend:
// that has no owner yet, and cores differ on when it is warm.
func (core *Core) buildFirst() {
	before := core.Table()
	backends, whole := core.platform.list()
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
	for _, held := range core.sessions.standing(0) {
		next.Members = append(next.Members, held.session.Member)
	}
	if sameTable(before, next) {
		return
	}
	core.counters.Add("tables_before_a_leader", 1)
	core.holdTable(next)
}

// askHeld rebuilds from a daemon that still holds what the cores lost.
func (core *Core) askHeld(table *message.Table, sessions []heldSession) *message.Table {
	best, from := table.Version, ""
	for _, held := range sessions {
		if best.Less(held.session.Table) {
			best, from = held.session.Table, held.session.Member.InternalAddress
		}
	}
	if from == "" {
		return table
	}
	response, err := rpc.Call[message.FetchRequest, message.FetchResponse](core.line, from, "fetch", core.roundLimit(), &message.FetchRequest{Serial: ^uint64(0), Routing: ^uint64(0), Table: table.Version})
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

// copyTable keeps the leader's table at the other cores.
func (core *Core) copyTable() {
	core.mutex.Lock()
	leader, wanted, held, leads := core.leader, core.wanted, core.table.Version, core.leadership != nil
	core.mutex.Unlock()
	if leads || !leader.Known() || !held.Less(wanted) {
		return
	}
	response, err := rpc.Call[message.FetchRequest, message.FetchResponse](core.line, leader.Address, "fetch", core.roundLimit(), &message.FetchRequest{Serial: ^uint64(0), Routing: ^uint64(0), Table: held})
	if err != nil {
		return
	}
	if response.Table != nil {
		core.holdTable(response.Table)
	} else if response.Delta != nil {
		if table, fits := core.Table().Apply(response.Delta); fits {
			core.holdTable(table)
		}
	}
}
