package agent

import (
	"context"
	"slices"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// OrderRollout forwards a rollout order to the leader. As with Evacuate, a request may reach
// the leader long after its sender has given up. OrderRollout therefore first queries the ID
// of the service's newest rollout, and the leader executes the order only if the ID still
// matches. No order is sent once ctx has ended.
func OrderRollout(ctx context.Context, forwarder *Forwarder, order message.RolloutOrder) (*message.RolloutOrderResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, forwarder.deadline(ctx))
	defer cancel()
	query := order
	query.QueryOnly = true
	current, err := ForwardContext(ctx, forwarder, message.MethodRolloutOrder, &query)
	if err != nil {
		return nil, queryError(err)
	}
	order.ExpectedID = current.ID
	response, err := ForwardContext(ctx, forwarder, message.MethodRolloutOrder, &order)
	if err != nil && rpc.CodeOf(err) == rpc.RolloutChanged {
		conflict := *rpc.AsError(err)
		conflict.RetryAfterMs = retryAfterMs
		return nil, &conflict
	}
	return response, err
}

// rolloutCounts returns this process's counts for the active rollouts. The cores keep the
// sums of rollouts that have ended.
func (daemon *Daemon) rolloutCounts() []message.RolloutCounts {
	active := map[uint64]bool{}
	for _, rollout := range daemon.Version().Rollouts {
		active[rollout.ID] = rollout.Phase == message.RolloutActive
	}
	return slices.DeleteFunc(daemon.callbacks.rollouts(), func(counts message.RolloutCounts) bool { return !active[counts.ID] })
}

// ReadRollout reads a service's newest rollout from the leader.
func ReadRollout(forwarder *Forwarder, service string) (*message.RolloutReadResponse, error) {
	return Forward(forwarder, message.MethodRolloutRead, &message.RolloutReadRequest{Service: service})
}
