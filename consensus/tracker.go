package consensus

import (
	"sync/atomic"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Tracker holds the newest membership that a core knows: accepted on its disk, or heard
// of since. It is safe for concurrent use.
type Tracker struct {
	view     atomic.Pointer[View]
	onChange func(before, after *View)
}

// NewTracker returns a Tracker that begins with a view. It calls onChange after each
// change of the view, without a lock.
func NewTracker(view *View, onChange func(before, after *View)) *Tracker {
	tracker := &Tracker{onChange: onChange}
	tracker.view.Store(view)
	return tracker
}

// View returns the newest membership known, as this core sees it.
func (tracker *Tracker) View() *View { return tracker.view.Load() }

// Learn takes a membership if it is newer than the one known. It need not be decided:
// whoever counts by it needs a quorum of it, which meets every quorum of the version
// before it.
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

// NewerThan returns the membership known if it is newer than a version, and else the
// value of serial 0.
func (tracker *Tracker) NewerThan(version message.Version) message.AcceptedValue {
	view := tracker.View()
	if !view.Known() || !version.Less(view.Version) {
		return message.AcceptedValue{}
	}
	return view.Accepted()
}

// Adopt makes a membership that is about to be written under a term the one that this
// core counts by. It fails if a newer one is known.
func (tracker *Tracker) Adopt(next *Membership, term message.Term) (*View, error) {
	next.Version.Term = term
	if err := tracker.Learn(next.Accepted()); err != nil {
		return nil, err
	}
	view := tracker.View()
	if view.Version != next.Version {
		return nil, rpc.Errorf(rpc.StaleTerm, "a newer membership %v is known", view.Version)
	}
	return view, nil
}

// AdoptRewritten makes the membership that was written again under a term the one that
// this core counts by. Its own replica may not have accepted that yet, and meanwhile the
// core may have learned a step of a former leader's that was never decided.
func (tracker *Tracker) AdoptRewritten(view *View, term message.Term) error {
	rewritten := *view.Membership
	_, err := tracker.Adopt(&rewritten, term)
	return err
}

// MayRestore reports whether so many initialized replicas answered a voter with a blank
// disk that it may fence them, by the membership that it asked them under.
func (tracker *Tracker) MayRestore(view *View, responses map[int]*message.ReplicaStateResponse) bool {
	return tracker.View().SameVoters(view) && view.MayLead(view.ID) && view.FencesWithout(view.ID, Agreed(responses, Initialized))
}
