package control

import (
	"slices"
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// membershipStatus returns the membership that this core knows. A leader adds when it last saw
// each voter, and the waiting learners.
func (core *Core) membershipStatus(leadership *Leadership) message.MembershipStatus {
	view := core.membership()
	status := message.MembershipStatus{Version: view.Version.Serial, Term: view.Version.Term, Learners: []message.LearnerStatus{}}
	status.Voters = core.voterStatus(leadership, view.Voters)
	if view.IsJoint() {
		status.Next = core.voterStatus(leadership, view.Next)
	}
	if leadership != nil {
		status.Learners = leadership.learnerStatus(view)
	}
	return status
}

func (core *Core) voterStatus(leadership *Leadership, group []message.Peer) []message.VoterStatus {
	all := []message.VoterStatus{}
	for _, peer := range group {
		status := message.VoterStatus{ID: peer.ID, Address: peer.Address}
		switch {
		case peer.Address == core.config.InternalAddress:
			status.Seen = true
		case leadership != nil:
			silence, isLeaving := leadership.replacements.silence(peer.ID, leadership.startedAt)
			status.SilentMs, status.Seen, status.Leaving = silence.Milliseconds(), silence < core.config.SuspicionTimeout, isLeaving
		}
		all = append(all, status)
	}
	return all
}

// learnerStatus returns the learners, sorted by address.
func (leadership *Leadership) learnerStatus(view *consensus.View) []message.LearnerStatus {
	waiting := leadership.waitingLearners(view)
	replacements := leadership.replacements
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	all := []message.LearnerStatus{}
	for _, peer := range waiting {
		if known := replacements.learners[peer.Address]; known != nil {
			all = append(all, known.status(peer.Address, leadership))
		}
	}
	slices.SortFunc(all, func(left, right message.LearnerStatus) int {
		return consensus.CompareAddresses(left.Address, right.Address)
	})
	return all
}

func (learner *learner) status(address string, leadership *Leadership) message.LearnerStatus {
	status := message.LearnerStatus{Address: address, SilentMs: time.Since(learner.askedAt).Milliseconds()}
	if response := learner.response; response != nil {
		status.SilentMs = time.Since(learner.answeredAt).Milliseconds()
		status.Seen = time.Since(learner.answeredAt) < leadership.core.config.SuspicionTimeout
		status.Synced = response.Accepted && response.Voter && leadership.nearlySynced(response.Versions)
	}
	return status
}
