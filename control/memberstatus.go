package control

import (
	"orchidjunction/message"
	"slices"
	"time"
)

// membershipStatus is who votes as this core knows it; a leader also tells who was
// seen and who waits for a place.
func (core *Core) membershipStatus(leadership *Leadership) message.MembershipStatus {
	view := core.membership()
	status := message.MembershipStatus{Version: view.Version.Serial, Term: view.Version.Term, Learners: []message.LearnerStatus{}}
	status.Voters = core.voterStatus(leadership, view.Voters)
	if view.changing() {
		status.Next = core.voterStatus(leadership, view.Next)
	}
	if leadership != nil {
		status.Learners = leadership.learnerStatus(view)
	}
	return status
}

func (core *Core) voterStatus(leadership *Leadership, group []Peer) []message.VoterStatus {
	all := []message.VoterStatus{}
	for _, peer := range group {
		status := message.VoterStatus{ID: peer.ID, Address: peer.Address}
		switch {
		case peer.Address == core.config.InternalAddress:
			status.Seen = true
		case leadership != nil:
			silent, leaving := leadership.replacements.silence(peer.ID, leadership.since)
			status.SilentMs, status.Seen, status.Leaving = silent.Milliseconds(), silent < core.config.SuspicionTimeout, leaving
		}
		all = append(all, status)
	}
	return all
}

// silence is how long ago a voter answered, counted from a leadership's beginning
// where it never did, and whether it announced its end.
func (replacements *Replacements) silence(id int, since time.Time) (time.Duration, bool) {
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	if answered := replacements.answeredAt[id]; answered.After(since) {
		since = answered
	}
	return time.Since(since), time.Since(replacements.leavingAt[id]) < leaveTTL
}

// learnerStatus are the learners by address.
func (leadership *Leadership) learnerStatus(view *View) []message.LearnerStatus {
	suspect, replacements := leadership.core.config.SuspicionTimeout, leadership.replacements
	waiting := replacements.waitingLearners(learnerTimeouts*suspect, view)
	replacements.mutex.Lock()
	defer replacements.mutex.Unlock()
	all := []message.LearnerStatus{}
	for _, peer := range waiting {
		held := replacements.learners[peer.Address]
		if held == nil {
			continue
		}
		status := message.LearnerStatus{Address: peer.Address, SilentMs: time.Since(held.askedAt).Milliseconds()}
		if held.response != nil {
			status.SilentMs = time.Since(held.answeredAt).Milliseconds()
			status.Seen = time.Since(held.answeredAt) < suspect
			status.Synced = held.response.Accepted && held.response.Voter && leadership.nearlySynced(held.response.Versions)
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(left, right message.LearnerStatus) int { return compareAddresses(left.Address, right.Address) })
	return all
}
