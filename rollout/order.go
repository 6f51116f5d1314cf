package rollout

import (
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// repeatWindow is how long after its begin a roll-out that ended is taken for the same order
// when its target is ordered again: operators repeat an order that got no answer.
const repeatWindow = 30 * time.Second

// NewestID returns the ID of a service's newest roll-out, 0 if it had none.
func (state *State) NewestID(service string) uint64 {
	if known := state.Service(service); known != nil && known.Rollout != nil {
		return known.Rollout.ID
	}
	return 0
}

// Order returns the state after an order at a time in milliseconds, nil if the order was
// taken before. The roll-out of the version that serves already is complete at once. Order
// returns RolloutActive while another version is under way, RolloutChanged if the service had
// a roll-out since the order was sent, and NotFound for the abort of none.
func (state *State) Order(order *message.RolloutOrder, now int64) (*State, error) {
	service := Service{Name: order.Service}
	if known := state.Service(order.Service); known != nil {
		service = *known
	}
	if order.Abort {
		return state.abort(service)
	}
	if newest := service.Rollout; newest != nil {
		isActive := newest.Phase == message.RolloutActive
		switch {
		case newest.Target == order.Target && (isActive || now-newest.StartMs < repeatWindow.Milliseconds()):
			return nil, nil
		case newest.Target == order.Target && newest.Phase == message.RolloutComplete:
			return nil, nil
		case isActive:
			return nil, rpc.Errorf(rpc.RolloutActive, "the roll-out of %.200q is under way", newest.Target)
		}
	}
	if order.ExpectedID != state.NewestID(order.Service) {
		return nil, rpc.Errorf(rpc.RolloutChanged, "roll-out %d came since the order was sent", state.NewestID(order.Service))
	}
	service.Rollout = &Rollout{
		ID:      state.LastID + 1,
		Target:  order.Target,
		Phase:   message.RolloutActive,
		StartMs: now,
		TermMs:  now + order.TermMs,
		StepMs:  now,
	}
	if service.Current == order.Target {
		service = service.ended(message.RolloutComplete, message.RolloutCounts{})
	}
	next := state.with(service)
	next.LastID = service.Rollout.ID
	return next, nil
}

// abort returns the state with a service's active roll-out reverted, nil if it was before.
func (state *State) abort(service Service) (*State, error) {
	switch {
	case service.Rollout == nil:
		return nil, rpc.Errorf(rpc.NotFound, "%.200q had no roll-out", service.Name)
	case service.Rollout.Phase != message.RolloutActive:
		return nil, nil
	}
	return state.with(service.ended(message.RolloutReverted, service.Rollout.Total(nil))), nil
}

// ended returns the service with its roll-out in a final phase, after so many counts in all.
func (service Service) ended(phase message.RolloutPhase, total message.RolloutCounts) Service {
	final := *service.Rollout
	final.Phase, final.Counts = phase, []ProcessCounts{{Counts: total}}
	final.Share = 0
	if phase == message.RolloutComplete {
		final.Share = 1
		service.Current = final.Target
	}
	service.Rollout = &final
	return service
}
