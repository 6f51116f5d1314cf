package control

import (
	"orchidjunction/message"
	"slices"
	"time"
)

// membershipStatus is who votes as this core knows it; a leader also tells who was
// seen and who waits for a place.
func (core *Core) membershipStatus(leadership *Leadership) message.MembershipStatus {
	view := core.members()
	status := message.MembershipStatus{Version: view.Mark.Serial, Term: view.Mark.Term, Learners: []message.LearnerStatus{}}
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
		case peer.Address == core.place.Wire:
			status.Seen = true
		case leadership != nil:
			silent, leaving := leadership.succession.silence(peer.ID, leadership.since)
			status.SilentMs, status.Seen, status.Leaving = silent.Milliseconds(), silent < core.place.Suspect, leaving
		}
		all = append(all, status)
	}
	return all
}

// silence is how long ago a voter answered, counted from a leadership's beginning
// where it never did, and whether it announced its end.
func (succession *Succession) silence(id int, since time.Time) (time.Duration, bool) {
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	if answered := succession.answered[id]; answered.After(since) {
		since = answered
	}
	return time.Since(since), time.Since(succession.leaving[id]) < leaveSpan
}

// learnerStatus are the learners by address.
func (leadership *Leadership) learnerStatus(view *View) []message.LearnerStatus {
	suspect, succession := leadership.core.place.Suspect, leadership.succession
	waiting := succession.waiting(learnerSpan*suspect, view)
	succession.mutex.Lock()
	defer succession.mutex.Unlock()
	all := []message.LearnerStatus{}
	for _, peer := range waiting {
		held := succession.learners[peer.Address]
		if held == nil {
			continue
		}
		status := message.LearnerStatus{Address: peer.Address, SilentMs: time.Since(held.asked).Milliseconds()}
		if held.report != nil {
			status.SilentMs = time.Since(held.answered).Milliseconds()
			status.Seen = time.Since(held.answered) < suspect
			status.Synced = held.report.Accepted && held.report.Voter && leadership.near(held.report.Versions)
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(left, right message.LearnerStatus) int { return compareAddresses(left.Address, right.Address) })
	return all
}
