package agent

import (
	"context"
	"slices"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// OrderRollout forwards an order for a roll-out to the leader. As with evacuations, a request
// may reach the leader long after its sender gave up on it, so that the leader is asked first
// which roll-out is the service's newest, and carries out only what expects that one. Nothing
// is ordered once ctx has ended.
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
		raced := *rpc.AsError(err)
		raced.RetryAfterMs = retryAfterMs
		return nil, &raced
	}
	return response, err
}

// rolloutCounts returns what this process counted for the active roll-outs in force. The sums
// of one that has ended are with the cores.
func (daemon *Daemon) rolloutCounts() []message.RolloutCounts {
	active := map[uint64]bool{}
	for _, rollout := range daemon.Version().Rollouts {
		active[rollout.ID] = rollout.Phase == message.RolloutActive
	}
	return slices.DeleteFunc(daemon.callbacks.rollouts(), func(counts message.RolloutCounts) bool { return !active[counts.ID] })
}

// ReadRollout returns the confirmed newest roll-out of a service.
func ReadRollout(forwarder *Forwarder, service string) (*message.RolloutReadResponse, error) {
	return Forward(forwarder, message.MethodRolloutRead, &message.RolloutReadRequest{Service: service})
}
