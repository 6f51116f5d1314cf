package consensus

import (
	"sync/atomic"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Tracker holds the newest membership that a core knows, from its own disk or from other
// cores. It is safe for concurrent use.
type Tracker struct {
	view     atomic.Pointer[View]
	onChange func(before, after *View)
}

// NewTracker returns a Tracker that starts with the given view. It calls onChange after
// each change of the view, without holding a lock.
func NewTracker(view *View, onChange func(before, after *View)) *Tracker {
	tracker := &Tracker{onChange: onChange}
	tracker.view.Store(view)
	return tracker
}

// View returns this core's view of the newest known membership.
func (tracker *Tracker) View() *View { return tracker.view.Load() }

// Learn adopts a membership that is newer than the known one. It need not be decided: its
// quorums intersect every quorum of the version before it.
func (tracker *Tracker) Learn(accepted message.AcceptedValue) error {
	membership, err := DecodeMembership(accepted)
	if err != nil || membership == nil {
		return err
	}
	for {
		before := tracker.View()
		if !before.Version.Less(membership.Version) {
			return nil
		}
		after := NewView(before.Address, membership)
		if tracker.view.CompareAndSwap(before, after) {
			tracker.onChange(before, after)
			return nil
		}
	}
}

// NewerThan returns the known membership if it is newer than the given version, and
// otherwise the value of serial 0.
func (tracker *Tracker) NewerThan(version message.Version) message.AcceptedValue {
	view := tracker.View()
	if !view.HasMembership() || !version.Less(view.Version) {
		return message.AcceptedValue{}
	}
	return view.Accepted()
}

// Adopt switches this core to a membership that it is about to write under a term. It
// fails if a newer one is known.
func (tracker *Tracker) Adopt(next *Membership, term message.Term) (*View, error) {
	next.Version.Term = term
	if err := tracker.Learn(next.Accepted()); err != nil {
		return nil, err
	}
	view := tracker.View()
	if view.Version != next.Version {
		return nil, rpc.Errorf(rpc.StaleTerm, "a newer membership (version %v) is known", view.Version)
	}
	return view, nil
}

// AdoptRewritten switches this core to the membership that was written again under a
// term. Its own replica may not have accepted that yet, and the core may meanwhile have
// learned a joint version of a former leader that was never decided.
func (tracker *Tracker) AdoptRewritten(view *View, term message.Term) error {
	rewritten := *view.Membership
	_, err := tracker.Adopt(&rewritten, term)
	return err
}

// MayRestore reports whether a voter with a blank disk may restore its replica: the
// initialized replicas that responded fence it (FencesLostVoter), and the voters have not
// changed since it asked.
func (tracker *Tracker) MayRestore(view *View, responses map[int]*message.ReplicaStateResponse) bool {
	return tracker.View().SameVoters(view) && view.MayLead(view.ID) && view.FencesLostVoter(view.ID, Agreed(responses, Initialized))
}
