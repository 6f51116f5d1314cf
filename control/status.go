package control

import (
	"orchidjunction/message"
	"time"
)

// onStatus is this core's view; the leader's is the whole one.
func (core *Core) onStatus(*message.StatusRequest) (*message.StatusResponse, error) {
	core.mutex.Lock()
	response := &message.StatusResponse{Leader: core.leader, Serial: core.committed[message.SettingsRegister].Value.Serial, Table: core.table.Version, Backends: core.table.Backends}
	leadership := core.leadership
	core.mutex.Unlock()
	response.Membership = core.membershipStatus(leadership)
	response.State = string(core.role.Current())
	response.Counts = core.counters.All()
	state := core.replica.State()
	response.Cores = []message.CoreStatus{{Core: core.membership().ID, Address: core.config.InternalAddress, Voter: state.Initialized, Seen: true, Versions: state.Versions()}}
	if leadership != nil {
		response.Conditions = leadership.conditions()
		response.Revocation = string(leadership.revocation.Method)
		leadership.mutex.Lock()
		for _, peer := range core.membership().Peers {
			status := message.CoreStatus{Core: peer.ID, Address: peer.Address}
			if report := leadership.responses[peer.ID]; report != nil {
				status.Voter, status.Seen, status.Versions = report.Voter, report.Accepted, report.Versions
			}
			response.Cores = append(response.Cores, status)
		}
		leadership.mutex.Unlock()
	}
	for _, held := range core.sessions.active(0) {
		response.Members = append(response.Members, message.MemberStatus{Member: held.session.Member, Serial: held.session.Serial, Table: held.session.Table,
			Parent: held.session.Parent, AgeMs: time.Since(held.renewedAt).Milliseconds(), Core: held.core, Probes: held.session.Probes})
	}
	return response, nil
}
