package control

import (
	"time"

	"orchidjunction/message"
)

// onStatus returns this core's view of the deployment. Only the leader's is complete.
func (core *Core) onStatus(*message.StatusRequest) (*message.StatusResponse, error) {
	core.mutex.Lock()
	response := &message.StatusResponse{
		Leader:   core.election.leader,
		Serial:   core.committed[message.SettingsRegister].Value.Serial,
		Table:    core.tables.current.Version,
		Backends: core.tables.current.Backends,
	}
	leadership := core.leadership
	core.mutex.Unlock()
	response.Membership = core.membershipStatus(leadership)
	response.State = string(core.role.Current())
	response.Counts = core.counters.All()
	state := core.replica.State()
	response.Cores = []message.CoreStatus{
		{
			Core:     core.membership().ID,
			Address:  core.config.InternalAddress,
			Voter:    state.Initialized,
			Seen:     true,
			Versions: state.Versions(),
		},
	}
	if leadership != nil {
		response.Conditions = leadership.conditions()
		response.Revocation = string(leadership.revocation.Method)
		response.Cores = append(response.Cores, leadership.peerStatus()...)
	}
	for _, tracked := range core.sessions.active(0) {
		response.Members = append(response.Members, tracked.status())
	}
	return response, nil
}

// peerStatus returns the leader's view of the other voters.
func (leadership *Leadership) peerStatus() []message.CoreStatus {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	all := []message.CoreStatus{}
	for _, peer := range leadership.core.membership().Peers {
		status := message.CoreStatus{Core: peer.ID, Address: peer.Address}
		if response := leadership.responses[peer.ID]; response != nil {
			status.Voter, status.Seen, status.Versions = response.Voter, response.Accepted, response.Versions
		}
		all = append(all, status)
	}
	return all
}

func (tracked *trackedSession) status() message.MemberStatus {
	session := &tracked.session
	return message.MemberStatus{
		Member: session.Member,
		Serial: session.Serial,
		Table:  session.Table,
		Parent: session.Parent,
		AgeMs:  time.Since(tracked.renewedAt).Milliseconds(),
		Core:   tracked.core,
		Probes: session.Probes,
	}
}
