package rollout

import (
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// duplicateWindow is the time since the start of a rollout within which another order of its
// target is a duplicate even after its end: operators resend orders that got no response.
const duplicateWindow = 30 * time.Second

// NewestID returns the ID of a service's newest rollout, 0 if there was none.
func (state *State) NewestID(service string) uint64 {
	if known := state.Service(service); known != nil && known.Rollout != nil {
		return known.Rollout.ID
	}
	return 0
}

// Order returns the state after an order, nil if the order is a duplicate; now is in
// milliseconds. A rollout of the current version completes at once. The error is RolloutActive
// while the rollout of another version is active, RolloutChanged if the service had a rollout
// since the order was sent, and NotFound for an abort without a rollout.
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
		case newest.Target == order.Target && (isActive || now-newest.StartMs < duplicateWindow.Milliseconds()):
			return nil, nil
		case newest.Target == order.Target && newest.Phase == message.RolloutComplete:
			return nil, nil
		case isActive:
			return nil, rpc.Errorf(rpc.RolloutActive, "the rollout of %.200q is still active", newest.Target)
		}
	}
	if order.ExpectedID != state.NewestID(order.Service) {
		return nil, rpc.Errorf(rpc.RolloutChanged, "rollout %d was ordered after this order was sent", state.NewestID(order.Service))
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
		service = service.withEndedRollout(message.RolloutComplete, message.RolloutCounts{})
	}
	next := state.withService(service)
	next.LastID = service.Rollout.ID
	return next, nil
}

// abort returns the state with a service's active rollout reverted, nil if it had already ended.
func (state *State) abort(service Service) (*State, error) {
	switch {
	case service.Rollout == nil:
		return nil, rpc.Errorf(rpc.NotFound, "%.200q had no rollout", service.Name)
	case service.Rollout.Phase != message.RolloutActive:
		return nil, nil
	}
	return state.withService(service.withEndedRollout(message.RolloutReverted, service.Rollout.Total(nil))), nil
}

// withEndedRollout returns the service with its rollout in a final phase, with its total counts.
func (service Service) withEndedRollout(phase message.RolloutPhase, total message.RolloutCounts) Service {
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
