package control

import (
	"time"

	"orchidjunction/wire"
)

// onStatus is this core's view; the leader's is the whole one.
func (core *Core) onStatus(*wire.StatusRequest) (*wire.StatusResponse, error) {
	core.mutex.Lock()
	told := &wire.StatusResponse{Leader: core.leader, Serial: core.committed[wire.SettingsRegister].Value.Serial, Table: core.table.Version, Backends: core.table.Backends}
	leadership := core.leadership
	core.mutex.Unlock()
	told.Membership = core.membershipStatus(leadership)
	told.State = string(core.chart.Now())
	told.Counts = core.counts.All()
	state := core.voter.State()
	told.Cores = []wire.CoreStatus{{Core: core.members().ID, Address: core.place.Wire, Voter: state.Founded, Seen: true, Versions: state.Marks()}}
	if leadership != nil {
		told.Conditions = leadership.conditions()
		told.Revocation = string(leadership.revocation.Method)
		leadership.mutex.Lock()
		for _, peer := range core.members().Peers {
			status := wire.CoreStatus{Core: peer.ID, Address: peer.Address}
			if report := leadership.reports[peer.ID]; report != nil {
				status.Voter, status.Seen, status.Versions = report.Voter, report.Accepted, report.Versions
			}
			told.Cores = append(told.Cores, status)
		}
		leadership.mutex.Unlock()
	}
	for _, held := range core.sessions.standing(0) {
		told.Members = append(told.Members, wire.MemberStatus{Member: held.session.Member, Serial: held.session.Serial, Table: held.session.Table,
			Parent: held.session.Parent, AgeMs: time.Since(held.told).Milliseconds(), Core: held.core, Probes: held.session.Probes})
	}
	return told, nil
}
